//! Messages between daemons of different versions.

use jasminebend_fleet::{
    PeerAnswer,
    PeerHealth, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The health that daemons sent before they told how far they have read.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct EarlierHealth {
    incarnation: u64,
    acting: Option<u64>,
    known_token: u64,
    without_store_ms: u64,
}

#[derive(Debug, Deserialize, PartialEq, Serialize)]
enum EarlierAnswer {
    Health(EarlierHealth),
}

fn earlier_answer() -> EarlierAnswer {
    EarlierAnswer::Health(EarlierHealth {
        incarnation: 7,
        acting: Some(4),
        known_token: 5,
        without_store_ms: 300,
    })
}

fn answer(loading: Option<u64>) -> PeerAnswer {
    PeerAnswer::Health(PeerHealth {
        incarnation: 7,
        acting: Some(4),
        known_token: 5,
        without_store_ms: 300,
        loading,
    })
}

/// Guards against a healthy owner that is replaced during an update: daemons of the other version can't read its answers.
#[test]
fn daemons_of_an_earlier_version_are_understood_and_understand() {
    let bytes = postcard::to_stdvec(&earlier_answer()).expect("it can be encoded");
    assert_eq!(postcard::from_bytes(&bytes), Ok(answer(None)));
    let bytes = postcard::to_stdvec(&answer(Some(12))).expect("it can be encoded");
    assert_eq!(postcard::from_bytes(&bytes), Ok(earlier_answer()));
    assert_eq!(postcard::from_bytes(&bytes), Ok(answer(Some(12))));
}

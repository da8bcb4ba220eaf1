//! How much a call and an answer may hold.

use std::sync::Arc;

use jasminebend_ports::{
    HttpTable,
    RowChange,
    RowExpectation,
    TableError,
    TableService,
    WriteId, //
};
use jasminebend_standins::{
    EndpointKnobs,
    EndpointLedger,
    EndpointStandIn, //
};

use crate::harness::{
    self,
    PATIENT, //
};

const OVER_THE_ANSWERS_LIMIT: usize = 33 << 20;
const OVER_THE_CALLS_LIMIT: usize = 13 << 20;

/// A daemon runs out of memory: a server that went wrong answers without end.
#[tokio::test]
async fn an_answer_without_end_is_given_up() {
    let knobs = EndpointKnobs {
        answer_bytes: OVER_THE_ANSWERS_LIMIT,
        ..EndpointKnobs::default()
    };
    let server = EndpointStandIn::new("vm-1", Arc::new(EndpointLedger::new()), 1).with_knobs(knobs);
    let (address, _guard) = server.start().await.unwrap();
    let table = HttpTable::new(address).with_timeout(PATIENT);
    assert_eq!(table.read(&"a".into()).await, Err(TableError::Malformed));
}

#[tokio::test]
async fn a_call_that_is_too_large_has_no_effect() {
    let table = harness::table_over_http(PATIENT).await;
    let value = vec![7; OVER_THE_CALLS_LIMIT];
    let change = RowChange::put("a", RowExpectation::Any, value);
    let error = table
        .port
        .commit(WriteId(1), vec![change])
        .await
        .unwrap_err();
    // A server that closes before it has read everything may cut its own answer off.
    let expected = [TableError::TooLarge, TableError::Unknown];
    assert!(expected.contains(&error), "{error:?}");
    assert_eq!(table.stand_in.rows(""), []);
}

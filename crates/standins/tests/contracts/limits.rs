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
    EndpointFault,
    EndpointLedger,
    EndpointStandIn, //
};

use crate::harness::PATIENT;

const OVER_THE_ANSWERS_LIMIT: usize = 33 << 20;
const OVER_THE_CALLS_LIMIT: usize = 13 << 20;

/// The answer that there is no such row, after so many spaces.
fn long_answer(spaces: usize) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", spaces + 4);
    [head.into_bytes(), vec![b' '; spaces], b"null".to_vec()].concat()
}

/// A daemon runs out of memory: a server that went wrong answers without end.
#[tokio::test]
async fn an_answer_without_end_is_given_up() {
    let server = EndpointStandIn::new("vm-1", Arc::new(EndpointLedger::new()), 1);
    let (address, _guard) = server.start().await.unwrap();
    let table = HttpTable::new(address).with_timeout(PATIENT);
    let cases = [
        (1000, Ok(None)),
        (OVER_THE_ANSWERS_LIMIT, Err(TableError::Malformed)),
    ];
    for (spaces, expected) in cases {
        server.once(EndpointFault::Raw(long_answer(spaces).into()));
        assert_eq!(table.read(&"a".into()).await, expected, "{spaces}");
    }
}

/// A writer tries a commit without end: the server refused its size, but closed before it had read
/// it all, so that its answer was lost and the outcome looked unknown.
#[tokio::test]
async fn a_call_that_is_too_large_is_not_sent() {
    let server = EndpointStandIn::new("vm-1", Arc::new(EndpointLedger::new()), 1);
    let (address, _guard) = server.start().await.unwrap();
    let table = HttpTable::new(address).with_timeout(PATIENT);
    let value = vec![7; OVER_THE_CALLS_LIMIT];
    let change = RowChange::put("a", RowExpectation::Any, value);
    let answer = table.commit(WriteId(1), vec![change]).await;
    assert_eq!(answer, Err(TableError::TooLarge));
    assert_eq!(server.ledger().counts(server.name()).arrivals, 0);
}

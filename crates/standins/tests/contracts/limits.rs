//! Size limits of requests and responses.

use std::sync::Arc;

use jasminebend_ports::{
    HttpTableService,
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

use crate::harness::LONG_TIMEOUT;

/// A size in bytes above the adapters' limit for a response.
const BYTES_ABOVE_RESPONSE_LIMIT: usize = 33 << 20;
/// A size in bytes above the adapters' limit for a request.
const BYTES_ABOVE_REQUEST_LIMIT: usize = 13 << 20;

/// Returns the response that a row does not exist, with this number of spaces before the JSON value.
fn padded_response(spaces: usize) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", spaces + 4);
    [head.into_bytes(), vec![b' '; spaces], b"null".to_vec()].concat()
}

/// An oversized response of a faulty server must be rejected, or the daemon runs out of memory.
#[tokio::test]
async fn a_response_above_the_size_limit_is_rejected() {
    let server = EndpointStandIn::new("vm-1", Arc::new(EndpointLedger::new()), 1);
    let (address, _guard) = server.start().await.unwrap();
    let table = HttpTableService::new(address).with_timeout(LONG_TIMEOUT);
    let cases = [
        (1000, Ok(None)),
        (BYTES_ABOVE_RESPONSE_LIMIT, Err(TableError::Malformed)),
    ];
    for (spaces, expected) in cases {
        server.queue_fault(EndpointFault::Raw(padded_response(spaces).into()));
        assert_eq!(table.read(&"a".into()).await, expected, "{spaces}");
    }
}

/// A request above the size limit must be rejected before it is sent. If it were sent, the server would close the
/// connection before it had read everything, its refusal would be lost, and the writer would repeat the commit forever
/// because the outcome looked unknown.
#[tokio::test]
async fn a_request_above_the_size_limit_is_not_sent() {
    let server = EndpointStandIn::new("vm-1", Arc::new(EndpointLedger::new()), 1);
    let (address, _guard) = server.start().await.unwrap();
    let table = HttpTableService::new(address).with_timeout(LONG_TIMEOUT);
    let value = vec![7; BYTES_ABOVE_REQUEST_LIMIT];
    let change = RowChange::put("a", RowExpectation::Any, value);
    let answer = table.commit(WriteId(1), vec![change]).await;
    assert_eq!(answer, Err(TableError::TooLarge));
    assert_eq!(server.ledger().counts(server.name()).arrivals, 0);
}

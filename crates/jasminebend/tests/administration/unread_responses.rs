//! Clients of the administration API that do not read their responses.

use std::time::Duration;

use http::{
    Method,
    StatusCode, //
};
use jasminebend::LimitSettings;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::timeout, //
};

use crate::harness::{
    AdminHarness,
    HttpRequest,
    settings, //
};

const ADMINISTRATION_TIMEOUT: Duration = Duration::from_millis(200);
/// Long enough that a passing test never reaches it.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const REQUEST_COUNT: usize = 1000;

/// Guards against an administration API that stays unavailable because a client that does not read its responses holds
/// the last connection.
#[tokio::test]
async fn a_client_that_reads_no_response_is_disconnected() {
    let limits = LimitSettings {
        administration_connections: 1,
        administration_timeout: ADMINISTRATION_TIMEOUT,
        ..LimitSettings::default()
    };
    let admin = AdminHarness::start(&settings().with_limits(limits)).await;
    let requests = "GET /v1/status HTTP/1.1\r\nhost: a\r\n\r\n".repeat(REQUEST_COUNT);
    let mut scraper = TcpStream::connect(admin.handle.address()).await.unwrap();
    // The client's writes block once the server stops reading.
    while let Ok(Ok(())) = timeout(
        ADMINISTRATION_TIMEOUT,
        scraper.write_all(requests.as_bytes()),
    )
    .await
    {}
    let status = admin.call(HttpRequest::new(Method::GET, "/v1/status"));
    let answer = timeout(TEST_TIMEOUT, status)
        .await
        .expect("a place is free");
    assert_eq!(answer.status, StatusCode::OK);
    drop(scraper);
}

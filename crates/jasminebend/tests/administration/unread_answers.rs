//! Operators and scrapers that do not read their answers.

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
    PlainCall,
    settings, //
};

const SHORT: Duration = Duration::from_millis(200);
/// So long that no case ends by it.
const PATIENCE: Duration = Duration::from_secs(30);
const REQUESTS: usize = 1000;

/// Guards against an administration API that is closed for good: a scraper that did not read its answers held the last
/// connection.
#[tokio::test]
async fn a_scraper_that_reads_nothing_loses_its_connection() {
    let limits = LimitSettings {
        administration_connections: 1,
        administration_timeout: SHORT,
        ..LimitSettings::default()
    };
    let admin = AdminHarness::start(&settings().with_limits(limits)).await;
    let requests = "GET /v1/status HTTP/1.1\r\nhost: a\r\n\r\n".repeat(REQUESTS);
    let mut scraper = TcpStream::connect(admin.guard.address()).await.unwrap();
    // Its own writes end when the other side reads no more.
    while let Ok(Ok(())) = timeout(SHORT, scraper.write_all(requests.as_bytes())).await {}
    let status = admin.call(PlainCall::new(Method::GET, "/v1/status"));
    let answer = timeout(PATIENCE, status).await.expect("a place is free");
    assert_eq!(answer.status, StatusCode::OK);
    drop(scraper);
}

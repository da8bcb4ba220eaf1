//! Pagination of the list of jobs.

use http::Method;
use serde_json::Value;

use crate::harness::{
    AdminHarness,
    HttpRequest,
    settings, //
};

/// Reads a page, and returns its jobs and the `after` of the next page.
async fn read_page(harness: &AdminHarness, query: &str) -> (Vec<u64>, Option<String>) {
    let call = HttpRequest::new(Method::GET, &format!("/v1/jobs{query}"));
    let answer = harness.call(call).await;
    assert_eq!(answer.status.as_u16(), 200, "{answer:?}");
    let answer: Value = serde_json::from_str(&answer.body).expect("JSON");
    let number = |job: &Value| {
        let job = job["job"].as_str().expect("an identity");
        u64::from_str_radix(job, 16).expect("a number")
    };
    let jobs = answer["jobs"].as_array().expect("jobs");
    let after = answer["after"].as_str().map(str::to_owned);
    (jobs.iter().map(number).collect(), after)
}

#[tokio::test]
async fn pages_hold_every_job_once_and_in_order() {
    let harness = AdminHarness::start(&settings()).await;
    for (jobs, query, sizes) in [
        (0, "", vec![0]),
        (200, "", vec![200]),
        (201, "", vec![200, 1]),
        (5, "limit=2", vec![2, 2, 1]),
        (4, "limit=2", vec![2, 2]),
        (2500, "limit=1000", vec![1000, 1000, 500]),
    ] {
        harness.control.set_jobs((0..jobs).rev());
        let mut read = Vec::new();
        let mut next = String::new();
        for (index, size) in sizes.iter().enumerate() {
            let (jobs, after) = read_page(&harness, &format!("?{query}{next}")).await;
            assert_eq!(jobs.len(), *size, "{query}");
            assert_eq!(after.is_none(), index + 1 == sizes.len(), "{query}");
            next = after.map_or_else(String::new, |after| format!("&after={after}"));
            read.extend(jobs);
        }
        assert_eq!(read, (0..jobs).collect::<Vec<_>>(), "{query}");
    }
}

/// Between the requests of two pages, the last job of the first page is removed and a job with a lower identifier is
/// added. Pages delimited by positions would skip or repeat a job.
#[tokio::test]
async fn added_and_removed_jobs_shift_no_page() {
    let harness = AdminHarness::start(&settings()).await;
    harness.control.set_jobs([10, 20, 30, 40].into_iter());
    let (first, after) = read_page(&harness, "?limit=2").await;
    assert_eq!(first, [10, 20]);
    harness.control.set_jobs([5, 10, 30, 40].into_iter());
    let query = format!("?limit=2&after={}", after.expect("more"));
    assert_eq!(read_page(&harness, &query).await, (vec![30, 40], None));
    assert_eq!(
        read_page(&harness, "?after=1e").await.0,
        [40],
        "a short identity"
    );
}

#[tokio::test]
async fn invalid_page_parameters_are_reported() {
    let harness = AdminHarness::start(&settings()).await;
    for query in [
        "limit=0",
        "limit=1001",
        "limit=x",
        "limit",
        "after=x",
        "page=2",
    ] {
        let call = HttpRequest::new(Method::GET, &format!("/v1/jobs?{query}"));
        let answer = harness.call(call).await;
        assert_eq!(answer.status.as_u16(), 400, "{answer:?}");
        let expected = format!("`{query}` does not fit; give `limit=N` from 1 to 1000");
        assert!(answer.body.contains(&expected), "{answer:?}");
    }
}

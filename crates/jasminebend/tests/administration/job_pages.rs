//! The list of jobs is read page by page.

use http::Method;
use serde_json::Value;

use crate::harness::{
    AdminHarness,
    PlainCall,
    settings, //
};

async fn page(harness: &AdminHarness, query: &str) -> (Vec<u64>, Option<String>) {
    let call = PlainCall::new(Method::GET, &format!("/v1/jobs{query}"));
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
        for (place, size) in sizes.iter().enumerate() {
            let (jobs, after) = page(&harness, &format!("?{query}{next}")).await;
            assert_eq!(jobs.len(), *size, "{query}");
            assert_eq!(after.is_none(), place + 1 == sizes.len(), "{query}");
            next = after.map_or_else(String::new, |after| format!("&after={after}"));
            read.extend(jobs);
        }
        assert_eq!(read, (0..jobs).collect::<Vec<_>>(), "{query}");
    }
}

/// Between two pages the job that ended the first one is forgotten, and an earlier one arrives. By
/// number the second page would leave a job out or repeat one; by identity it does neither.
#[tokio::test]
async fn jobs_that_come_and_go_shift_no_page() {
    let harness = AdminHarness::start(&settings()).await;
    harness.control.set_jobs([10, 20, 30, 40].into_iter());
    let (first, after) = page(&harness, "?limit=2").await;
    assert_eq!(first, [10, 20]);
    harness.control.set_jobs([5, 10, 30, 40].into_iter());
    let query = format!("?limit=2&after={}", after.expect("more"));
    assert_eq!(page(&harness, &query).await, (vec![30, 40], None));
    assert_eq!(
        page(&harness, "?after=1e").await.0,
        [40],
        "a short identity"
    );
}

#[tokio::test]
async fn a_page_that_cannot_be_is_told() {
    let harness = AdminHarness::start(&settings()).await;
    for query in [
        "limit=0",
        "limit=1001",
        "limit=x",
        "limit",
        "after=x",
        "page=2",
    ] {
        let call = PlainCall::new(Method::GET, &format!("/v1/jobs?{query}"));
        let answer = harness.call(call).await;
        assert_eq!(answer.status.as_u16(), 400, "{answer:?}");
        let told = format!("`{query}` does not fit; give `limit=N` from 1 to 1000");
        assert!(answer.body.contains(&told), "{answer:?}");
    }
}

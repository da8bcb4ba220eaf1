//! Jobs from submission to completion.

use std::time::Duration;

use http::{
    Method,
    StatusCode, //
};
use jasminebend_standins::TaskPayload;
use jbctl::{
    AdminRequest,
    JobListQuery,
    OperatorCommand, //
};
use serde_json::{
    Value,
    json, //
};

use crate::{
    caller::{
        configure,
        run_command,
        send_admin_request,
        wait_until, //
    },
    platform::{
        TestPlatform,
        configuration, //
    }, //
};

fn submission_request(job: &Value) -> AdminRequest {
    AdminRequest {
        method: Method::POST,
        path: "/v1/jobs".to_owned(),
        expected_version: None,
        body: job.to_string().into(),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_job_finishes_and_another_is_cancelled() {
    let platform = TestPlatform::start(Duration::from_millis(1)).await;
    let daemon = platform.start_daemon("a", 1).await;
    let admin = daemon.admin_address();
    configure(admin, &configuration()).await;
    let mut job = json!({
        "team": "benches", "class": "reconciliation", "tasks": 2, "key": "night-1",
        "size": {"cpu_millis": 1000, "memory_mib": 512},
        "payload": TaskPayload::new(Duration::from_millis(10)).to_text(),
    });
    let submit = async |job: &Value| {
        let answer = send_admin_request(admin, submission_request(job)).await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        answer.json().unwrap()["job"].as_str().unwrap().to_owned()
    };
    let short = submit(&job).await;
    assert_eq!(submit(&job).await, short);
    let status = async |job: &str| {
        let read = OperatorCommand::JobStatus(job.to_owned());
        run_command(admin, read).await.json().unwrap()
    };
    let finished = async || status(&short).await["phase"] == "finished";
    wait_until("a job finished", finished).await;
    job["key"] = "night-2".into();
    job["payload"] = TaskPayload::new(Duration::from_secs(3600)).to_text().into();
    let long = submit(&job).await;
    let cancel = OperatorCommand::JobCancel(long.clone());
    assert_eq!(run_command(admin, cancel).await.status, StatusCode::OK);
    let cancelled = async || status(&long).await["phase"] == "cancelled";
    wait_until("a job cancelled", cancelled).await;
    let listed = run_command(admin, OperatorCommand::JobList(JobListQuery::default()))
        .await
        .json()
        .unwrap();
    let listed: Vec<&str> = listed["jobs"]
        .as_array()
        .unwrap()
        .iter()
        .map(|job| job["job"].as_str().unwrap())
        .collect();
    assert_eq!(listed.len(), 2, "{listed:?}");
    assert!(listed.contains(&short.as_str()) && listed.contains(&long.as_str()));
    assert!(platform.runs.overlaps().is_empty());
    daemon.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_job_is_refused_with_a_reason() {
    let platform = TestPlatform::start(Duration::from_millis(1)).await;
    let daemon = platform.start_daemon("a", 1).await;
    let admin = daemon.admin_address();
    configure(admin, &configuration()).await;
    let good = json!({
        "team": "benches", "class": "reconciliation", "tasks": 1, "payload": "",
        "size": {"cpu_millis": 1000, "memory_mib": 512},
    });
    let table = [
        (
            "team",
            json!("strangers"),
            StatusCode::CONFLICT,
            "no team `strangers`",
        ),
        (
            "class",
            json!("none"),
            StatusCode::CONFLICT,
            "no class `none`",
        ),
        ("tasks", json!(0), StatusCode::CONFLICT, "tasks, not 0"),
        (
            "tasks",
            json!("two"),
            StatusCode::BAD_REQUEST,
            "does not fit",
        ),
        (
            "weight",
            json!(3),
            StatusCode::BAD_REQUEST,
            "unknown field `weight`",
        ),
    ];
    for (key, value, status, reason) in table {
        let mut bad = good.clone();
        bad[key] = value;
        let answer = send_admin_request(admin, submission_request(&bad)).await;
        let body = String::from_utf8_lossy(&answer.body);
        assert_eq!(answer.status, status, "{body}");
        assert!(body.contains(reason), "{body}");
    }
    let unknown = OperatorCommand::JobStatus("00000000000000ff".to_owned());
    assert_eq!(
        run_command(admin, unknown).await.status,
        StatusCode::NOT_FOUND
    );
    daemon.stop().await;
}

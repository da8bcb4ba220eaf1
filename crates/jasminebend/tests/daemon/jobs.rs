//! A job from an operator's submission to its end.

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
        command,
        configure,
        operate,
        until, //
    },
    platform::{
        TestPlatform,
        configuration, //
    }, //
};

fn submission(job: &Value) -> AdminRequest {
    AdminRequest {
        method: Method::POST,
        path: "/v1/jobs".to_owned(),
        expected_version: None,
        body: job.to_string().into(),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_submitted_job_runs_to_its_end_and_another_is_cancelled() {
    let platform = TestPlatform::start(Duration::from_millis(1)).await;
    let daemon = platform.daemon("a", 1).await;
    let admin = daemon.admin_address();
    configure(admin, &configuration()).await;
    let mut job = json!({
        "team": "benches", "class": "reconciliation", "tasks": 2, "key": "night-1",
        "size": {"cpu_millis": 1000, "memory_mib": 512},
        "payload": TaskPayload::new(Duration::from_millis(10)).to_text(),
    });
    let submit = async |job: &Value| {
        let answer = operate(admin, submission(job)).await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        answer.json().unwrap()["job"].as_str().unwrap().to_owned()
    };
    let short = submit(&job).await;
    assert_eq!(submit(&job).await, short);
    let status = async |job: &str| {
        let read = OperatorCommand::JobStatus(job.to_owned());
        command(admin, read).await.json().unwrap()
    };
    let ended = async || status(&short).await["phase"] == "finished";
    until("a job finished", ended).await;
    job["key"] = "night-2".into();
    job["payload"] = TaskPayload::new(Duration::from_secs(3600)).to_text().into();
    let long = submit(&job).await;
    let cancel = OperatorCommand::JobCancel(long.clone());
    assert_eq!(command(admin, cancel).await.status, StatusCode::OK);
    let ended = async || status(&long).await["phase"] == "cancelled";
    until("a job cancelled", ended).await;
    let listed = command(admin, OperatorCommand::JobList(JobListQuery::default()))
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
async fn a_job_that_cannot_be_taken_is_refused_with_its_reason() {
    let platform = TestPlatform::start(Duration::from_millis(1)).await;
    let daemon = platform.daemon("a", 1).await;
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
        let answer = operate(admin, submission(&bad)).await;
        let body = String::from_utf8_lossy(&answer.body);
        assert_eq!(answer.status, status, "{body}");
        assert!(body.contains(reason), "{body}");
    }
    let unknown = OperatorCommand::JobStatus("00000000000000ff".to_owned());
    assert_eq!(command(admin, unknown).await.status, StatusCode::NOT_FOUND);
    daemon.stop().await;
}

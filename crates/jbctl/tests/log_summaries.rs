//! Tests that `LogSummary` counts requests, runs, ownership changes and jobs, sums waiting times by reason, and reports
//! and draws the usage of pools. The lines have the form in which the daemons write them.

#![expect(
    clippy::unwrap_used,
    reason = "a test's helpers panic as the test does"
)]

use jbctl::LogSummary;

fn summarize(lines: &[&str]) -> Vec<String> {
    LogSummary::read(lines.join("\n").as_bytes())
        .unwrap()
        .summary_lines()
}

#[test]
fn waiting_time_is_split_among_the_reasons() {
    let summary_lines = summarize(&[
        r#"{"ts":4.0,"node":"edge-a","event":"wait","step":"5c0e7a21d94b36f8.0.0","missing":3,"job_age_ms":3000,"owner_token":1,"processors":0,"memory":0,"leaving":0,"silent":0,"set_aside":0,"unfit":0,"kept":0,"busy":20,"shielded":0,"learning":0,"harm":40,"other":0}"#,
        r#"{"ts":6.1,"node":"edge-a","event":"wait","step":"5c0e7a21d94b36f8.0.0","missing":1,"job_age_ms":5100,"owner_token":1,"harm":60}"#,
    ]);
    assert!(summary_lines.contains(&"tasks waited by `harm`: 6 s".to_owned()));
    assert!(summary_lines.contains(&"tasks waited by `busy`: 2 s".to_owned()));
    let harm_position = summary_lines
        .iter()
        .position(|text| text.contains("`harm`"));
    let busy_position = summary_lines
        .iter()
        .position(|text| text.contains("`busy`"));
    assert!(
        harm_position < busy_position,
        "the longest waiting time comes first"
    );
}

#[test]
fn requests_starts_runs_owner_changes_and_jobs_are_counted() {
    let summary_lines = summarize(&[
        r#"{"ts":1.0,"node":"edge-b","event":"request","request":"submit","path":"/q/00000000000000aa","outcome":"Done","config_version":4,"took_ms":6.5}"#,
        r#"{"ts":1.1,"node":"edge-b","event":"request","request":"submit","path":"/q/00000000000000ab","outcome":"Refused(1s)","config_version":4,"took_ms":612.0}"#,
        r#"{"ts":1.2,"node":"edge-a","event":"order","order":"start","task":"00000000000000aa.0.0.1","run":1000000001,"worker":"i-1","outcome":"Taken"}"#,
        r#"{"ts":2.0,"node":"edge-a","event":"order","order":"give_way","worker":"i-1","service":"00000000000000ac.0.0.1","tail_percent":96,"moved":2}"#,
        r#"{"ts":2.1,"node":"edge-a","event":"end","task":"00000000000000aa.0.0.1","run":1000000001,"worker":"i-1","end":"stopped"}"#,
        r#"  2.2 edge-a {"ts":2.2,"node":"edge-a","event":"order","order":"start","task":"00000000000000aa.0.0.1","run":1000000002,"worker":"i-2","outcome":"Taken"}"#,
        r#"{"ts":2.3,"node":"edge-a","event":"order","order":"start","task":"00000000000000aa.0.0.2","run":1000000003,"worker":"i-2","outcome":"Unknown"}"#,
        r#"{"ts":3.0,"node":"edge-b","event":"owner","change":"acting","token":2,"former":"edge-a","former_gone":true,"took_ms":41.2}"#,
        r#"{"ts":3.1,"node":"edge-b","event":"dependency","dependency":"store","outcome":"back","without_ms":900}"#,
        r#"{"ts":4.0,"node":"edge-b","event":"job","job":"00000000000000aa","outcome":"completed","age_ms":3000}"#,
        "a line of something else",
    ]);
    for expected in [
        "requests Done: 1",
        "requests Refused: 1",
        "requests held for over 500 ms: 1",
        "tasks started: 1, of these more than once: 1",
        "runs stopped: 1",
        "fillers gave way to services: 1 times (1 of these below the service's target), 2 moved",
        "changes of the owner: 1, 41 ms until the new ones acted",
        "daemons without the store: 900 ms in all",
        "jobs completed: 1, half within 3000 ms, 95 of 100 within 3000 ms",
    ] {
        assert!(
            summary_lines.contains(&expected.to_owned()),
            "{expected}: {summary_lines:?}"
        );
    }
}

#[test]
fn unparsable_lines_are_counted_and_ignored() {
    let summary = LogSummary::read("{\"cut off\n\n[]\nplain\n".as_bytes()).unwrap();
    assert!(summary.is_empty());
    assert_eq!(summary.skipped_lines, 3);
}

const POOL_LINES: [&str; 3] = [
    r#"{"ts":10.0,"node":"edge-a","event":"pool","pool":"desk","workers":2,"capacity":64000,"long_running":40000,"long_running_wanted":0,"short":10000,"short_wanted":4000,"filler":9000,"filler_wanted":1000,"owner_token":1}"#,
    r#"{"ts":11.0,"node":"edge-a","event":"pool","pool":"desk","workers":2,"capacity":64000,"long_running":60000,"long_running_wanted":6000,"short":4000,"short_wanted":30000,"filler":9000,"filler_wanted":0,"owner_token":1}"#,
    r#"{"ts":11.2,"node":"edge-a","event":"admission","job":"00000000000000aa","queue":"q","granted":false,"demand":24000,"room":3000,"short_need":9000,"back_ms":4000,"owner_token":1}"#,
];

#[test]
fn the_mean_use_and_demand_of_a_pool_are_printed() {
    let summary_lines = summarize(&POOL_LINES);
    for expected in [
        "pool desk: long-running tasks held 50 of 64 processors and waited for 3, 6 at most",
        "pool desk: short tasks held 7 of 64 processors and waited for 17, 30 at most",
        "pool desk: fillers held 9 of 64 processors and waited for 0, 1 at most",
        "long-running jobs taken in: 0, refused for want of room: 1 times",
    ] {
        assert!(
            summary_lines.contains(&expected.to_owned()),
            "{expected}: {summary_lines:?}"
        );
    }
}

#[test]
fn the_usage_of_a_pool_is_drawn_as_svg() {
    let lines = POOL_LINES.join("\n");
    let history = LogSummary::read(lines.as_bytes()).unwrap().pool_usage;
    let file = std::env::temp_dir().join(format!("jbctl-plot-{}.svg", std::process::id()));
    history.plot(&file).unwrap();
    let svg = std::fs::read_to_string(&file).unwrap();
    std::fs::remove_file(&file).unwrap();
    for expected in ["<svg", "pool desk", "long-running, held", "short, waiting"] {
        assert!(svg.contains(expected), "{expected}");
    }
}

#[test]
fn a_plot_that_cannot_be_written_is_an_error() {
    let lines = POOL_LINES.join("\n");
    let history = LogSummary::read(lines.as_bytes()).unwrap().pool_usage;
    let error = history.plot(std::path::Path::new("/nowhere/at/all.svg"));
    assert!(error.unwrap_err().to_string().contains("cannot be written"));
}

//! Compares what the callers saw with what the endpoints and workers counted.

use crate::{
    demo_callers::{
        DemoCallers,
        RequestKind, //
    },
    demo_environment::DemoEnvironment,
    demo_faults::LateStarts,
    demo_jobs::{
        DemoJobs,
        JobCounts, //
    },
    demo_report::{
        ClassRow,
        DemoReport,
        ZeroCount, //
    },
    demo_request_stats::RequestOutcome,
};

/// Builds the report, with every count that must be zero.
pub(crate) fn build_report(
    environment: &DemoEnvironment,
    callers: &DemoCallers,
    jobs: &DemoJobs,
    late_starts: LateStarts,
    unfinished: usize,
) -> DemoReport {
    let counts = jobs.counts();
    let rows = callers
        .kinds
        .iter()
        .map(|kind| class_row(environment, kind))
        .collect();
    DemoReport {
        classes: rows,
        submitted: counts.submitted,
        accepted: to_u64(counts.accepted.len()),
        refused: counts.refused,
        unknown: counts.unknown,
        runs: environment.runs.summary(),
        zero_counts: zero_counts(
            environment,
            callers,
            late_starts,
            (counts.unsettled(), unfinished),
        )
        .into_iter()
        .chain(served_nothing(callers, &counts))
        .collect(),
    }
}

fn class_row(environment: &DemoEnvironment, kind: &RequestKind) -> ClassRow {
    ClassRow {
        name: kind.name,
        counts: kind.stats.counts(),
        run_twice: kind
            .stats
            .count(|id, _| environment.requests.runs_of(id) > 1),
        refusals: kind.stats.refusals(),
    }
}

fn zero_counts(
    environment: &DemoEnvironment,
    callers: &DemoCallers,
    late_starts: LateStarts,
    (unsettled, unfinished): (usize, usize),
) -> Vec<ZeroCount> {
    let runs = environment.runs.summary();
    let sum = |count: &dyn Fn(&RequestKind) -> u64| callers.kinds.iter().map(count).sum();
    let zero = |description, count| ZeroCount { description, count };
    vec![
        zero("requests unaccounted for", sum(&unaccounted)),
        zero(
            "answers that were not the caller's own whole one",
            sum(&|kind| kind.stats.counts().wrong),
        ),
        zero(
            "non-idempotent requests run twice",
            sum(&|kind| run_twice(environment, kind)),
        ),
        zero(
            "requests run although refused as not run",
            sum(&|kind| run_though_refused(environment, kind)),
        ),
        zero(
            "whole answers to requests that no endpoint ran",
            sum(&|kind| answered_unrun(environment, kind)),
        ),
        zero(
            "requests over an endpoint's slots",
            environment.requests.over_slots(),
        ),
        zero(
            "connections over an endpoint's limit",
            environment.requests.over_connections(),
        ),
        zero(
            "requests in the failure domain after it was out",
            late_starts.requests,
        ),
        zero(
            "task starts in the failure domain after it was out",
            to_u64(late_starts.tasks),
        ),
        zero("tasks in two places at once", runs.overlaps),
        zero("tasks finished twice", runs.repeated_finishes),
        zero(
            "tasks resumed twice from one checkpoint",
            runs.repeated_resumes,
        ),
        zero(
            "tasks started after they had finished",
            runs.starts_after_finish,
        ),
        zero("workers over their capacity", runs.over_capacity),
        zero(
            "submissions whose outcome a repetition did not settle",
            to_u64(unsettled),
        ),
        zero("accepted jobs that did not finish", to_u64(unfinished)),
    ]
}

/// Counts classes without a complete answer and demonstrations without an accepted job. A run that served nothing
/// would otherwise pass, because every other count would be zero.
fn served_nothing(callers: &DemoCallers, counts: &JobCounts) -> [ZeroCount; 2] {
    let unanswered = |kind: &&RequestKind| kind.stats.counts().whole == 0;
    [
        ZeroCount {
            description: "classes without one whole answer",
            count: to_u64(callers.kinds.iter().filter(unanswered).count()),
        },
        ZeroCount {
            description: "demonstrations without one accepted job",
            count: u64::from(counts.accepted.is_empty()),
        },
    ]
}

fn unaccounted(kind: &RequestKind) -> u64 {
    let counts = kind.stats.counts();
    let recorded = counts.whole + counts.not_run + counts.unknown + counts.wrong;
    counts.sent.abs_diff(recorded)
}

fn run_twice(environment: &DemoEnvironment, kind: &RequestKind) -> u64 {
    if kind.idempotent {
        return 0;
    }
    kind.stats
        .count(|id, _| environment.requests.runs_of(id) > 1)
}

/// Counts requests that an endpoint ran although the caller was told that they were not run.
fn run_though_refused(environment: &DemoEnvironment, kind: &RequestKind) -> u64 {
    kind.stats.count(|id, outcome| {
        outcome == RequestOutcome::NotRun && environment.requests.runs_of(id) > 0
    })
}

/// Counts complete answers to requests that no endpoint ran.
fn answered_unrun(environment: &DemoEnvironment, kind: &RequestKind) -> u64 {
    kind.stats.count(|id, outcome| {
        matches!(outcome, RequestOutcome::Whole(_)) && environment.requests.runs_of(id) == 0
    })
}

fn to_u64(count: usize) -> u64 {
    // CAST: `usize` has at most 64 bits on the machines that Rust's library supports.
    count as u64
}

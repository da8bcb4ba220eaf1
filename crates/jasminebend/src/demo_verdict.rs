//! Holds what the callers saw against what the endpoints and workers counted.

use crate::{
    demo_callers::{
        DemoCallers,
        RequestKind, //
    },
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
    demo_site::DemoSite,
    demo_tally::RequestFate,
};

pub(crate) fn report(
    site: &DemoSite,
    callers: &DemoCallers,
    jobs: &DemoJobs,
    late: LateStarts,
    unfinished: usize,
) -> DemoReport {
    let counts = jobs.counts();
    let rows = callers.kinds.iter().map(|kind| row(site, kind)).collect();
    DemoReport {
        classes: rows,
        submitted: counts.submitted,
        accepted: number(counts.accepted.len()),
        refused: counts.refused,
        unknown: counts.unknown,
        runs: site.runs.summary(),
        zeros: zeros(site, callers, late, (counts.unsettled(), unfinished))
            .into_iter()
            .chain(unserved(callers, &counts))
            .collect(),
    }
}

fn row(site: &DemoSite, kind: &RequestKind) -> ClassRow {
    ClassRow {
        name: kind.name,
        counts: kind.tally.counts(),
        run_twice: kind.tally.count(|id, _| site.requests.runs_of(id) > 1),
        refusals: kind.tally.refusals(),
    }
}

fn zeros(
    site: &DemoSite,
    callers: &DemoCallers,
    late: LateStarts,
    (unsettled, unfinished): (usize, usize),
) -> Vec<ZeroCount> {
    let runs = site.runs.summary();
    let sum = |count: &dyn Fn(&RequestKind) -> u64| callers.kinds.iter().map(count).sum();
    let zero = |what, count| ZeroCount { what, count };
    vec![
        zero("requests unaccounted for", sum(&unaccounted)),
        zero(
            "answers that were not the caller's own whole one",
            sum(&|kind| kind.tally.counts().wrong),
        ),
        zero(
            "non-idempotent requests run twice",
            sum(&|kind| run_twice(site, kind)),
        ),
        zero(
            "requests run although refused as not run",
            sum(&|kind| run_though_refused(site, kind)),
        ),
        zero(
            "whole answers to requests that no endpoint ran",
            sum(&|kind| answered_unrun(site, kind)),
        ),
        zero(
            "requests over an endpoint's slots",
            site.requests.over_slots(),
        ),
        zero(
            "connections over an endpoint's limit",
            site.requests.over_connections(),
        ),
        zero(
            "requests in the failure domain after it was out",
            late.requests,
        ),
        zero(
            "task starts in the failure domain after it was out",
            number(late.tasks),
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
            number(unsettled),
        ),
        zero("accepted jobs that did not finish", number(unfinished)),
    ]
}

/// A run that served nothing would have nothing to count, and every other count would be zero.
fn unserved(callers: &DemoCallers, counts: &JobCounts) -> [ZeroCount; 2] {
    let empty = |kind: &&RequestKind| kind.tally.counts().whole == 0;
    [
        ZeroCount {
            what: "classes without one whole answer",
            count: number(callers.kinds.iter().filter(empty).count()),
        },
        ZeroCount {
            what: "demonstrations without one accepted job",
            count: u64::from(counts.accepted.is_empty()),
        },
    ]
}

fn unaccounted(kind: &RequestKind) -> u64 {
    let counts = kind.tally.counts();
    let settled = counts.whole + counts.not_run + counts.unknown + counts.wrong;
    counts.sent.abs_diff(settled)
}

fn run_twice(site: &DemoSite, kind: &RequestKind) -> u64 {
    if kind.idempotent {
        return 0;
    }
    kind.tally.count(|id, _| site.requests.runs_of(id) > 1)
}

fn run_though_refused(site: &DemoSite, kind: &RequestKind) -> u64 {
    kind.tally
        .count(|id, fate| fate == RequestFate::NotRun && site.requests.runs_of(id) > 0)
}

fn answered_unrun(site: &DemoSite, kind: &RequestKind) -> u64 {
    kind.tally
        .count(|id, fate| matches!(fate, RequestFate::Whole(_)) && site.requests.runs_of(id) == 0)
}

fn number(count: usize) -> u64 {
    // CAST: `usize` has at most 64 bits on the machines that Rust's library supports.
    count as u64
}

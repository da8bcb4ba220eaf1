//! The report of the demonstration.

use std::{
    fmt::{
        Display,
        Formatter,
        Result, //
    },
    time::Duration,
};

use indexmap::IndexMap;
use jasminebend_standins::LedgerSummary;

use crate::demo_request_stats::RequestCounts;

/// The requests of one class.
#[derive(Clone, Debug)]
pub(crate) struct ClassRow {
    pub(crate) name: &'static str,
    pub(crate) counts: RequestCounts,
    /// The number of requests that endpoints ran more than once.
    pub(crate) run_twice: u64,
    /// The number of refusals by reason.
    pub(crate) refusals: IndexMap<String, u64>,
}

/// A count that must be zero.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZeroCount {
    pub(crate) description: &'static str,
    pub(crate) count: u64,
}

/// The report that the demonstration prints at its end.
#[derive(Clone, Debug)]
pub(crate) struct DemoReport {
    pub(crate) classes: Vec<ClassRow>,
    /// The number of submitted jobs.
    pub(crate) submitted: u64,
    pub(crate) accepted: u64,
    pub(crate) refused: u64,
    pub(crate) unknown: u64,
    pub(crate) runs: LedgerSummary,
    pub(crate) zero_counts: Vec<ZeroCount>,
}

impl DemoReport {
    /// Returns the number of counts that must be zero but are not.
    pub(crate) fn violations(&self) -> usize {
        self.zero_counts
            .iter()
            .filter(|zero| zero.count != 0)
            .count()
    }
}

impl Display for DemoReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        writeln!(
            formatter,
            "{:<12}{:>8}{:>8}{:>9}{:>9}{:>7}{:>10}{:>10}{:>10}",
            "class", "sent", "whole", "not run", "unknown", "twice", "p50", "p99", "p99.9"
        )?;
        self.classes
            .iter()
            .try_for_each(|row| write_class(formatter, row))?;
        self.classes
            .iter()
            .try_for_each(|row| write_refusals(formatter, row))?;
        writeln!(
            formatter,
            "\njobs: {} submitted, {} accepted, {} refused, {} unknown",
            self.submitted, self.accepted, self.refused, self.unknown
        )?;
        writeln!(
            formatter,
            "tasks at the workers: {} starts, {} finished, {} evicted, {} resumed, {} lapsed\n",
            self.runs.starts,
            self.runs.finishes,
            self.runs.evictions,
            self.runs.resumes,
            self.runs.lapses
        )?;
        writeln!(formatter, "must be zero:")?;
        self.zero_counts
            .iter()
            .try_for_each(|zero| write_zero(formatter, zero))
    }
}

fn write_class(formatter: &mut Formatter<'_>, row: &ClassRow) -> Result {
    let counts = &row.counts;
    writeln!(
        formatter,
        "{:<12}{:>8}{:>8}{:>9}{:>9}{:>7}{:>10}{:>10}{:>10}",
        row.name,
        counts.sent,
        counts.whole,
        counts.not_run,
        counts.unknown,
        row.run_twice,
        format_millis(counts.p50),
        format_millis(counts.p99),
        format_millis(counts.p999)
    )
}

fn write_refusals(formatter: &mut Formatter<'_>, row: &ClassRow) -> Result {
    let reasons = row.refusals.iter();
    let reasons: Vec<String> = reasons
        .map(|(reason, count)| format!("{reason} {count}"))
        .collect();
    if reasons.is_empty() {
        return Ok(());
    }
    writeln!(formatter, "{} refused: {}", row.name, reasons.join(", "))
}

fn write_zero(formatter: &mut Formatter<'_>, zero: &ZeroCount) -> Result {
    let mark = match zero.count {
        0 => "",
        _ => "   <- VIOLATED",
    };
    writeln!(formatter, "{:>8}  {}{mark}", zero.count, zero.description)
}

fn format_millis(time: Duration) -> String {
    format!("{:.1} ms", time.as_secs_f64() * 1_000.0)
}

//! Encoding of progress records as values of the store's rows.

use std::time::Duration;

use indexmap::IndexMap;
use jasminebend_dispatch::{
    CrashEvidence,
    JobFailure,
    ProgressRecord,
    StepProgress,
    TaskCrashes,
    WorkerCrash, //
};
use serde::{
    Deserialize,
    Serialize,
    de::DeserializeOwned, //
};

/// The part of a record that follows the fields which every version reads. A daemon of an earlier version ignores it.
#[derive(Default, Deserialize, Serialize)]
struct CrashSection {
    crashes: Vec<TaskCrashes>,
    failure: Option<JobFailure>,
}

/// The part of a record that follows its crashes: what shows them. A daemon of an earlier version ignores it.
#[derive(Default, Deserialize, Serialize)]
struct EvidenceSection {
    /// The evidence of each crash and the incarnation of its worker: of the tasks in their order, then of the failure.
    crashes: Vec<(CrashEvidence, Option<Duration>)>,
    /// For each task with crashes, the incarnation that has begun to execute the announced run.
    begun_in: Vec<Option<Duration>>,
}

/// The part of a record that follows the evidence, in large rows only: steps that are done and left out of those which every
/// version reads.
#[derive(Default, Deserialize, Serialize)]
struct DoneSection {
    ranges: Vec<DoneRange>,
}

/// A step that is done in consecutive occurrences.
#[derive(Deserialize, Serialize)]
struct DoneRange {
    step: u16,
    first: u32,
    count: u32,
}

/// The most bytes of a job's progress row: the store accepts 64 KiB.
const MAX_PROGRESS_BYTES: usize = 60 << 10;
/// The most done steps in the ranges of a row, some 90 MB in memory: a damaged range may claim billions.
const MAX_DONE_STEPS: u64 = 1 << 20;

/// Returns the value of a job's progress row. What a large job can do without is left out in turn until the store accepts the row:
/// checkpoints, so that tasks resume only while their workers last; the separate records of done steps, which earlier versions
/// need; failed attempts, which a successor then grants again.
///
/// # Errors
///
/// Returns the codec's error if the record can't be encoded.
pub fn encode_progress(record: &ProgressRecord) -> Result<Vec<u8>, postcard::Error> {
    let value = encode_record(record, Vec::new())?;
    if value.len() <= MAX_PROGRESS_BYTES {
        return Ok(value);
    }
    let mut smaller = record.clone();
    leave_out_checkpoints(&mut smaller, value.len() - MAX_PROGRESS_BYTES);
    let value = encode_record(&smaller, Vec::new())?;
    if value.len() <= MAX_PROGRESS_BYTES {
        return Ok(value);
    }
    let value = encode_compacted(&smaller)?;
    if value.len() <= MAX_PROGRESS_BYTES {
        return Ok(value);
    }
    leave_out_failures(&mut smaller, value.len() - MAX_PROGRESS_BYTES);
    encode_compacted(&smaller)
}

/// Removes the last checkpoints of a record until its encoding is at least `excess` bytes smaller, or none is left.
fn leave_out_checkpoints(record: &mut ProgressRecord, excess: usize) {
    let mut saved = 0;
    let mut count = 0;
    for step in record.steps.iter_mut().rev() {
        while saved < excess {
            let Some((_, checkpoint)) = step.checkpoints.pop() else {
                break;
            };
            // The task's number and the text's length take a byte each at least.
            saved += checkpoint.len() + 2;
            count += 1;
        }
    }
    metrics::counter!("jasminebend_fleet_unrecorded_checkpoints_total").increment(count);
}

/// Removes the last failed attempts of a record until its encoding is at least `excess` bytes smaller, or none is left.
fn leave_out_failures(record: &mut ProgressRecord, excess: usize) {
    let mut saved = 0;
    let mut count = 0;
    for step in record.steps.iter_mut().rev() {
        while saved < excess {
            let Some(failure) = step.failures.pop() else {
                break;
            };
            saved += postcard::experimental::serialized_size(&failure).unwrap_or(2);
            count += 1;
        }
    }
    metrics::counter!("jasminebend_fleet_unrecorded_failures_total").increment(count);
}

/// Encodes a record with the done steps of consecutive occurrences as ranges.
fn encode_compacted(record: &ProgressRecord) -> Result<Vec<u8>, postcard::Error> {
    let mut ranges: Vec<DoneRange> = Vec::new();
    let mut last_ranges: IndexMap<u16, usize> = IndexMap::new();
    for step in record.steps.iter().filter(|step| step.all_done) {
        let last = last_ranges.get(&step.step).map(|&index| &mut ranges[index]);
        match last {
            Some(range) if range.first + range.count == step.occurrence => range.count += 1,
            _ => {
                last_ranges.insert(step.step, ranges.len());
                ranges.push(DoneRange {
                    step: step.step,
                    first: step.occurrence,
                    count: 1,
                });
            }
        }
    }
    let mut open = record.clone();
    open.steps.retain(|step| !step.all_done);
    encode_record(&open, ranges)
}

/// Returns the done steps of ranges.
///
/// # Errors
///
/// Returns [`postcard::Error::DeserializeBadEncoding`] if they are more than [`MAX_DONE_STEPS`].
fn expand(ranges: Vec<DoneRange>) -> Result<Vec<StepProgress>, postcard::Error> {
    let count: u64 = ranges.iter().map(|range| u64::from(range.count)).sum();
    if count > MAX_DONE_STEPS {
        return Err(postcard::Error::DeserializeBadEncoding);
    }
    let steps = ranges.into_iter().flat_map(|range| {
        (0..range.count).map(move |number| StepProgress {
            occurrence: range.first.saturating_add(number),
            step: range.step,
            all_done: true,
            ..StepProgress::default()
        })
    });
    Ok(steps.collect())
}

fn encode_record(
    record: &ProgressRecord,
    ranges: Vec<DoneRange>,
) -> Result<Vec<u8>, postcard::Error> {
    let value = postcard::to_stdvec(record)?;
    if record.crashes.is_empty() && record.failure.is_none() && ranges.is_empty() {
        return Ok(value);
    }
    let mut section = CrashSection {
        crashes: record.crashes.clone(),
        failure: record.failure.clone(),
    };
    let evidence = EvidenceSection {
        begun_in: section.crashes.iter().map(|task| task.begun_in).collect(),
        crashes: crashes_of(&mut section)
            .map(|crash| (crash.evidence, crash.incarnation))
            .collect(),
    };
    let value = postcard::to_extend(&section, value)?;
    let value = postcard::to_extend(&evidence, value)?;
    match ranges.is_empty() {
        true => Ok(value),
        false => postcard::to_extend(&DoneSection { ranges }, value),
    }
}

/// Returns the record in the value of a job's progress row.
///
/// # Errors
///
/// Returns the codec's error if the value is no record.
pub fn decode_progress(value: &[u8]) -> Result<ProgressRecord, postcard::Error> {
    let (mut record, rest) = postcard::take_from_bytes::<ProgressRecord>(value)?;
    let (mut section, rest) = take_section::<CrashSection>(rest)?;
    let (evidence, rest) = take_section::<EvidenceSection>(rest)?;
    let (done, _) = take_section::<DoneSection>(rest)?;
    if !done.ranges.is_empty() {
        record.steps.extend(expand(done.ranges)?);
        record
            .steps
            .sort_by_key(|step| (step.occurrence, step.step));
    }
    for (task, begun_in) in section.crashes.iter_mut().zip(evidence.begun_in) {
        task.begun_in = begun_in;
    }
    for (crash, (evidence, incarnation)) in crashes_of(&mut section).zip(evidence.crashes) {
        crash.evidence = evidence;
        crash.incarnation = incarnation;
    }
    Ok(ProgressRecord {
        crashes: section.crashes,
        failure: section.failure,
        ..record
    })
}

/// Returns a section and the bytes that follow it. Records of earlier versions lack the last ones. One that can't be read is no
/// empty one: done steps may follow.
pub(crate) fn take_section<Section>(bytes: &[u8]) -> Result<(Section, &[u8]), postcard::Error>
where
    Section: Default + DeserializeOwned,
{
    match bytes {
        [] => Ok((Section::default(), bytes)),
        _ => postcard::take_from_bytes(bytes),
    }
}

/// Returns all crashes in a section: those of the tasks in their order, then those of the failure.
fn crashes_of(section: &mut CrashSection) -> impl Iterator<Item = &mut WorkerCrash> {
    let of_tasks = section
        .crashes
        .iter_mut()
        .flat_map(|task| &mut task.crashes);
    let of_failure = match &mut section.failure {
        Some(JobFailure::Crashes { crashes, .. }) => crashes.as_mut_slice(),
        Some(JobFailure::Attempts { .. }) | None => &mut [],
    };
    of_tasks.chain(of_failure)
}

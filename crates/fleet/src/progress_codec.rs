//! Encoding of progress records as values of the store's rows.

use std::time::Duration;

use jasminebend_dispatch::{
    CrashEvidence,
    JobFailure,
    ProgressRecord,
    TaskCrashes,
    WorkerCrash, //
};
use serde::{
    Deserialize,
    Serialize, //
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

/// The most bytes of a job's progress row: the store accepts 64 KiB.
const MAX_PROGRESS_BYTES: usize = 60 << 10;

/// Returns the value of a job's progress row. Of a large job checkpoints are left out, so that their tasks resume only while their
/// workers last, as the store would refuse the row.
///
/// # Errors
///
/// Returns the codec's error if the record can't be encoded.
pub fn encode_progress(record: &ProgressRecord) -> Result<Vec<u8>, postcard::Error> {
    let value = encode_record(record)?;
    if value.len() <= MAX_PROGRESS_BYTES {
        return Ok(value);
    }
    let mut smaller = record.clone();
    leave_out_checkpoints(&mut smaller, value.len() - MAX_PROGRESS_BYTES);
    encode_record(&smaller)
}

/// Removes the last checkpoints of a record until its encoding is at least `excess` bytes smaller, or none is left.
fn leave_out_checkpoints(record: &mut ProgressRecord, excess: usize) {
    let mut saved = 0;
    for step in record.steps.iter_mut().rev() {
        while saved < excess {
            let Some((_, checkpoint)) = step.checkpoints.pop() else {
                break;
            };
            // The task's number and the text's length take a byte each at least.
            saved += checkpoint.len() + 2;
        }
    }
}

fn encode_record(record: &ProgressRecord) -> Result<Vec<u8>, postcard::Error> {
    let value = postcard::to_stdvec(record)?;
    if record.crashes.is_empty() && record.failure.is_none() {
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
    postcard::to_extend(&evidence, value)
}

/// Returns the record in the value of a job's progress row.
///
/// # Errors
///
/// Returns the codec's error if the value is no record.
pub fn decode_progress(value: &[u8]) -> Result<ProgressRecord, postcard::Error> {
    let (record, rest) = postcard::take_from_bytes::<ProgressRecord>(value)?;
    // Records of earlier versions have no sections, and those of later ones may have others.
    let section = postcard::take_from_bytes::<CrashSection>(rest);
    let (mut section, rest) = section.unwrap_or_default();
    let evidence = postcard::from_bytes::<EvidenceSection>(rest).unwrap_or_default();
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

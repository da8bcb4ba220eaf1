//! Encoding of progress records as values of the store's rows.

use jasminebend_dispatch::{
    JobFailure,
    ProgressRecord,
    TaskCrashes, //
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

/// Returns the value of a job's progress row.
///
/// # Errors
///
/// Returns the codec's error if the record can't be encoded.
pub fn encode_progress(record: &ProgressRecord) -> Result<Vec<u8>, postcard::Error> {
    let value = postcard::to_stdvec(record)?;
    if record.crashes.is_empty() && record.failure.is_none() {
        return Ok(value);
    }
    let section = CrashSection {
        crashes: record.crashes.clone(),
        failure: record.failure.clone(),
    };
    postcard::to_extend(&section, value)
}

/// Returns the record in the value of a job's progress row.
///
/// # Errors
///
/// Returns the codec's error if the value is no record.
pub fn decode_progress(value: &[u8]) -> Result<ProgressRecord, postcard::Error> {
    let (record, rest) = postcard::take_from_bytes::<ProgressRecord>(value)?;
    // Records of earlier versions have no section, and those of later ones may have another.
    let section = postcard::from_bytes::<CrashSection>(rest).unwrap_or_default();
    Ok(ProgressRecord {
        crashes: section.crashes,
        failure: section.failure,
        ..record
    })
}

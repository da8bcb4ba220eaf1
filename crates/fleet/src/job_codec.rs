//! Encoding of accepted jobs as values of the store's rows.

use jasminebend_dispatch::QueueRule;

use crate::JobRecord;

/// Returns the value of a job's row. The rule of the job's queue follows the fields which every version reads; a daemon
/// of an earlier version ignores it.
///
/// # Errors
///
/// Returns the codec's error if the record can't be encoded.
pub fn encode_job(record: &JobRecord, rule: &QueueRule) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_extend(rule, postcard::to_stdvec(record)?)
}

/// Returns the record in the value of a job's row, and the rule that its queue had when the job was accepted; `None` if
/// an earlier version wrote the row.
///
/// # Errors
///
/// Returns the codec's error if the value is no record.
pub fn decode_job(value: &[u8]) -> Result<(JobRecord, Option<QueueRule>), postcard::Error> {
    let (record, rest) = postcard::take_from_bytes(value)?;
    Ok((record, postcard::from_bytes(rest).ok()))
}

//! The format of stored records: a version byte, an 8-byte checksum, then the fields encoded with
//! postcard.

use serde::{
    Serialize,
    de::DeserializeOwned, //
};

use crate::RecordError;

/// Format version that this release writes and reads.
const FORMAT_VERSION: u8 = 1;
/// Length of version and checksum, in bytes.
const HEADER_BYTES: usize = 9;

/// Encodes a record with its header.
///
/// # Errors
///
/// [`RecordError::Encoding`] if postcard cannot encode the record.
pub(crate) fn encode<Record>(record: &Record) -> Result<Vec<u8>, RecordError>
where
    Record: Serialize + ?Sized,
{
    let body = postcard::to_stdvec(record).map_err(|_| RecordError::Encoding)?;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.push(FORMAT_VERSION);
    bytes.extend_from_slice(&checksum(&body));
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// Decodes a record and verifies its checksum. Without the checksum a truncated record could decode
/// to a plausible value, and tasks would be started or dropped because of it.
///
/// # Errors
///
/// [`RecordError::Version`] for an unknown version, [`RecordError::Corrupt`] for a bad checksum or
/// encoding.
pub(crate) fn decode<Record>(bytes: &[u8]) -> Result<Record, RecordError>
where
    Record: DeserializeOwned,
{
    let version = bytes.first().copied().ok_or(RecordError::Corrupt)?;
    if version != FORMAT_VERSION {
        return Err(RecordError::Version { found: version });
    }
    let (header, body) = bytes
        .split_at_checked(HEADER_BYTES)
        .ok_or(RecordError::Corrupt)?;
    if header[1..] != checksum(body) {
        return Err(RecordError::Corrupt);
    }
    postcard::from_bytes(body).map_err(|_| RecordError::Corrupt)
}

/// Returns the first 8 bytes of the BLAKE3 hash.
fn checksum(body: &[u8]) -> [u8; 8] {
    let hash = blake3::hash(body);
    let mut sum = [0; 8];
    sum.copy_from_slice(&hash.as_bytes()[..8]);
    sum
}

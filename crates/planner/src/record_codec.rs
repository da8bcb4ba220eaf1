//! How records are stored: a version, a checksum, then the fields by postcard.

use serde::{
    Serialize,
    de::DeserializeOwned, //
};

use crate::RecordError;

const VERSION: u8 = 1;
const HEADER: usize = 9;

/// Encodes a record.
///
/// # Errors
///
/// [`RecordError::Encoding`] if the codec refuses it.
pub(crate) fn encode<Record>(record: &Record) -> Result<Vec<u8>, RecordError>
where
    Record: Serialize + ?Sized,
{
    let body = postcard::to_stdvec(record).map_err(|_| RecordError::Encoding)?;
    let mut bytes = Vec::with_capacity(HEADER + body.len());
    bytes.push(VERSION);
    bytes.extend_from_slice(&checksum(&body));
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// Decodes a record. A record that was cut short might still decode to something plausible, and a
/// task would be started or dropped on a guess; the checksum makes that an error.
///
/// # Errors
///
/// [`RecordError::Version`] or [`RecordError::Torn`].
pub(crate) fn decode<Record>(bytes: &[u8]) -> Result<Record, RecordError>
where
    Record: DeserializeOwned,
{
    let version = bytes.first().copied().ok_or(RecordError::Torn)?;
    if version != VERSION {
        return Err(RecordError::Version { found: version });
    }
    let (header, body) = bytes.split_at_checked(HEADER).ok_or(RecordError::Torn)?;
    if header[1..] != checksum(body) {
        return Err(RecordError::Torn);
    }
    postcard::from_bytes(body).map_err(|_| RecordError::Torn)
}

fn checksum(body: &[u8]) -> [u8; 8] {
    let hash = blake3::hash(body);
    let mut sum = [0; 8];
    sum.copy_from_slice(&hash.as_bytes()[..8]);
    sum
}

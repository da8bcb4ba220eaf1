//! The response body of a stand-in endpoint, which a caller can verify.

use std::hash::{
    DefaultHasher,
    Hash,
    Hasher, //
};

use bytes::Bytes;
use derive_more::{
    Display,
    Error, //
};

/// The padding byte.
const PADDING_BYTE: u8 = b'.';
/// The number of lines in a response body: the padding counts as one.
const LINE_COUNT: usize = 4;

/// Why a body is not the complete response to a request.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum AnswerFault {
    /// It doesn't have the format of a stand-in endpoint's response.
    #[display("the response is not in an endpoint's format")]
    UnknownFormat,
    /// It is the response to another request.
    #[display("the response belongs to another request")]
    OtherRequest,
    /// Its padding is shorter or longer than the length in its second line.
    #[display("the response has the wrong length")]
    WrongLength,
    /// Its bytes, or those of the request's body, were corrupted in transit.
    #[display("the response's checksum is wrong")]
    WrongChecksum,
}

/// Builds and verifies the response bodies of stand-in endpoints. A body has four lines: the request's ID, the length
/// of the padding, the checksum of both and of the request's body, and the padding.
#[derive(Clone, Copy, Debug)]
pub struct EndpointAnswer;

impl EndpointAnswer {
    /// Returns the body of the response to a request, with this number of padding bytes.
    pub fn build(id: &str, request: &[u8], padding: usize) -> Bytes {
        let sum = checksum(id, request, padding);
        let mut answer = format!("{id}\n{padding}\n{sum:016x}\n").into_bytes();
        answer.resize(answer.len() + padding, PADDING_BYTE);
        answer.into()
    }

    /// Checks that `answer` is the complete response to the request.
    ///
    /// # Errors
    ///
    /// Returns the first [`AnswerFault`] found.
    pub fn check(id: &str, request: &[u8], answer: &[u8]) -> Result<(), AnswerFault> {
        let mut lines = answer.splitn(LINE_COUNT, |byte| *byte == b'\n');
        let mut next = || lines.next().ok_or(AnswerFault::UnknownFormat);
        let (found, length, sum, padding) = (next()?, next()?, next()?, next()?);
        if found != id.as_bytes() {
            return Err(AnswerFault::OtherRequest);
        }
        if length != padding.len().to_string().as_bytes() {
            return Err(AnswerFault::WrongLength);
        }
        let expected = format!("{:016x}", checksum(id, request, padding.len()));
        if sum != expected.as_bytes() || padding.iter().any(|byte| *byte != PADDING_BYTE) {
            return Err(AnswerFault::WrongChecksum);
        }
        Ok(())
    }
}

fn checksum(id: &str, request: &[u8], padding: usize) -> u64 {
    let mut hasher = DefaultHasher::new();
    (id, request, padding).hash(&mut hasher);
    hasher.finish()
}

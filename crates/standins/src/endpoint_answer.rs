//! The answer of a stand-in endpoint, which its caller can check.

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

const FILLER: u8 = b'.';
const FIELDS: usize = 4;

/// Why an answer is not the whole one to a request.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum AnswerFault {
    /// It doesn't begin as an endpoint's answer does.
    #[display("the answer is none of an endpoint's")]
    Foreign,
    /// It answers another request.
    #[display("the answer is that to another request")]
    OtherRequest,
    /// It is shorter or longer than it says.
    #[display("the answer is not whole")]
    NotWhole,
    /// Its bytes, or those of the request's body, were changed on their way.
    #[display("the answer's checksum is wrong")]
    Changed,
}

/// The answer of a stand-in endpoint: the request's identity, the filler's length, the checksum of
/// all that with the request's body, and the filler, a line each.
#[derive(Clone, Copy, Debug)]
pub struct EndpointAnswer;

impl EndpointAnswer {
    /// Builds the answer to a request.
    pub fn build(id: &str, request: &[u8], filler: usize) -> Bytes {
        let sum = checksum(id, request, filler);
        let mut answer = format!("{id}\n{filler}\n{sum:016x}\n").into_bytes();
        answer.resize(answer.len() + filler, FILLER);
        answer.into()
    }

    /// Checks that this is the whole answer to that request.
    ///
    /// # Errors
    ///
    /// The [`AnswerFault`] found.
    pub fn check(id: &str, request: &[u8], answer: &[u8]) -> Result<(), AnswerFault> {
        let mut lines = answer.splitn(FIELDS, |byte| *byte == b'\n');
        let mut next = || lines.next().ok_or(AnswerFault::Foreign);
        let (found, length, sum, filler) = (next()?, next()?, next()?, next()?);
        if found != id.as_bytes() {
            return Err(AnswerFault::OtherRequest);
        }
        if length != filler.len().to_string().as_bytes() {
            return Err(AnswerFault::NotWhole);
        }
        let expected = format!("{:016x}", checksum(id, request, filler.len()));
        if sum != expected.as_bytes() || filler.iter().any(|byte| *byte != FILLER) {
            return Err(AnswerFault::Changed);
        }
        Ok(())
    }
}

fn checksum(id: &str, request: &[u8], filler: usize) -> u64 {
    let mut hasher = DefaultHasher::new();
    (id, request, filler).hash(&mut hasher);
    hasher.finish()
}

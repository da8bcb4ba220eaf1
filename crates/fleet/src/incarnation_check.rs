//! The check that a connection reaches the incarnation that a call is meant for.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;

use crate::HttpReply;

/// When the process that accepted a connection began, since 1970; `None` if its answers do not tell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerIncarnation(pub Option<Duration>);

/// Returns the incarnation that an answer tells; `None` if it is a refusal, or can't be decoded.
pub type IncarnationReader = fn(&HttpReply) -> Option<PeerIncarnation>;

/// The check of a new connection, before it carries a call that is meant for one incarnation.
#[derive(Debug)]
pub struct IncarnationCheck {
    /// The incarnation that the call is meant for.
    pub intended: PeerIncarnation,
    /// The first request on the connection, which changes nothing in any incarnation.
    pub request: Request<Full<Bytes>>,
    /// Reads the answer to it.
    pub reader: IncarnationReader,
}

/// The result of a call that is meant for one incarnation.
#[derive(Clone, Debug)]
pub enum CheckedReply {
    /// The incarnation answered the call.
    Answered(HttpReply),
    /// The check was refused with this answer, and the call not sent.
    CheckRefused(HttpReply),
    /// Another incarnation answered the check, and the call was not sent.
    OtherIncarnation,
}

//! [`HeadError`]: why the first head of a connection cannot be processed.

/// Why the first head of a connection cannot be processed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HeadError {
    /// The head violates the protocol.
    Malformed,
    /// The head is larger than allowed.
    TooLarge,
}

const MALFORMED_RESPONSE: &[u8] = b"HTTP/1.1 400 Bad Request\r\n\
    content-length: 0\r\n\
    connection: close\r\n\
    jasminebend-executed: no\r\n\
    jasminebend-reason: malformed\r\n\r\n";
const HEAD_TOO_LARGE_RESPONSE: &[u8] = b"HTTP/1.1 431 Request Header Fields Too Large\r\n\
    content-length: 0\r\n\
    connection: close\r\n\
    jasminebend-executed: no\r\n\
    jasminebend-reason: head_too_large\r\n\r\n";

impl HeadError {
    /// Returns the complete response as bytes.
    pub(crate) fn response_bytes(self) -> &'static [u8] {
        match self {
            Self::Malformed => MALFORMED_RESPONSE,
            Self::TooLarge => HEAD_TOO_LARGE_RESPONSE,
        }
    }

    /// Returns the reason that the metrics and the `Jasminebend-Reason` header carry.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::TooLarge => "head_too_large",
        }
    }
}

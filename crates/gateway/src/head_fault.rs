//! Why the first head of a connection cannot be taken.

/// Why the first head of a connection cannot be taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HeadFault {
    /// It breaks the protocol.
    Malformed,
    /// It is too large.
    TooLarge,
}

const MALFORMED: &[u8] = b"HTTP/1.1 400 Bad Request\r\n\
    content-length: 0\r\n\
    connection: close\r\n\
    jasminebend-executed: no\r\n\
    jasminebend-reason: malformed\r\n\r\n";
const TOO_LARGE: &[u8] = b"HTTP/1.1 431 Request Header Fields Too Large\r\n\
    content-length: 0\r\n\
    connection: close\r\n\
    jasminebend-executed: no\r\n\
    jasminebend-reason: head_too_large\r\n\r\n";

impl HeadFault {
    /// Returns the whole answer as bytes.
    pub(crate) fn answer(self) -> &'static [u8] {
        match self {
            Self::Malformed => MALFORMED,
            Self::TooLarge => TOO_LARGE,
        }
    }

    /// Returns the reason as the metrics and the answer name it.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::TooLarge => "head_too_large",
        }
    }
}

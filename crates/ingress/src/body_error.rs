//! [`BodyError`]: why a request's body was not read.

use derive_more::Display;

/// Why a request's body was not read.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum BodyError {
    /// The body is larger than allowed.
    #[display("the body is too large")]
    TooLarge,
    /// The connection ended, or the body is badly framed.
    #[display("the body ends early or is badly framed")]
    Broken,
    /// The body did not arrive in time.
    #[display("the body took too long")]
    Late,
    /// There is no memory for the request beside the others. Nothing is known of an earlier attempt of the same request.
    #[display("there is no memory for the request")]
    NoMemory,
}

//! [`BodyStart`]: a request's body, or its beginning.

use bytes::Bytes;

/// A request's body, or its beginning if it is larger than a limit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BodyStart {
    /// The whole body.
    Complete(Bytes),
    /// What has arrived of a body that is larger than the limit.
    Partial(Bytes),
}

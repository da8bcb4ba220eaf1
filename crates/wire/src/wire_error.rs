//! Why a frame was ignored, or could not be made.

use derive_more::{
    Display,
    Error, //
};

/// Why a frame was ignored, or could not be made.
#[derive(Clone, Copy, Debug, Display, Eq, Error, Hash, PartialEq)]
pub enum WireError {
    /// The frame is larger than any daemon sends.
    #[display("the frame is too large")]
    TooLarge,
    /// The frame is too short to be one.
    #[display("the frame is too short")]
    TooShort,
    /// The frame's hash fits no key.
    #[display("the frame is not from a daemon that has the key")]
    NotAuthentic,
    /// The frame is of another major version.
    #[display("the frame is of another version")]
    OtherVersion,
    /// The frame is of a kind that this version does not know.
    #[display("the frame is of an unknown kind")]
    UnknownKind,
    /// The payload cannot be read.
    #[display("the frame is malformed")]
    Malformed,
    /// The frame is for another process.
    #[display("the frame is for another process")]
    OtherRecipient,
    /// The frame was seen already, or is too old to tell.
    #[display("the frame was seen already")]
    Replayed,
}

//! The reason why a frame is ignored or can't be encoded.

use derive_more::{
    Display,
    Error, //
};

/// The reason why a frame is ignored or can't be encoded. Its `Display` texts are values of the
/// label `reason` of the metric `jasminebend_peer_frames_ignored_total`.
#[derive(Clone, Copy, Debug, Display, Eq, Error, Hash, PartialEq)]
pub enum WireError {
    /// The frame exceeds [`crate::MAX_FRAME_BYTES`].
    #[display("the frame is too large")]
    TooLarge,
    /// The frame is too short to contain a header, a payload and a hash.
    #[display("the frame is too short")]
    TooShort,
    /// The frame's hash is valid under none of the accepted keys.
    #[display("the frame is not from a daemon that has the key")]
    InvalidHash,
    /// The frame has another major version.
    #[display("the frame is of another version")]
    UnsupportedMajorVersion,
    /// The frame has a newer minor version, and contains a kind of message that this version does
    /// not know.
    #[display("the frame is of an unknown kind")]
    UnknownMessageKind,
    /// The payload can't be parsed or encoded.
    #[display("the frame is malformed")]
    Malformed,
    /// The frame is addressed to another process.
    #[display("the frame is for another process")]
    OtherRecipient,
    /// The frame was received before, or is too old for the replay window to decide.
    #[display("the frame was seen already")]
    Replayed,
}

//! Errors of tokens files.

use derive_more::{
    Display,
    Error, //
};

/// Error of a tokens file.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum TokenError {
    /// The file cannot be read.
    #[display("the tokens file cannot be read: {reason}")]
    Unreadable {
        /// The operating system's error.
        reason: String,
    },
    /// The file is not a list of operators with the expected keys.
    #[display("the tokens file does not fit: {reason}; give a list of `name`, `role` and `blake3`")]
    Shape {
        /// The parser's message.
        reason: String,
    },
    /// A token's digest is not valid.
    #[display("the digest of `{name}` is not 64 hexadecimal digits; make it by `jbctl token hash`")]
    BadDigest {
        /// The name of the operator.
        name: String,
    },
    /// Two entries have the same operator name.
    #[display("the operator `{name}` is listed twice; give each token its own name")]
    DuplicateName {
        /// The name of the operator.
        name: String,
    },
    /// The file lists no operator.
    #[display("the tokens file lists nobody; list at least one operator")]
    Empty,
}

//! Why a tokens file is refused.

use derive_more::{
    Display,
    Error, //
};

/// Why a tokens file is refused.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum TokenError {
    /// The file cannot be read.
    #[display("the tokens file cannot be read: {reason}")]
    Unreadable {
        /// What the system says.
        reason: String,
    },
    /// The file has the wrong shape.
    #[display("the tokens file does not fit: {reason}; give a list of `name`, `role` and `blake3`")]
    Shape {
        /// What the parser says.
        reason: String,
    },
    /// A digest is not one.
    #[display("the digest of `{name}` is not 64 hexadecimal digits; make it by `jbctl token hash`")]
    BadDigest {
        /// The operator.
        name: String,
    },
    /// A name is given twice.
    #[display("the operator `{name}` is listed twice; give each token its own name")]
    DuplicateName {
        /// The operator.
        name: String,
    },
    /// Nobody is listed.
    #[display("the tokens file lists nobody; list at least one operator")]
    Empty,
}

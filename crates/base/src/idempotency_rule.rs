//! The rule that decides which requests of a class are idempotent.

use serde::{
    Deserialize,
    Serialize, //
};

/// The rule that decides which requests of a class are idempotent, so that they may run more than
/// once.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum IdempotencyRule {
    /// The method decides: GET, HEAD, OPTIONS, TRACE, PUT and DELETE are idempotent (RFC 9110,
    /// 9.2.2).
    #[default]
    ByMethod,
    /// Every request is idempotent, whatever its method.
    Always,
    /// No request is idempotent, whatever its method.
    Never,
}

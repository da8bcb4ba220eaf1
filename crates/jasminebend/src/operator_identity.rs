//! The operator who sent an administration request.

use derive_more::Display;

use crate::AccessRole;

/// The operator who sent an administration request.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{name}")]
pub struct OperatorIdentity {
    /// The operator's name in the tokens file; `anonymous` if no token is required.
    pub name: String,
    /// The operator's role.
    pub role: AccessRole,
}

impl OperatorIdentity {
    /// Returns the identity of requests that need no token: `anonymous`, with every permission.
    pub fn anonymous() -> Self {
        Self {
            name: "anonymous".to_owned(),
            role: AccessRole::Operate,
        }
    }
}

//! Who sent an administration request.

use derive_more::Display;

use crate::AccessRole;

/// Who sent an administration request.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{name}")]
pub struct OperatorIdentity {
    /// The name that the tokens file gives; `anonymous` where no token is asked for.
    pub name: String,
    /// What this operator may do.
    pub role: AccessRole,
}

impl OperatorIdentity {
    /// Anybody, where no token is asked for.
    pub fn anonymous() -> Self {
        Self {
            name: "anonymous".to_owned(),
            role: AccessRole::Operate,
        }
    }
}

//! A transaction on the shared rows of the table.

use crate::{
    ConfigurationHeader,
    MembersRow,
    OwnershipRow,
    VersionedRow, //
};

/// A transaction on the shared rows of the table. It applies only if each row still has the version
/// given here.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SharedWrite {
    /// The members' row; `None` if the transaction does not include it.
    pub members: Option<VersionedRow<MembersRow>>,
    /// The resources' row; `None` if the transaction does not include it.
    pub ownership: Option<VersionedRow<OwnershipRow>>,
    /// The configuration's header; `None` if the transaction does not include it.
    pub configuration: Option<VersionedRow<ConfigurationHeader>>,
}

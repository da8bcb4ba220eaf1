//! One transaction of a member on the shared rows.

use crate::{
    ConfigurationHeader,
    MembersRow,
    OwnershipRow,
    VersionedRow, //
};

/// One transaction of a member on the shared rows; each row carries the version that it expects.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SharedWrite {
    /// The members, if they change.
    pub members: Option<VersionedRow<MembersRow>>,
    /// The resources, if they change.
    pub ownership: Option<VersionedRow<OwnershipRow>>,
    /// The configuration's header, if it changes.
    pub configuration: Option<VersionedRow<ConfigurationHeader>>,
}

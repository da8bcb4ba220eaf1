//! Announcement of a task's start to a successor.

use std::{
    sync::Arc,
    time::Duration, //
};

/// Announcement, in the job's record, that a task is about to start or has started on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct StartAnnouncement {
    /// The worker's identity.
    pub(crate) worker: Arc<str>,
    /// The number of the change that contains the announcement.
    pub(crate) change: u64,
    /// The worker's incarnation that has certainly begun to execute the run.
    pub(crate) begun_in: Option<Duration>,
}

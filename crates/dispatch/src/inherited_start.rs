//! Start that a former owner announced.

use std::{
    sync::Arc,
    time::Duration, //
};

/// Start that a former owner announced, and of which it recorded no end.
#[derive(Clone, Debug)]
pub(crate) struct InheritedStart {
    /// The worker's identity.
    pub(crate) worker: Arc<str>,
    /// The worker's incarnation that has certainly begun to execute the run.
    pub(crate) begun_in: Option<Duration>,
}

//! What the cluster part reaches outside the process.

use std::sync::Arc;

use derive_more::Debug;
use jasminebend_ports::{
    ClockSource,
    TableService,
    VmList, //
};

/// What the cluster part reaches outside the process.
#[derive(Clone, Debug)]
pub struct ClusterEdges {
    /// The platform's table service.
    #[debug(skip)]
    pub table: Arc<dyn TableService>,
    /// The platform's VM list.
    #[debug(skip)]
    pub vm_list: Arc<dyn VmList>,
    /// The clock.
    #[debug(skip)]
    pub clock: Arc<dyn ClockSource>,
    /// The seed of all that is drawn at random; differs at each start of a process.
    pub seed: u64,
}

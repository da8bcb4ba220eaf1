//! The ports of the cluster part to external services.

use std::sync::Arc;

use derive_more::Debug;
use jasminebend_ports::{
    ClockSource,
    TableService,
    VmList, //
};

/// The ports of the cluster part to external services, and the seed of its random numbers.
#[derive(Clone, Debug)]
pub struct ClusterPorts {
    /// The platform's table service.
    #[debug(skip)]
    pub table: Arc<dyn TableService>,
    /// The platform's VM list.
    #[debug(skip)]
    pub vm_list: Arc<dyn VmList>,
    /// The clock from which all durations and deadlines are computed.
    #[debug(skip)]
    pub clock: Arc<dyn ClockSource>,
    /// The seed of all random numbers. It must differ at each start of a process, because the
    /// process's nonce is drawn from it.
    pub seed: u64,
}

//! Configuration of a pool of workers.

/// Configuration of a pool of workers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolRule {
    /// Whether the pool's workers reject a run that exceeds their capacity.
    pub rejects_overload: bool,
    /// Whether the pool's VMs are switched off until they are moved elsewhere.
    pub standby: bool,
}

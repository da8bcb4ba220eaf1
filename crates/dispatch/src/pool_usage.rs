//! CPU usage of a pool by kind of work.

use std::sync::Arc;

use crate::WorkKind;

/// CPU usage of a pool by kind of work, in millicores.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolUsage {
    /// The pool's name.
    pub pool: Arc<str>,
    /// The number of workers on which tasks may start.
    pub workers: usize,
    /// The CPU capacity of these workers, in millicores.
    pub capacity: u64,
    /// The share of long-running tasks.
    pub long_running: CpuUsage,
    /// The share of short tasks.
    pub short: CpuUsage,
    /// The share of fillers, which use CPU that the others leave idle.
    pub filler: CpuUsage,
}

/// CPU that one kind of work holds and waits for, in millicores.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CpuUsage {
    /// The CPU that its runs reserve; for fillers, which reserve none, the declared CPU.
    pub held: u64,
    /// The CPU declared by its tasks that could run now but have no run.
    pub waiting: u64,
}

impl PoolUsage {
    pub(crate) fn new(pool: Arc<str>) -> Self {
        Self {
            pool,
            workers: 0,
            capacity: 0,
            long_running: CpuUsage::default(),
            short: CpuUsage::default(),
            filler: CpuUsage::default(),
        }
    }

    pub(crate) fn share_mut(&mut self, kind: WorkKind) -> &mut CpuUsage {
        match kind {
            WorkKind::LongRunning => &mut self.long_running,
            WorkKind::Short => &mut self.short,
            WorkKind::Filler => &mut self.filler,
        }
    }
}

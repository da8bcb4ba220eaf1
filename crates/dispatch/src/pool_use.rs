//! Who holds a pool's processors, and who waits for them.

use std::sync::Arc;

use crate::WorkKind;

/// Who holds a pool's processors, and who waits for them; all in thousandths of a processor.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolUse {
    /// The pool.
    pub pool: Arc<str>,
    /// How many workers may be given tasks.
    pub workers: usize,
    /// What these workers have.
    pub capacity: u64,
    /// What long-running tasks have there.
    pub long_running: WorkShare,
    /// What short tasks have there.
    pub short: WorkShare,
    /// What fillers have there beside them.
    pub filler: WorkShare,
}

/// What one kind of work has of a pool's processors, in thousandths of a processor.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkShare {
    /// What its runs hold or, of fillers, would use.
    pub held: u64,
    /// What its tasks want whose turn has come and that have no run.
    pub wanted: u64,
}

impl PoolUse {
    pub(crate) fn new(pool: Arc<str>) -> Self {
        Self {
            pool,
            workers: 0,
            capacity: 0,
            long_running: WorkShare::default(),
            short: WorkShare::default(),
            filler: WorkShare::default(),
        }
    }

    pub(crate) fn share_mut(&mut self, kind: WorkKind) -> &mut WorkShare {
        match kind {
            WorkKind::LongRunning => &mut self.long_running,
            WorkKind::Short => &mut self.short,
            WorkKind::Filler => &mut self.filler,
        }
    }
}

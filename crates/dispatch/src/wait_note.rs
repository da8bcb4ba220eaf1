//! Why a task waits.

use crate::StepKey;

/// Why the tasks of a step wait although they should have started: how many workers speak against it, and by what.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WaitReasons {
    /// Workers without enough free processors.
    pub processors: usize,
    /// Workers without enough free memory.
    pub memory: usize,
    /// Workers that leave, that are not listed, or whose failure domain is closed.
    pub leaving: usize,
    /// Workers that did not answer, or were not heard since the owner changed.
    pub silent: usize,
    /// Workers that are set aside since runs failed there.
    pub set_aside: usize,
    /// Workers without the label, of another pool, or with as many of the step's tasks as may be there.
    pub unfit: usize,
    /// Workers whose room is kept for what waited longer.
    pub kept: usize,
    /// Workers whose processors are believed to be in use, by services or by other fillers.
    pub busy: usize,
    /// Workers where a service was too slow just now.
    pub shielded: usize,
    /// Workers where the effect of another newcomer on a service is not seen yet.
    pub learning: usize,
    /// Workers where a service would be slowed too much.
    pub harm: usize,
    /// Workers that have room and that no ticket names, or that were chosen for the step's other tasks.
    pub other: usize,
}

/// A step that waits although it should have started.
#[derive(Clone, Debug)]
pub struct WaitNote {
    /// The step.
    pub step: StepKey,
    /// How many of its tasks have no place.
    pub missing: usize,
    /// What speaks against the workers.
    pub reasons: WaitReasons,
}

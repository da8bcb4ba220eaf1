//! How loaded a service is.

/// How loaded a service is, by the share of its reservation that it uses.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LoadLevel {
    /// Below a third.
    #[default]
    Low,
    /// Below two thirds.
    Middle,
    /// Above.
    High,
}

impl LoadLevel {
    pub(crate) const COUNT: usize = 3;

    /// Creates the level of a share.
    pub fn new(used: u64, reserved: u64) -> Self {
        match used.saturating_mul(3) / reserved.max(1) {
            0 => Self::Low,
            1 => Self::Middle,
            _ => Self::High,
        }
    }

    pub(crate) fn slot(self) -> usize {
        match self {
            Self::Low => 0,
            Self::Middle => 1,
            Self::High => 2,
        }
    }
}

//! Options of the demonstration.

/// Options of `jasminebend demo`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DemoOptions {
    /// How long requests and jobs are sent, in seconds.
    pub seconds: u64,
    /// The seed of the demonstration's random number generators.
    pub seed: u64,
    /// Whether to keep the daemons running until a signal after the report is printed.
    pub keep_running: bool,
}

impl DemoOptions {
    /// Creates the default options.
    pub fn new() -> Self {
        Self {
            seconds: 20,
            seed: 1,
            keep_running: false,
        }
    }
}

impl Default for DemoOptions {
    fn default() -> Self {
        Self::new()
    }
}

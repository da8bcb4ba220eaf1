//! What `jasminebend demo` is told.

/// What `jasminebend demo` is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DemoOptions {
    /// How long requests and jobs are sent, in seconds.
    pub seconds: u64,
    /// What every draw of the demonstration starts from.
    pub seed: u64,
    /// Whether to go on serving until a signal once the table is printed.
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

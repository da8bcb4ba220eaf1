//! A temporary directory of a test.

use std::{
    fs,
    path::PathBuf,
    sync::atomic::{
        AtomicU32,
        Ordering, //
    }, //
};

static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);

/// A temporary directory that is removed when it is dropped.
pub(crate) struct TemporaryDirectory {
    path: PathBuf,
}

impl TemporaryDirectory {
    pub(crate) fn new() -> Self {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("jasminebend-test-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("a directory");
        Self { path }
    }

    /// Writes a file in the directory and returns its path.
    pub(crate) fn write(&self, name: &str, content: &str) -> PathBuf {
        let path = self.path.join(name);
        fs::write(&path, content).expect("a file");
        path
    }
}

impl Drop for TemporaryDirectory {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.path));
    }
}

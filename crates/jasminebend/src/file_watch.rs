//! Notices that files were replaced.

use std::{
    fs,
    path::PathBuf,
    time::Duration, //
};

use blake3::{
    Hash,
    Hasher, //
};
use tokio::time::sleep;

const PERIOD: Duration = Duration::from_secs(1);

/// Notices that files were replaced.
///
/// Contents are compared, not times of change: two writes within one tick of the file system's
/// clock would look like one.
#[derive(Debug)]
pub(crate) struct FileWatch {
    paths: Vec<PathBuf>,
    seen: Hash,
}

impl FileWatch {
    pub(crate) fn new(paths: Vec<PathBuf>) -> Self {
        let seen = digest(&paths);
        Self { paths, seen }
    }

    /// Waits until a content differs from the one seen last; looks each second.
    pub(crate) async fn changed(&mut self) {
        loop {
            sleep(PERIOD).await;
            let found = digest(&self.paths);
            if found != self.seen {
                self.seen = found;
                return;
            }
        }
    }
}

fn digest(paths: &[PathBuf]) -> Hash {
    let mut hasher = Hasher::new();
    for path in paths {
        let content = fs::read(path).unwrap_or_default();
        hasher.update(blake3::hash(&content).as_bytes());
    }
    hasher.finalize()
}

//! Detects changes of files.

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

const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Detects changes of the contents of a set of files.
///
/// It compares contents and not modification times, because two writes within one tick of the file system's clock have
/// the same time.
#[derive(Debug)]
pub(crate) struct FileWatcher {
    paths: Vec<PathBuf>,
    /// The digest of the contents at the last check. A file that cannot be read counts as empty.
    last_digest: Hash,
}

impl FileWatcher {
    pub(crate) fn new(paths: Vec<PathBuf>) -> Self {
        let last_digest = digest(&paths);
        Self { paths, last_digest }
    }

    /// Waits until a file's content differs from the last check; checks every second.
    pub(crate) async fn changed(&mut self) {
        loop {
            sleep(CHECK_INTERVAL).await;
            let current = digest(&self.paths);
            if current != self.last_digest {
                self.last_digest = current;
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

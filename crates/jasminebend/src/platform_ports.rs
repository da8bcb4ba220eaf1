//! HTTP ports of the platform.

use std::{
    path::Path,
    sync::Arc, //
};

use jasminebend_ports::{
    AccessToken,
    HttpObjectStore,
    HttpTableService,
    HttpVmList,
    HttpWorkerTransport,
    SystemClock, //
};

use crate::{
    DaemonError,
    DaemonPorts,
    PlatformSettings,
    peer_keys::read_secret,
    secret_file_watcher::SecretFileWatcher, //
};

/// The ports of a daemon, implemented by HTTP clients of the platform.
pub(crate) struct PlatformPorts {
    pub(crate) ports: DaemonPorts,
    /// The bearer token sent to the platform and the watcher of its file; `None` if the platform asks for no token.
    pub(crate) token: Option<(AccessToken, SecretFileWatcher)>,
}

impl PlatformPorts {
    pub(crate) fn new(settings: &PlatformSettings, seed: u64) -> Result<Self, DaemonError> {
        let token = settings.token_file.as_deref().map(read_token).transpose()?;
        let mut table = HttpTableService::new(settings.table).with_timeout(settings.table_timeout);
        let mut objects =
            HttpObjectStore::new(settings.objects).with_timeout(settings.objects_timeout);
        let mut vm_list = HttpVmList::new(settings.vm_list).with_timeout(settings.vm_list_timeout);
        let mut workers = HttpWorkerTransport::new().with_timeout(settings.worker_timeout);
        if let Some((token, _)) = &token {
            table = table.with_token(token.clone());
            objects = objects.with_token(token.clone());
            vm_list = vm_list.with_token(token.clone());
            workers = workers.with_token(token.clone());
        }
        let ports = DaemonPorts {
            table: Arc::new(table),
            objects: Arc::new(objects),
            vm_list: Arc::new(vm_list),
            workers: Arc::new(workers),
            clock: Arc::new(SystemClock::new()),
            seed,
        };
        Ok(Self { ports, token })
    }
}

fn read_token(path: &Path) -> Result<(AccessToken, SecretFileWatcher), DaemonError> {
    let watcher = SecretFileWatcher::new(path);
    let text = read_secret(path)?;
    Ok((AccessToken::new(text.trim()), watcher))
}

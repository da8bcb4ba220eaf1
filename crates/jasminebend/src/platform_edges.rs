//! Reaches the platform over HTTP.

use std::{
    path::Path,
    sync::Arc, //
};

use jasminebend_ports::{
    AccessToken,
    HttpObjects,
    HttpTable,
    HttpVmList,
    HttpWorkers,
    SystemClock, //
};

use crate::{
    DaemonEdges,
    DaemonError,
    PlatformSettings,
    peer_keys::read_secret,
    secret_watch::SecretWatch, //
};

/// The platform over HTTP, with the token that is shown to it and the watch over its file.
pub(crate) struct PlatformEdges {
    pub(crate) edges: DaemonEdges,
    pub(crate) token: Option<(AccessToken, SecretWatch)>,
}

impl PlatformEdges {
    pub(crate) fn new(settings: &PlatformSettings, seed: u64) -> Result<Self, DaemonError> {
        let token = settings.token_file.as_deref().map(read_token).transpose()?;
        let mut table = HttpTable::new(settings.table).with_timeout(settings.table_timeout);
        let mut objects = HttpObjects::new(settings.objects).with_timeout(settings.objects_timeout);
        let mut vm_list = HttpVmList::new(settings.vm_list).with_timeout(settings.vm_list_timeout);
        let mut workers = HttpWorkers::new().with_timeout(settings.worker_timeout);
        if let Some((token, _)) = &token {
            table = table.with_token(token.clone());
            objects = objects.with_token(token.clone());
            vm_list = vm_list.with_token(token.clone());
            workers = workers.with_token(token.clone());
        }
        let edges = DaemonEdges {
            table: Arc::new(table),
            objects: Arc::new(objects),
            vm_list: Arc::new(vm_list),
            workers: Arc::new(workers),
            clock: Arc::new(SystemClock::new()),
            seed,
        };
        Ok(Self { edges, token })
    }
}

fn read_token(path: &Path) -> Result<(AccessToken, SecretWatch), DaemonError> {
    let watch = SecretWatch::new(path);
    let text = read_secret(path)?;
    Ok((AccessToken::new(text.trim()), watch))
}

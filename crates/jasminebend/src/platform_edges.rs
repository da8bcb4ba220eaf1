//! Reaches the platform over HTTP.

use std::sync::Arc;

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
    peer_keys::read_secret, //
};

/// The platform over HTTP, and the token that is shown to it.
pub(crate) struct PlatformEdges {
    pub(crate) edges: DaemonEdges,
    pub(crate) token: Option<AccessToken>,
}

impl PlatformEdges {
    pub(crate) fn new(settings: &PlatformSettings, seed: u64) -> Result<Self, DaemonError> {
        let text = settings.token_file.as_deref().map(read_secret);
        let text = text.transpose()?;
        let token = text.map(|text| AccessToken::new(text.trim()));
        let mut table = HttpTable::new(settings.table).with_timeout(settings.table_timeout);
        let mut objects = HttpObjects::new(settings.objects).with_timeout(settings.objects_timeout);
        let mut vm_list = HttpVmList::new(settings.vm_list).with_timeout(settings.vm_list_timeout);
        let mut workers = HttpWorkers::new().with_timeout(settings.worker_timeout);
        if let Some(token) = &token {
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

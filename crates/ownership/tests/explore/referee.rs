//! What must never be seen, whatever happens.

use indexmap::IndexMap;
use jasminebend_base::ResourceId;

/// How long after a version was committed a daemon may still act by the one before.
///
/// The rule promises this; operators are promised 5 s.
const IN_FORCE_MS: u64 = 2_050;

/// What was seen and must not be.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    /// A holder acted after its successor did, or two acted under one epoch.
    TwoHolders { at: u64, resource: ResourceId },
    /// A request of a former holder reached an endpoint, or still ran there, after its successor's.
    TwoAtEndpoint { at: u64, resource: ResourceId },
    /// A daemon acted by a configuration that was replaced long ago.
    OldConfiguration { at: u64 },
    /// The configuration in force at a daemon, or in the table, went back.
    Reverted { at: u64 },
    /// A daemon does not work again although all else does.
    Stuck { address: u16 },
    /// Not all resources are held again.
    Unheld { held: usize },
}

/// A request that a daemon began.
#[derive(Clone, Copy)]
struct Request {
    process: usize,
    epoch: u64,
    until: u64,
}

#[derive(Default)]
pub(crate) struct Referee {
    pub(crate) fault: Option<Fault>,
    /// How often a resource was seen under a new epoch.
    pub(crate) moves: u64,
    pub(crate) looks: u64,
    pub(crate) versions: u64,
    newest: IndexMap<ResourceId, (u64, usize)>,
    running: IndexMap<ResourceId, Vec<Request>>,
    begun: IndexMap<(usize, ResourceId), u32>,
    committed: Vec<(u64, u64)>,
    in_force: IndexMap<usize, u64>,
}

impl Referee {
    pub(crate) fn look(
        &mut self,
        at: u64,
        p: usize,
        resource: ResourceId,
        epoch: u64,
        version: u64,
    ) {
        self.looks += 1;
        let newest = self.newest.entry(resource).or_insert((epoch, p));
        let older = epoch < newest.0 || (epoch == newest.0 && newest.1 != p);
        if older {
            self.fault = Some(Fault::TwoHolders { at, resource });
            return;
        }
        if epoch > newest.0 {
            self.moves += 1;
            *newest = (epoch, p);
        }
        self.check_endpoint(at, resource, epoch);
        self.check_version(at, p, version);
    }

    /// Workers know epochs and refuse an older one; endpoints do not, so that nothing of a former
    /// holder may run there any more.
    fn check_endpoint(&mut self, at: u64, resource: ResourceId, epoch: u64) {
        if matches!(resource, ResourceId::Shard(_)) {
            return;
        }
        let running = self.running.entry(resource).or_default();
        running.retain(|request| request.until > at);
        if running.iter().any(|request| request.epoch != epoch) {
            self.fault = Some(Fault::TwoAtEndpoint { at, resource });
        }
    }

    fn check_version(&mut self, at: u64, p: usize, version: u64) {
        let replaced = self
            .committed
            .iter()
            .any(|(newer, since)| *newer > version && since + IN_FORCE_MS < at);
        if replaced {
            self.fault = Some(Fault::OldConfiguration { at });
        }
        let last = self.in_force.entry(p).or_insert(version);
        if version < *last {
            self.fault = Some(Fault::Reverted { at });
        }
        *last = version;
    }

    pub(crate) fn commit_version(&mut self, at: u64, version: u64) {
        match self.committed.last() {
            Some((last, _)) if version < *last => self.fault = Some(Fault::Reverted { at }),
            Some((last, _)) if version == *last => (),
            _ => {
                self.versions += 1;
                self.committed.push((version, at));
            }
        }
    }

    pub(crate) fn begin(&mut self, p: usize, resource: ResourceId) {
        *self.begun.entry((p, resource)).or_insert(0) += 1;
    }

    pub(crate) fn arrive(
        &mut self,
        at: u64,
        p: usize,
        resource: ResourceId,
        epoch: u64,
        until: u64,
    ) {
        if let Some(count) = self.begun.get_mut(&(p, resource)) {
            *count -= 1;
        }
        let newest = self.newest.get(&resource).map_or(0, |newest| newest.0);
        let slots = matches!(resource, ResourceId::Slots(_));
        if slots && epoch < newest {
            self.fault = Some(Fault::TwoAtEndpoint { at, resource });
        }
        let request = Request {
            process: p,
            epoch,
            until,
        };
        self.running.entry(resource).or_default().push(request);
    }

    pub(crate) fn is_idle(&self, at: u64, p: usize, resource: ResourceId) -> bool {
        let begun = self.begun.get(&(p, resource)).copied().unwrap_or(0);
        let running = self.running.get(&resource).is_some_and(|requests| {
            requests
                .iter()
                .any(|request| request.process == p && request.until > at)
        });
        begun == 0 && !running
    }

    /// What a dead process had not sent yet is never sent; what it had sent runs on.
    pub(crate) fn die(&mut self, _at: u64, p: usize) {
        self.begun.retain(|(process, _), _| *process != p);
    }
}

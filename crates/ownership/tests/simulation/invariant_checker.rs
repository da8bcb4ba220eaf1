//! Checks the invariants of the ownership protocol.

use indexmap::IndexMap;
use jasminebend_base::ResourceId;

/// The longest time after the commit of a configuration version for which a daemon may still act by
/// the previous one, in milliseconds.
///
/// The protocol guarantees this; the limit promised to operators is 5 s.
const MAX_STALE_CONFIGURATION_MS: u64 = 2_050;

/// A violated invariant. Times are in milliseconds of simulated time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Violation {
    /// A holder acted on a resource after its successor did, or two daemons acted under one epoch.
    TwoHolders { at_ms: u64, resource: ResourceId },
    /// A request of a former holder reached an endpoint, or was still running there, after its
    /// successor had acted.
    TwoAtEndpoint { at_ms: u64, resource: ResourceId },
    /// A daemon acted by a configuration that had been replaced for longer than allowed.
    StaleConfiguration { at_ms: u64 },
    /// The configuration version in force at a daemon, or in the table, decreased.
    VersionDecreased { at_ms: u64 },
    /// A daemon did not resume work after all failures had ended.
    NotRecovered { address: u16 },
    /// Not all resources had a holder again after all failures had ended.
    ResourcesUnheld { held: usize },
}

/// A request that a daemon sent on behalf of a resource.
#[derive(Clone, Copy)]
struct EndpointRequest {
    process: usize,
    epoch: u64,
    /// When the request ends, in milliseconds.
    until_ms: u64,
}

/// Records what the simulated daemons do, and the first invariant that they violate.
#[derive(Default)]
pub(crate) struct InvariantChecker {
    pub(crate) violation: Option<Violation>,
    /// How many times a resource was used under a newer epoch than before.
    pub(crate) ownership_changes: u64,
    /// How many uses of a resource were checked.
    pub(crate) checked_uses: u64,
    /// How many configuration versions were committed.
    pub(crate) committed_versions: u64,
    /// The newest epoch under which a resource was used, and the process that used it.
    newest_use: IndexMap<ResourceId, (u64, usize)>,
    /// The requests that reached the endpoints of a resource.
    requests_at_endpoint: IndexMap<ResourceId, Vec<EndpointRequest>>,
    /// How many requests a process has begun on a resource and not yet sent.
    unsent_requests: IndexMap<(usize, ResourceId), u32>,
    /// The committed configuration versions, and when each was committed.
    commit_times: Vec<(u64, u64)>,
    /// The last configuration version by which each process acted.
    last_version: IndexMap<usize, u64>,
}

impl InvariantChecker {
    /// Checks that a process may use a resource under this epoch and configuration version.
    pub(crate) fn check_use(
        &mut self,
        at_ms: u64,
        pid: usize,
        resource: ResourceId,
        epoch: u64,
        version: u64,
    ) {
        self.checked_uses += 1;
        let newest = self.newest_use.entry(resource).or_insert((epoch, pid));
        let older = epoch < newest.0 || (epoch == newest.0 && newest.1 != pid);
        if older {
            self.violation = Some(Violation::TwoHolders { at_ms, resource });
            return;
        }
        if epoch > newest.0 {
            self.ownership_changes += 1;
            *newest = (epoch, pid);
        }
        self.check_endpoint(at_ms, resource, epoch);
        self.check_version(at_ms, pid, version);
    }

    /// Checks that no request of another epoch runs at an endpoint. Workers check epochs and reject
    /// an older one; endpoints do not, so that no request of a former holder may still run there.
    fn check_endpoint(&mut self, at_ms: u64, resource: ResourceId, epoch: u64) {
        if matches!(resource, ResourceId::Shard(_)) {
            return;
        }
        let running = self.requests_at_endpoint.entry(resource).or_default();
        running.retain(|request| request.until_ms > at_ms);
        if running.iter().any(|request| request.epoch != epoch) {
            self.violation = Some(Violation::TwoAtEndpoint { at_ms, resource });
        }
    }

    /// Checks that a process acts by a recent configuration version, and by none older than before.
    fn check_version(&mut self, at_ms: u64, pid: usize, version: u64) {
        let replaced = self
            .commit_times
            .iter()
            .any(|(newer, since)| *newer > version && since + MAX_STALE_CONFIGURATION_MS < at_ms);
        if replaced {
            self.violation = Some(Violation::StaleConfiguration { at_ms });
        }
        let last = self.last_version.entry(pid).or_insert(version);
        if version < *last {
            self.violation = Some(Violation::VersionDecreased { at_ms });
        }
        *last = version;
    }

    /// Records a committed configuration version, and checks that versions do not decrease.
    pub(crate) fn record_commit(&mut self, at_ms: u64, version: u64) {
        match self.commit_times.last() {
            Some((last, _)) if version < *last => {
                self.violation = Some(Violation::VersionDecreased { at_ms })
            }
            Some((last, _)) if version == *last => (),
            _ => {
                self.committed_versions += 1;
                self.commit_times.push((version, at_ms));
            }
        }
    }

    /// Records that a process has begun a request and not yet sent it.
    pub(crate) fn record_request_begun(&mut self, pid: usize, resource: ResourceId) {
        *self.unsent_requests.entry((pid, resource)).or_insert(0) += 1;
    }

    /// Records that a request reached an endpoint, and checks that it is not one of a former
    /// holder.
    pub(crate) fn record_request_arrival(
        &mut self,
        at_ms: u64,
        pid: usize,
        resource: ResourceId,
        epoch: u64,
        until_ms: u64,
    ) {
        if let Some(count) = self.unsent_requests.get_mut(&(pid, resource)) {
            *count -= 1;
        }
        let newest = self.newest_use.get(&resource).map_or(0, |newest| newest.0);
        let slots = matches!(resource, ResourceId::Slots(_));
        if slots && epoch < newest {
            self.violation = Some(Violation::TwoAtEndpoint { at_ms, resource });
        }
        let request = EndpointRequest {
            process: pid,
            epoch,
            until_ms,
        };
        self.requests_at_endpoint
            .entry(resource)
            .or_default()
            .push(request);
    }

    /// Returns whether a process has no request on a resource in progress.
    pub(crate) fn has_no_request(&self, at_ms: u64, pid: usize, resource: ResourceId) -> bool {
        let begun = self
            .unsent_requests
            .get(&(pid, resource))
            .copied()
            .unwrap_or(0);
        let running = self
            .requests_at_endpoint
            .get(&resource)
            .is_some_and(|requests| {
                requests
                    .iter()
                    .any(|request| request.process == pid && request.until_ms > at_ms)
            });
        begun == 0 && !running
    }

    /// Forgets the requests that a terminated process had begun and not yet sent. Those that it had
    /// sent continue to run.
    pub(crate) fn record_process_end(&mut self, _at_ms: u64, pid: usize) {
        self.unsent_requests
            .retain(|(process, _), _| *process != pid);
    }
}

//! Which submissions are refused at once.

use jasminebend_base::{
    ClassKind,
    Configuration,
    ResourceAmount,
    VmSnapshot,
    WorkerRecord, //
};
use jasminebend_placement::{
    JobId,
    JobSpec,
    shard_of_job,
    shard_of_rack, //
};

use crate::SubmitError;

/// The most tasks of a job.
pub(crate) const MOST_TASKS: u32 = 10_000;
/// The most bytes of a submission's texts together.
pub(crate) const MOST_BYTES: usize = 16 * 1024;

/// Refuses what can be seen at once never to run; returns the kind of the class.
pub(crate) fn check(
    spec: &JobSpec,
    configuration: &Configuration,
    vms: &VmSnapshot,
    shards: u16,
) -> Result<ClassKind, SubmitError> {
    check_form(spec)?;
    let class = configuration.class(&spec.class);
    let class = class.ok_or_else(|| SubmitError::UnknownClass {
        class: spec.class.clone(),
    })?;
    check_quota(spec, class.kind, configuration, shards)?;
    check_fit(spec, vms)?;
    Ok(class.kind)
}

fn check_form(spec: &JobSpec) -> Result<(), SubmitError> {
    if spec.tasks == 0 || spec.tasks > MOST_TASKS {
        return Err(SubmitError::TaskCount {
            most: MOST_TASKS,
            found: spec.tasks,
        });
    }
    if spec.size.cpu_millis == 0 || spec.size.memory_mib == 0 {
        return Err(SubmitError::ZeroSize);
    }
    let key = spec.key.as_ref().map_or(0, String::len);
    let names = spec.team.as_str().len() + spec.class.as_str().len();
    let found = spec.payload.len() + key + names;
    if found > MOST_BYTES {
        return Err(SubmitError::TooLong {
            most: MOST_BYTES,
            found,
        });
    }
    Ok(())
}

fn check_quota(
    spec: &JobSpec,
    kind: ClassKind,
    configuration: &Configuration,
    shards: u16,
) -> Result<(), SubmitError> {
    if configuration.teams.is_empty() {
        return Ok(());
    }
    let team = spec.team.clone();
    let Some(quota) = configuration.team(&spec.team) else {
        return Err(SubmitError::UnknownTeam { team });
    };
    if kind == ClassKind::Batch && !spec.size.fits_in(quota_part(quota.limit, shards)) {
        return Err(SubmitError::BeyondQuota { team, shards });
    }
    Ok(())
}

/// Returns a shard's part of a team's quota: were each shard to grant the whole, a team could hold it
/// as many times as there are shards.
pub(crate) fn quota_part(limit: ResourceAmount, shards: u16) -> ResourceAmount {
    let shards = u64::from(shards.max(1));
    ResourceAmount {
        cpu_millis: limit.cpu_millis / shards,
        memory_mib: limit.memory_mib / shards,
        accelerators: limit.accelerators / shards,
    }
}

/// A list that was never read, or names no worker, proves nothing.
fn check_fit(spec: &JobSpec, vms: &VmSnapshot) -> Result<(), SubmitError> {
    let mut capacities = workers(vms).map(|worker| worker.capacity).peekable();
    let unknown = capacities.peek().is_none();
    if unknown || capacities.any(|capacity| spec.size.fits_in(capacity)) {
        return Ok(());
    }
    Err(SubmitError::NeverFits)
}

/// Returns the home shard of a job: by hash among those with a worker that could hold its tasks.
pub(crate) fn home_shard(job: JobId, size: ResourceAmount, vms: &VmSnapshot, shards: u16) -> u16 {
    let fitting = workers(vms).filter(|worker| size.fits_in(worker.capacity));
    let mut homes: Vec<u16> = fitting
        .map(|worker| shard_of_rack(&worker.rack, shards))
        .collect();
    homes.sort_unstable();
    homes.dedup();
    let count = u16::try_from(homes.len()).unwrap_or(shards);
    match homes.get(usize::from(shard_of_job(job, count))) {
        Some(home) => *home,
        None => shard_of_job(job, shards),
    }
}

fn workers(vms: &VmSnapshot) -> impl Iterator<Item = &WorkerRecord> {
    vms.vms.iter().filter_map(|vm| vm.worker.as_ref())
}

//! Checks submissions and determines their home shard.

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

/// Limits the tasks of a job.
pub(crate) const MAX_TASKS_PER_JOB: u32 = 10_000;
/// Limits the total length of a submission's payload, key and names, in bytes.
pub(crate) const MAX_SUBMISSION_BYTES: usize = 16 * 1024;

/// Rejects a submission that can never run; returns the kind of its class.
pub(crate) fn check_submission(
    spec: &JobSpec,
    configuration: &Configuration,
    vms: &VmSnapshot,
    shards: u16,
) -> Result<ClassKind, SubmitError> {
    check_limits(spec)?;
    let class = configuration.class(&spec.class);
    let class = class.ok_or_else(|| SubmitError::UnknownClass {
        class: spec.class.clone(),
    })?;
    check_quota(spec, class.kind, configuration, shards)?;
    check_fit(spec, vms)?;
    Ok(class.kind)
}

/// Rejects a submission whose task count, task size or text length is out of range.
fn check_limits(spec: &JobSpec) -> Result<(), SubmitError> {
    if spec.tasks == 0 || spec.tasks > MAX_TASKS_PER_JOB {
        return Err(SubmitError::TaskCount {
            limit: MAX_TASKS_PER_JOB,
            found: spec.tasks,
        });
    }
    if spec.size.cpu_millis == 0 || spec.size.memory_mib == 0 {
        return Err(SubmitError::ZeroSize);
    }
    let key = spec.key.as_ref().map_or(0, String::len);
    let names = spec.team.as_str().len() + spec.class.as_str().len();
    let found = spec.payload.len() + key + names;
    if found > MAX_SUBMISSION_BYTES {
        return Err(SubmitError::TooLong {
            limit: MAX_SUBMISSION_BYTES,
            found,
        });
    }
    Ok(())
}

/// Rejects an undeclared team, and batch tasks that exceed a shard's part of the team's quota.
/// Accepts every team if none is declared.
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
    if kind == ClassKind::Batch && !spec.size.fits_in(quota_per_shard(quota.limit, shards)) {
        return Err(SubmitError::BeyondQuota { team, shards });
    }
    Ok(())
}

/// Returns a shard's part of a team's quota. If each shard granted the whole quota, a team could
/// use it once per shard.
pub(crate) fn quota_per_shard(limit: ResourceAmount, shards: u16) -> ResourceAmount {
    let shards = u64::from(shards.max(1));
    ResourceAmount {
        cpu_millis: limit.cpu_millis / shards,
        memory_mib: limit.memory_mib / shards,
        accelerators: limit.accelerators / shards,
    }
}

/// Rejects tasks that no listed worker can hold even if empty. Accepts all if the list was never
/// read or contains no worker, since such a list proves nothing about the workers' sizes.
fn check_fit(spec: &JobSpec, vms: &VmSnapshot) -> Result<(), SubmitError> {
    let mut capacities = workers(vms).map(|worker| worker.capacity).peekable();
    let unknown = capacities.peek().is_none();
    if unknown || capacities.any(|capacity| spec.size.fits_in(capacity)) {
        return Ok(());
    }
    Err(SubmitError::NeverFits)
}

/// Returns the home shard of a job: chosen by hash among the shards with a worker that can hold its
/// tasks, or among all if there is none.
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

/// Returns the workers of a VM list.
fn workers(vms: &VmSnapshot) -> impl Iterator<Item = &WorkerRecord> {
    vms.vms.iter().filter_map(|vm| vm.worker.as_ref())
}

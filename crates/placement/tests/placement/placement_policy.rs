//! Tests of the choice of a worker for a task, and of the pool's reservations and rate limits.

use std::time::Duration;

use arbtest::arbtest;
use jasminebend_base::{
    ClassKind,
    DomainName,
    ResourceAmount,
    VmName, //
};
use jasminebend_placement::{
    ClassKey,
    InterferenceModel,
    PlacementPolicy,
    TaskDemand,
    WaitReason,
    WorkerCondition,
    WorkerKey,
    WorkerPool, //
};

const NOW: Duration = Duration::from_secs(1000);

pub(crate) fn open_pool(workers: usize) -> (WorkerPool, Vec<WorkerKey>) {
    let mut pool = WorkerPool::new();
    let keys = (0..workers).map(|number| {
        let name = VmName::from(format!("worker-{number}"));
        let domain = DomainName::from(["a", "b", "c"][number % 3]);
        let key = pool.add(&name, &domain, ResourceAmount::new(8000, 16_384));
        pool.set_condition(key, WorkerCondition::Open);
        key
    });
    let keys = keys.collect();
    (pool, keys)
}

fn demand(kind: ClassKind, cpu_millis: u64) -> TaskDemand<'static> {
    TaskDemand {
        class: ClassKey(1),
        kind,
        size: ResourceAmount::new(cpu_millis, 1024),
        failed_on: &[],
        job_tasks_by_domain: &[],
        urgent: false,
    }
}

fn choose(pool: &WorkerPool, demand: &TaskDemand<'_>) -> Result<WorkerKey, WaitReason> {
    PlacementPolicy::new().choose(pool, &InterferenceModel::new(), demand, NOW)
}

#[test]
fn batch_tasks_pack_and_services_spread_over_failure_domains() {
    let (mut pool, keys) = open_pool(6);
    pool.reserve(keys[4], ClassKey(0), ResourceAmount::new(4000, 1024));
    let batch = choose(&pool, &demand(ClassKind::Batch, 1000));
    assert_eq!(batch, Ok(keys[4]));
    let spread = [(DomainName::from("a"), 2), (DomainName::from("b"), 1)];
    let mut service = demand(ClassKind::Service, 1000);
    service.job_tasks_by_domain = &spread;
    let chosen = choose(&pool, &service).unwrap();
    assert_eq!(pool.worker(chosen).domain, DomainName::from("c"));
}

#[test]
fn reports_why_no_worker_can_take_a_task() {
    let (mut pool, keys) = open_pool(3);
    let oversized = demand(ClassKind::Batch, 8001);
    assert_eq!(choose(&pool, &oversized), Err(WaitReason::NoFreeCapacity));
    for key in &keys[1..] {
        pool.set_condition(*key, WorkerCondition::Quarantined);
    }
    let failed_on = [VmName::from("worker-0")];
    let mut failed = demand(ClassKind::Batch, 1000);
    failed.failed_on = &failed_on;
    assert_eq!(choose(&pool, &failed), Err(WaitReason::NoFreeCapacity));
    pool.set_domain_open(&DomainName::from("a"), false, NOW);
    let small = demand(ClassKind::Batch, 1000);
    assert_eq!(choose(&pool, &small), Err(WaitReason::DomainUnavailable));
}

#[test]
fn starts_in_a_reopened_domain_are_rate_limited_for_a_minute() {
    let (mut pool, keys) = open_pool(30);
    let domain = DomainName::from("a");
    pool.set_domain_open(&domain, false, NOW);
    pool.set_domain_open(&domain, true, NOW);
    let mut started = 0;
    while pool.domain_admits_start(keys[0], NOW) {
        pool.record_start(keys[0]);
        started += 1;
    }
    assert_eq!(started, 2);
    pool.refill_start_tokens(NOW + Duration::from_secs(1));
    assert!(pool.domain_admits_start(keys[0], NOW + Duration::from_secs(1)));
    assert!(pool.domain_admits_start(keys[0], NOW + Duration::from_secs(61)));
}

// Guards against reserving more than a VM's capacity, and against tasks that wait although a worker
// has enough free capacity: the index of free capacity could diverge from the reservations over
// many starts, ends and changes of condition.
#[test]
fn reservations_never_exceed_the_capacity_of_a_worker() {
    arbtest(|source| {
        let (mut pool, keys) = open_pool(7);
        let mut runs: Vec<(WorkerKey, ResourceAmount)> = Vec::new();
        for _ in 0..source.int_in_range(0..=200)? {
            match source.int_in_range(0..=5)? {
                0..=2 => {
                    let mut request = demand(ClassKind::Batch, source.int_in_range(1..=9000)?);
                    request.size.memory_mib = source.int_in_range(1..=17_000)?;
                    request.kind = *source.choose(&[ClassKind::Batch, ClassKind::Service])?;
                    let some_worker_fits = keys.iter().any(|key| {
                        let worker = pool.worker(*key);
                        let open = worker.condition == WorkerCondition::Open;
                        open && request.size.fits_in(worker.free_capacity())
                    });
                    match choose(&pool, &request) {
                        Ok(key) => {
                            pool.reserve(key, ClassKey(1), request.size);
                            runs.push((key, request.size));
                        }
                        Err(reason) => assert!(!some_worker_fits, "{reason}"),
                    }
                }
                3 | 4 if !runs.is_empty() => {
                    let index = source.int_in_range(0..=runs.len() - 1)?;
                    let (key, size) = runs.swap_remove(index);
                    pool.release(key, ClassKey(1), size);
                }
                _ => {
                    let open = source.arbitrary()?;
                    let condition = match open {
                        true => WorkerCondition::Open,
                        false => WorkerCondition::Silent,
                    };
                    pool.set_condition(*source.choose(&keys)?, condition);
                }
            }
            for key in &keys {
                let worker = pool.worker(*key);
                assert!(worker.reserved.fits_in(worker.capacity));
            }
        }
        Ok(())
    });
}

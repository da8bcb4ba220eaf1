//! What the daemons log. Time is simulated: it advances only while all tasks wait.

use std::{
    io::{
        self,
        Write, //
    },
    sync::mpsc::{
        Receiver,
        Sender,
        channel, //
    },
    time::Duration, //
};

use jasminebend_base::ResourceAmount;
use jasminebend_dispatch::{
    JobKey,
    RunNumber,
    StartOrder,
    StepKey,
    WorkerKey, //
};
use jasminebend_fleet::FleetLog;
use jasminebend_standins::TaskWork;
use tokio::time;

use crate::test_fleet::{
    TestFleet,
    job,
    run_simulated,
    submit, //
};

const WORKER: &str = "worker-0";
const OWNER_TOKEN: u64 = 1;
const SETTLING_TIME: Duration = Duration::from_secs(10);
/// Longer than a renewal takes to fail.
const PARTITION_TIME: Duration = Duration::from_secs(3);
/// How long the thread that writes the log may take, in real time.
const WRITING_TIME: Duration = Duration::from_secs(5);

/// A log whose chunks are received by the test.
struct LogChannel(Sender<Vec<u8>>);

impl Write for LogChannel {
    fn write(&mut self, chunk: &[u8]) -> io::Result<usize> {
        drop(self.0.send(chunk.to_vec()));
        Ok(chunk.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns whether a line is logged that contains all of `parts`.
fn is_logged(chunks: &Receiver<Vec<u8>>, parts: &[&str]) -> bool {
    std::iter::from_fn(|| chunks.recv_timeout(WRITING_TIME).ok()).any(|chunk| {
        let text = String::from_utf8_lossy(&chunk).into_owned();
        text.lines()
            .any(|line| parts.iter().all(|part| line.contains(part)))
    })
}

/// Guards against ends that no log shows: a restarted worker lists them in its first answer, and an end of its former incarnation
/// had the same number.
#[test]
fn ends_that_a_restarted_worker_lists_first_are_logged() {
    run_simulated(async {
        let (sender, chunks) = channel();
        let fleet = TestFleet::with_runtime_clock(1);
        *fleet.log.borrow_mut() = FleetLog::new("test", LogChannel(sender));
        let owner = fleet.daemon();
        submit(&owner.job_api, 1, &job(&[(3, &[])])).await;
        time::sleep(SETTLING_TIME).await;
        assert_eq!(fleet.workers.started_runs(), 3);
        fleet.workers.partition(WORKER);
        time::sleep(PARTITION_TIME).await;
        let run = RunNumber::new(99);
        fleet.workers.with_worker(WORKER, |worker, now| {
            worker.restart(now);
            let order = StartOrder {
                worker: WorkerKey::new(0),
                task: StepKey {
                    job: JobKey::new(1),
                    occurrence: 0,
                    step: 0,
                }
                .task(0),
                run,
                payload: "payload".into(),
                checkpoint: None,
                ticket: None,
            };
            let work = TaskWork {
                run_time: Duration::from_millis(1),
                fails: false,
                size: ResourceAmount::new(1000, 100),
            };
            let deadline = worker.clock_at(now) + Duration::from_secs(5);
            worker.start(now, OWNER_TOKEN, &order, deadline, work);
            worker.advance_to(now + Duration::from_millis(2));
        });
        fleet.workers.heal();
        time::sleep(SETTLING_TIME).await;
        let end = ["\"event\":\"end\"", "\"run\":99,", "\"held\":false"];
        assert!(is_logged(&chunks, &end));
    });
}

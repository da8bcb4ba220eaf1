//! Contract tests of the table service.

use std::time::Duration;

use jasminebend_ports::{
    CommitOutcome,
    RowChange,
    RowExpectation,
    RowKey,
    TableError,
    TableService,
    WriteId, //
};
use jasminebend_standins::{
    CallKind,
    FaultKind,
    OutageState, //
};

use crate::harness::{
    self,
    ENDLESS_DELAY,
    LONG_TIMEOUT,
    SHORT_TIMEOUT,
    TableHarness,
    wait_until, //
};

const WRITE: WriteId = WriteId(0xfeed_f00d_dead_beef);

fn put(key: &str, expected: RowExpectation, value: &str) -> RowChange {
    RowChange::put(key, expected, value.into())
}

fn key(text: &str) -> RowKey {
    RowKey::from(text)
}

async fn commits_all_changes_or_none(table: TableHarness) {
    let first = vec![
        put("a", RowExpectation::Absent, "1"),
        put("b", RowExpectation::Any, "1"),
    ];
    let outcome = table.port.commit(WRITE, first).await.unwrap();
    let CommitOutcome::Committed(version) = outcome else {
        panic!("{outcome:?}");
    };
    let cases = [
        ("absent", put("a", RowExpectation::Absent, "2"), "a"),
        (
            "older version",
            put("a", RowExpectation::Version(0.into()), "2"),
            "a",
        ),
        (
            "version of no row",
            RowChange::delete("c", RowExpectation::Version(version)),
            "c",
        ),
    ];
    for (case, wrong, conflicting) in cases {
        let changes = vec![put("b", RowExpectation::Any, "2"), wrong];
        let outcome = table.port.commit(WriteId(2), changes).await.unwrap();
        let found = table.port.read(&key(conflicting)).await.unwrap();
        let expected = CommitOutcome::Conflict {
            key: key(conflicting),
            found,
        };
        assert_eq!(outcome, expected, "{case}");
        let untouched = table.port.read(&key("b")).await.unwrap().unwrap();
        assert_eq!(untouched.value, b"1", "{case}");
    }
}

async fn reads_return_the_version_and_write_of_a_row(table: TableHarness) {
    let values: [&[u8]; 3] = [b"", b"\0\xff not text", &[7; 100_000]];
    let mut last = 0.into();
    for value in values {
        let change = RowChange::put("a/b c?%", RowExpectation::Any, value.to_vec());
        table.port.commit(WRITE, vec![change]).await.unwrap();
        let row = table.port.read(&key("a/b c?%")).await.unwrap().unwrap();
        assert_eq!(row.value, value);
        assert_eq!(row.write, WRITE);
        assert!(row.version > last);
        last = row.version;
    }
    let delete = RowChange::delete("a/b c?%", RowExpectation::Version(last));
    table.port.commit(WRITE, vec![delete]).await.unwrap();
    assert_eq!(table.port.read(&key("a/b c?%")).await.unwrap(), None);
}

async fn scans_in_key_order_after_a_key(table: TableHarness) {
    let rows = ["a", "job/1", "job/10", "job/2", "job/3", "jobs", "k"];
    let changes = rows.map(|row| put(row, RowExpectation::Any, row));
    table.port.commit(WRITE, changes.to_vec()).await.unwrap();
    let cases: [(&str, Option<&str>, usize, &[&str]); 6] = [
        ("job/", None, 9, &["job/1", "job/10", "job/2", "job/3"]),
        ("job/", Some("job/10"), 9, &["job/2", "job/3"]),
        ("job/", Some("job/11"), 1, &["job/2"]),
        ("job/", Some("a"), 1, &["job/1"]),
        ("job/", Some("z"), 9, &[]),
        ("", None, 2, &["a", "job/1"]),
    ];
    for (prefix, after, limit, expected) in cases {
        let after = after.map(key);
        let found = table
            .port
            .scan(&key(prefix), after.as_ref(), limit)
            .await
            .unwrap();
        let found: Vec<_> = found.iter().map(|row| row.key.as_str()).collect();
        assert_eq!(found, expected, "{prefix} {after:?} {limit}");
    }
}

/// The errors that a commit with a fault may return, and whether it takes effect.
struct FaultCase {
    fault: FaultKind,
    errors: &'static [TableError],
    effect: bool,
}

const FAULT_CASES: [FaultCase; 6] = [
    FaultCase {
        fault: FaultKind::LoseRequest,
        errors: &[TableError::Unknown],
        effect: false,
    },
    FaultCase {
        fault: FaultKind::LoseAnswer,
        errors: &[TableError::Unknown],
        effect: true,
    },
    FaultCase {
        fault: FaultKind::CutAnswer,
        errors: &[TableError::Unknown],
        effect: true,
    },
    FaultCase {
        fault: FaultKind::Malformed,
        errors: &[TableError::Malformed],
        effect: true,
    },
    FaultCase {
        fault: FaultKind::Refuse,
        errors: &[TableError::Refused],
        effect: false,
    },
    FaultCase {
        fault: FaultKind::Unreachable,
        errors: &[TableError::Unreachable, TableError::Unknown],
        effect: false,
    },
];

async fn a_failed_commit_reports_whether_it_may_have_run(table: TableHarness) {
    for case in FAULT_CASES {
        let fault = case.fault;
        let row = format!("{fault:?}");
        table.stand_in.faults().queue_fault(CallKind::Commit, fault);
        let change = put(&row, RowExpectation::Absent, "1");
        let error = table.port.commit(WRITE, vec![change]).await.unwrap_err();
        let found = table.port.read(&key(&row)).await.unwrap();
        assert!(case.errors.contains(&error), "{fault:?} gave {error:?}");
        assert_eq!(found.is_some(), case.effect, "{fault:?}");
        assert!(
            !(error.certainly_had_no_effect() && found.is_some()),
            "{fault:?}"
        );
    }
}

/// A pooled connection may be closed while it is idle, so that a read on it fails although the service works. The
/// adapter may repeat the read, and the next one must succeed.
async fn reads_survive_one_lost_connection(table: TableHarness) {
    table.port.read(&key("a")).await.unwrap();
    table
        .stand_in
        .faults()
        .queue_fault(CallKind::Read, FaultKind::LoseAnswer);
    let first = table.port.read(&key("a")).await;
    assert!(matches!(first, Ok(None) | Err(TableError::Unknown)));
    assert_eq!(table.port.read(&key("a")).await, Ok(None));
}

/// The adapter must not repeat a commit when its connection breaks. Otherwise the commit can run twice.
async fn sends_a_commit_once(table: TableHarness) {
    table.port.read(&key("a")).await.unwrap();
    for fault in [FaultKind::LoseAnswer, FaultKind::LoseRequest] {
        let before = table.stand_in.faults().counts().writes;
        table.stand_in.faults().queue_fault(CallKind::Commit, fault);
        let change = put("a", RowExpectation::Any, "1");
        let answer = table.port.commit(WRITE, vec![change]).await;
        assert_eq!(answer, Err(TableError::Unknown), "{fault:?}");
        assert_eq!(table.stand_in.faults().counts().writes, before + 1);
    }
}

/// A commit that timed out can take effect later, after a read that showed no row. Only a compare-and-set by the same
/// writer prevents it.
async fn a_delayed_commit_fails_its_compare_and_set(table: TableHarness) {
    let late = FaultKind::LateEffect(Duration::from_millis(20));
    table.stand_in.faults().queue_fault(CallKind::Commit, late);
    let change = put("a", RowExpectation::Absent, "late");
    let answer = table.port.commit(WRITE, vec![change]).await;
    assert_eq!(answer, Err(TableError::Unknown));
    let change = put("b", RowExpectation::Absent, "first");
    table.port.commit(WRITE, vec![change]).await.unwrap();
    table.stand_in.faults().queue_fault(CallKind::Commit, late);
    let change = put("b", RowExpectation::Absent, "late");
    table.port.commit(WRITE, vec![change]).await.unwrap_err();
    wait_until("the late commit", || !table.stand_in.rows("a").is_empty()).await;
    tokio::time::sleep(Duration::from_millis(40)).await;
    assert_eq!(table.stand_in.rows("b")[0].value, b"first");
}

/// A delayed second delivery of a commit must not restore an older value of a row. An expected version prevents it.
async fn a_commit_delivered_twice_takes_effect_once(table: TableHarness) {
    let twice = FaultKind::Duplicate(Duration::from_millis(20));
    table.stand_in.faults().queue_fault(CallKind::Commit, twice);
    let change = put("a", RowExpectation::Absent, "1");
    let outcome = table.port.commit(WRITE, vec![change]).await.unwrap();
    let CommitOutcome::Committed(version) = outcome else {
        panic!("{outcome:?}");
    };
    let change = put("a", RowExpectation::Version(version), "2");
    table.port.commit(WriteId(2), vec![change]).await.unwrap();
    tokio::time::sleep(Duration::from_millis(40)).await;
    assert_eq!(table.stand_in.rows("a")[0].value, b"2");
}

async fn outages_fail_only_the_affected_calls(table: TableHarness) {
    let refuse = FaultKind::Refuse;
    let cases = [
        (OutageState::Up, true, true),
        (OutageState::Down(refuse), false, false),
        (OutageState::ReadsOnly(refuse), true, false),
        (OutageState::WritesOnly(refuse), false, true),
    ];
    for (outage, reads, writes) in cases {
        table.stand_in.faults().set_outage(outage);
        let read = table.port.read(&key("a")).await;
        let change = put("a", RowExpectation::Any, "1");
        let written = table.port.commit(WRITE, vec![change]).await;
        assert_eq!(read.is_ok(), reads, "{outage:?} {read:?}");
        assert_eq!(written.is_ok(), writes, "{outage:?} {written:?}");
    }
}

/// Lost responses must not lose or repeat increments. The write ID in the row shows the writer whether its commit took
/// effect, so that it neither repeats it nor gives it up.
async fn increments_survive_a_mix_of_faults(table: TableHarness) {
    table.stand_in.faults().set_random_faults([
        (FaultKind::LoseAnswer, 150),
        (FaultKind::LoseRequest, 150),
        (FaultKind::Malformed, 50),
        (FaultKind::Refuse, 100),
    ]);
    for count in 1..=100 {
        increment(table.port.as_ref(), WriteId(count)).await;
    }
    assert_eq!(table.stand_in.rows("n")[0].value, b"100");
}

async fn increment(table: &dyn TableService, write: WriteId) {
    loop {
        let Ok(row) = table.read(&key("n")).await else {
            continue;
        };
        if row.as_ref().is_some_and(|row| row.write == write) {
            return;
        }
        let count: u64 = row.as_ref().map_or(0, |row| {
            String::from_utf8_lossy(&row.value).parse().unwrap()
        });
        let expected = row.map_or(RowExpectation::Absent, |row| {
            RowExpectation::Version(row.version)
        });
        let change = put("n", expected, &(count + 1).to_string());
        // The next read shows whether the commit took effect.
        let _ = table.commit(write, vec![change]).await;
    }
}

contract!(
    [
        commits_all_changes_or_none,
        reads_return_the_version_and_write_of_a_row,
        scans_in_key_order_after_a_key,
        a_failed_commit_reports_whether_it_may_have_run,
        reads_survive_one_lost_connection,
        sends_a_commit_once,
        a_delayed_commit_fails_its_compare_and_set,
        a_commit_delivered_twice_takes_effect_once,
        outages_fail_only_the_affected_calls,
        increments_survive_a_mix_of_faults,
    ],
    in_memory => crate::harness::table_in_memory,
    over_http => crate::harness::table_over_http,
);

/// If the service becomes silent before or after the effect, the commit must time out with an unknown outcome, and the
/// next call must use a new connection.
#[tokio::test]
async fn a_silent_service_times_out_with_an_unknown_outcome() {
    for (fault, effect) in [
        (FaultKind::Slow(ENDLESS_DELAY), false),
        (FaultKind::SlowAnswer(ENDLESS_DELAY), true),
    ] {
        let table = harness::table_over_http(SHORT_TIMEOUT).await;
        table.port.read(&key("a")).await.unwrap();
        table.stand_in.faults().queue_fault(CallKind::Commit, fault);
        let change = put("a", RowExpectation::Absent, "1");
        let answer = table.port.commit(WRITE, vec![change]).await;
        assert_eq!(answer, Err(TableError::Unknown), "{fault:?}");
        let found = table.port.read(&key("a")).await.unwrap();
        assert_eq!(found.is_some(), effect, "{fault:?}");
    }
}

#[tokio::test]
async fn a_refused_connection_returns_surely_not_run() {
    let mut table = harness::table_over_http(LONG_TIMEOUT).await;
    table.port.read(&key("a")).await.unwrap();
    drop(table.guard.take());
    let probe = || table.port.commit(WRITE, Vec::new());
    // The server's task ends shortly after its guard is dropped. A call that it still accepts is lost.
    while probe().await != Err(TableError::Unreachable) {
        tokio::task::yield_now().await;
    }
}

/// A NAT or firewall that loses its connection state makes calls on all open connections time out although the service
/// works. One timeout must make the adapter drop all of them.
#[tokio::test]
async fn one_timeout_drops_all_silent_connections() {
    let table = harness::table_over_http(SHORT_TIMEOUT).await;
    let row = key("a");
    // Concurrent calls open several connections, which are then idle in the pool.
    let read = || table.port.read(&row);
    let calls = tokio::join!(read(), read(), read(), read());
    assert_eq!(calls, (Ok(None), Ok(None), Ok(None), Ok(None)));
    table.guard.as_ref().unwrap().silence_connections();
    assert_eq!(table.port.read(&row).await, Err(TableError::Unknown));
    assert_eq!(table.port.read(&row).await, Ok(None));
}

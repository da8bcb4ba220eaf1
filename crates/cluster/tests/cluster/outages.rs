//! Outages of the table, partitions of the network, and losses of daemons.

use std::time::Duration;

use jasminebend_cluster::ClusterHandle;
use jasminebend_standins::{
    CallKind,
    FaultKind,
    OutageState, //
};

use crate::harness::{
    RESOURCE_COUNT,
    TestCluster,
    check_exclusive_holders,
    sleep_ms,
    wait_until_balanced, //
};

/// Guards against resources that become unusable during an hour without the table, and against a burst
/// of calls that would overload the table when it is back.
#[tokio::test(start_paused = true)]
async fn resources_stay_usable_during_an_hour_without_the_table() {
    let mut cluster = TestCluster::new(7);
    let handles = cluster.start_all(6).await;
    sleep_ms(2_000).await;
    cluster
        .table
        .faults()
        .set_outage(OutageState::Down(FaultKind::Unreachable));
    let before = cluster.table.faults().counts();
    assert_eq!(
        check_exclusive_holders(&handles, 3_600_000).await,
        RESOURCE_COUNT
    );
    cluster.table.faults().set_outage(OutageState::Up);
    let back = cluster.table.faults().counts();
    assert!(
        back.reads - before.reads < 6 * 3_600 * 13 / 10,
        "about one poll per second and daemon"
    );
    assert_eq!(back.writes, before.writes);
    sleep_ms(1_000).await;
    let after = cluster.table.faults().counts();
    assert!(
        after.reads - back.reads <= 24,
        "{}",
        after.reads - back.reads
    );
    assert_eq!(
        check_exclusive_holders(&handles, 5_000).await,
        RESOURCE_COUNT
    );
}

/// Guards against resources that become unusable while the table is slow, refuses calls, loses requests,
/// sends malformed responses, or alternates between failing and working.
#[tokio::test(start_paused = true)]
async fn resources_stay_usable_with_a_slow_flapping_or_refusing_table() {
    let outages = [
        OutageState::Down(FaultKind::Slow(Duration::from_secs(5))),
        OutageState::Down(FaultKind::SlowAnswer(Duration::from_secs(5))),
        OutageState::ReadsOnly(FaultKind::Refuse),
        OutageState::WritesOnly(FaultKind::LoseRequest),
        OutageState::Down(FaultKind::Malformed),
    ];
    for outage in outages {
        let mut cluster = TestCluster::new(5);
        let handles = cluster.start_all(4).await;
        for _ in 0..6 {
            cluster.table.faults().set_outage(outage);
            assert_eq!(
                check_exclusive_holders(&handles, 17_000).await,
                RESOURCE_COUNT,
                "{outage:?}"
            );
            cluster.table.faults().set_outage(OutageState::Up);
            assert_eq!(
                check_exclusive_holders(&handles, 3_000).await,
                RESOURCE_COUNT,
                "{outage:?}"
            );
        }
    }
}

/// Guards against a retry storm: a daemon dies while the table is over its limit and accepts one write
/// per second. Its resources must move nevertheless, with a bounded number of writes.
#[tokio::test(start_paused = true)]
async fn writes_to_a_table_over_its_limit_are_bounded() {
    let mut cluster = TestCluster::new(7);
    let mut handles = cluster.start_all(6).await;
    cluster.table.faults().limit_writes(Some(1));
    let before = cluster.table.faults().counts().writes;
    handles.remove(0).stop();
    check_exclusive_holders(&handles, 60_000).await;
    let writes = cluster.table.faults().counts().writes - before;
    assert!(writes < 60 * 6, "{writes} writes in a minute");
    wait_until_balanced(&handles).await;
}

/// Guards against needless load on the table while nothing changes.
#[tokio::test(start_paused = true)]
async fn an_idle_cluster_writes_nothing_and_scans_once_per_second() {
    let mut cluster = TestCluster::new(7);
    let handles = cluster.start_all(6).await;
    sleep_ms(5_000).await;
    let before = cluster.table.faults().counts();
    sleep_ms(100_000).await;
    let after = cluster.table.faults().counts();
    assert_eq!(after.writes, before.writes);
    assert!(after.reads - before.reads <= 6 * 100 * 12 / 10);
    assert!(handles.iter().all(ClusterHandle::is_ready));
}

/// Guards against resources held twice, or lost, in a rolling replacement: each daemon leaves, and
/// another one on another VM takes its place.
#[tokio::test(start_paused = true)]
async fn daemons_are_replaced_one_after_another() {
    let mut cluster = TestCluster::new(7);
    let mut handles = cluster.start_all(5).await;
    for number in 11..16 {
        handles.remove(0).leave().await;
        handles.push(cluster.start(number).await);
        check_exclusive_holders(&handles, 2_000).await;
    }
    wait_until_balanced(&handles).await;
}

/// Guards against resources held twice, or lost, when two daemons die at the same time and two others
/// start.
#[tokio::test(start_paused = true)]
async fn two_daemons_that_die_at_once_are_replaced() {
    let mut cluster = TestCluster::new(7);
    let mut handles = cluster.start_all(6).await;
    handles.remove(0).stop();
    handles.remove(0).stop();
    check_exclusive_holders(&handles, 4_000).await;
    handles.push(cluster.start(21).await);
    handles.push(cluster.start(22).await);
    check_exclusive_holders(&handles, 20_000).await;
    wait_until_balanced(&handles).await;
}

/// Guards against new daemons that never become ready because all former ones died at once, so that no
/// member is left to be notified or to confirm anything.
#[tokio::test(start_paused = true)]
async fn all_daemons_are_replaced_at_once() {
    for numbers in [[1, 2, 3, 4, 5, 6], [31, 32, 33, 34, 35, 36]] {
        let mut cluster = TestCluster::new(6);
        for handle in cluster.start_all(6).await {
            handle.stop();
        }
        sleep_ms(500).await;
        let mut handles = Vec::new();
        for number in numbers {
            handles.push(cluster.start(number).await);
        }
        check_exclusive_holders(&handles, 30_000).await;
        wait_until_balanced(&handles).await;
    }
}

/// Guards against silence being taken for termination: a failure domain with two daemons is lost, and
/// their addresses do not answer. Their shards move to other daemons, while their slot shares stay
/// unusable until the VM list drops their VMs.
#[tokio::test(start_paused = true)]
async fn silent_daemons_lose_their_shards_and_keep_their_slots_until_terminated() {
    let mut cluster = TestCluster::new(7);
    cluster.set_listed_vms(&[1, 2, 3, 4, 5, 6]);
    let handles = cluster.start_all(6).await;
    cluster.network.partition(&[1, 2], &[3, 4, 5, 6]);
    handles[0].stop();
    handles[1].stop();
    let remaining = &handles[2..];
    check_exclusive_holders(remaining, 20_000).await;
    let status = remaining[0].status();
    assert_eq!(status.members.len(), 4, "the seats were emptied");
    assert_eq!(status.shards_unheld, 0);
    assert!(status.slots_unusable > 0, "the slot shares stay unusable");
    cluster.set_listed_vms(&[3, 4, 5, 6]);
    check_exclusive_holders(remaining, 200_000).await;
    assert_eq!(remaining[0].status().slots_unusable, 0);
    wait_until_balanced(remaining).await;
}

/// Guards against slot shares that stay unusable: a daemon is partitioned from the table and its peers,
/// reconnects, and must release the resources that no other daemon could take over.
#[tokio::test(start_paused = true)]
async fn a_reconnected_daemon_releases_its_former_resources() {
    let mut cluster = TestCluster::new(5);
    let (partitioned, table) = cluster.start_with_interruptible_table(9).await;
    let handles = cluster.start_with_others(3, vec![partitioned]).await;
    table.set_unreachable(true);
    cluster.network.partition(&[9], &[1, 2, 3]);
    check_exclusive_holders(&handles, 20_000).await;
    assert!(!handles[3].is_ready());
    assert!(handles[0].status().slots_unusable > 0);
    table.set_unreachable(false);
    cluster.network.reconnect_all();
    check_exclusive_holders(&handles, 10_000).await;
    wait_until_balanced(&handles).await;
}

/// Guards against a partitioned side that continues although it must not, or stops although it need not.
/// A side with the table continues; a side without it continues only if it has a majority.
#[tokio::test(start_paused = true)]
async fn a_partitioned_side_continues_with_the_table_or_a_majority() {
    let cases = [
        ("both with the table", [true, true], [true, true]),
        ("the larger without the table", [false, true], [true, true]),
        (
            "the smaller without the table",
            [true, false],
            [true, false],
        ),
        ("both without the table", [false, false], [true, false]),
    ];
    for (name, has_table, continues) in cases {
        let mut cluster = TestCluster::new(7);
        let mut sides: [Vec<ClusterHandle>; 2] = Default::default();
        let mut tables = Vec::new();
        for number in 1..=7u16 {
            let side = usize::from(number > 4);
            let (handle, table) = cluster.start_with_interruptible_table(number).await;
            sides[side].push(handle);
            tables.push((table, has_table[side]));
        }
        let all: Vec<ClusterHandle> = sides.concat();
        wait_until_balanced(&all).await;
        cluster.network.partition(&[1, 2, 3, 4], &[5, 6, 7]);
        for (table, reachable) in &tables {
            table.set_unreachable(!reachable);
        }
        check_exclusive_holders(&all, 30_000).await;
        for (side, continues) in sides.iter().zip(continues) {
            let ready = side.iter().all(ClusterHandle::is_ready);
            let stopped = !side.iter().any(ClusterHandle::is_ready);
            assert!(if continues { ready } else { stopped }, "{name}");
        }
        cluster.network.reconnect_all();
        tables
            .iter()
            .for_each(|(table, _)| table.set_unreachable(false));
        check_exclusive_holders(&all, 20_000).await;
        wait_until_balanced(&all).await;
    }
}

/// Guards against resources that move because of a wrong VM list, which omits the VMs of running daemons
/// for minutes, or is empty.
#[tokio::test(start_paused = true)]
async fn a_wrong_vm_list_moves_no_resources() {
    let mut cluster = TestCluster::new(5);
    cluster.set_listed_vms(&[1, 2]);
    let mut handles = cluster.start_all(4).await;
    assert_eq!(
        check_exclusive_holders(&handles, 400_000).await,
        RESOURCE_COUNT
    );
    cluster.set_listed_vms(&[]);
    assert_eq!(
        check_exclusive_holders(&handles, 400_000).await,
        RESOURCE_COUNT
    );
    handles.remove(0).stop();
    cluster
        .table
        .faults()
        .queue_fault(CallKind::Commit, FaultKind::LoseAnswer);
    check_exclusive_holders(&handles, 20_000).await;
    wait_until_balanced(&handles).await;
}

/// Guards against a running daemon that loses its seat: a device on the network path refuses connections
/// to it, so that the others regard it as terminated and begin to evict it. It can read the table, detects
/// the eviction, and keeps its seat.
#[tokio::test(start_paused = true)]
async fn a_running_daemon_regarded_as_terminated_keeps_its_seat() {
    let mut cluster = TestCluster::new(5);
    let handles = cluster.start_all(4).await;
    let seat = handles[1].status().seat;
    cluster.network.refuse_connections(TestCluster::address(2));
    cluster.network.partition(&[2], &[1, 3, 4]);
    let least = check_exclusive_holders(&handles, 120_000).await;
    assert!(least >= RESOURCE_COUNT * 2 / 3, "{least}");
    assert!(handles[1].is_ready() && handles[1].status().seat == seat);
    assert_eq!(handles[1].status().members[1].incarnation, 1);
    cluster.network.reconnect_all();
    wait_until_balanced(&handles).await;
}

/// Guards against a daemon that stops although its peers run: the connections on which it sends went
/// silent, and it never replaced them because it still received frames on the connections of its peers.
#[tokio::test(start_paused = true)]
async fn connections_silent_in_one_direction_are_replaced() {
    let mut cluster = TestCluster::new(5);
    let handles = cluster.start_all(4).await;
    for other in 2..=4 {
        let (from, to) = (TestCluster::address(1), TestCluster::address(other));
        cluster.network.silence_connection(from, to);
    }
    sleep_ms(10_000).await;
    let outage = OutageState::Down(FaultKind::Unreachable);
    cluster.table.faults().set_outage(outage);
    assert_eq!(
        check_exclusive_holders(&handles, 60_000).await,
        RESOURCE_COUNT
    );
    assert!(handles.iter().all(ClusterHandle::is_ready));
}

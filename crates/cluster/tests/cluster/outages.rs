//! What goes on while the table, peers or daemons are lost.

use std::time::Duration;

use jasminebend_cluster::ClusterHandle;
use jasminebend_standins::{
    CallKind,
    FaultKind,
    OutageState, //
};

use crate::harness::{
    RESOURCES,
    TestCluster,
    settle,
    sleep_ms,
    watch_holders, //
};

/// The table is down for an hour. Requests must go on, and what the daemons ask of the table when it
/// is back must not bring it down again.
#[tokio::test(start_paused = true)]
async fn an_hour_without_the_table_changes_nothing() {
    let mut cluster = TestCluster::new(7);
    let handles = cluster.start_all(6).await;
    sleep_ms(2_000).await;
    cluster
        .table
        .faults()
        .set_outage(OutageState::Down(FaultKind::Unreachable));
    let before = cluster.table.faults().counts();
    assert_eq!(watch_holders(&handles, 3_600_000).await, RESOURCES);
    cluster.table.faults().set_outage(OutageState::Up);
    let back = cluster.table.faults().counts();
    assert!(
        back.reads - before.reads < 6 * 3_600 * 13 / 10,
        "about one poll a second each"
    );
    assert_eq!(back.writes, before.writes);
    sleep_ms(1_000).await;
    let after = cluster.table.faults().counts();
    assert!(
        after.reads - back.reads <= 24,
        "{}",
        after.reads - back.reads
    );
    assert_eq!(watch_holders(&handles, 5_000).await, RESOURCES);
}

#[tokio::test(start_paused = true)]
async fn a_slow_flapping_or_refusing_table_stops_nothing() {
    let plans = [
        OutageState::Down(FaultKind::Slow(Duration::from_secs(5))),
        OutageState::Down(FaultKind::SlowAnswer(Duration::from_secs(5))),
        OutageState::ReadsOnly(FaultKind::Refuse),
        OutageState::WritesOnly(FaultKind::LoseRequest),
        OutageState::Down(FaultKind::Malformed),
    ];
    for plan in plans {
        let mut cluster = TestCluster::new(5);
        let handles = cluster.start_all(4).await;
        for _ in 0..6 {
            cluster.table.faults().set_outage(plan);
            assert_eq!(watch_holders(&handles, 17_000).await, RESOURCES, "{plan:?}");
            cluster.table.faults().set_outage(OutageState::Up);
            assert_eq!(watch_holders(&handles, 3_000).await, RESOURCES, "{plan:?}");
        }
    }
}

/// A daemon dies while the table is over its limit and takes one write a second: its resources move
/// all the same, and the daemons do not hammer the table.
#[tokio::test(start_paused = true)]
async fn a_table_over_its_limit_is_not_hammered() {
    let mut cluster = TestCluster::new(7);
    let mut handles = cluster.start_all(6).await;
    cluster.table.faults().limit_writes(Some(1));
    let before = cluster.table.faults().counts().writes;
    handles.remove(0).stop();
    watch_holders(&handles, 60_000).await;
    let writes = cluster.table.faults().counts().writes - before;
    assert!(writes < 60 * 6, "{writes} writes in a minute");
    settle(&handles).await;
}

#[tokio::test(start_paused = true)]
async fn at_rest_nothing_is_written_and_one_scan_a_second_is_read() {
    let mut cluster = TestCluster::new(7);
    let handles = cluster.start_all(6).await;
    sleep_ms(5_000).await;
    let before = cluster.table.faults().counts();
    sleep_ms(100_000).await;
    let after = cluster.table.faults().counts();
    assert_eq!(after.writes, before.writes);
    assert!(after.reads - before.reads <= 6 * 100 * 12 / 10);
    assert!(handles.iter().all(ClusterHandle::ready));
}

/// A roll-out: each daemon leaves and another one, on another VM, takes its place.
#[tokio::test(start_paused = true)]
async fn daemons_are_replaced_one_after_another() {
    let mut cluster = TestCluster::new(7);
    let mut handles = cluster.start_all(5).await;
    for number in 11..16 {
        handles.remove(0).leave().await;
        handles.push(cluster.start(number).await);
        watch_holders(&handles, 2_000).await;
    }
    settle(&handles).await;
}

#[tokio::test(start_paused = true)]
async fn two_daemons_die_at_once_and_come_back_elsewhere() {
    let mut cluster = TestCluster::new(7);
    let mut handles = cluster.start_all(6).await;
    handles.remove(0).stop();
    handles.remove(0).stop();
    watch_holders(&handles, 4_000).await;
    handles.push(cluster.start(21).await);
    handles.push(cluster.start(22).await);
    watch_holders(&handles, 20_000).await;
    settle(&handles).await;
}

/// All VMs are replaced at once: nobody is left who could be told, and nobody who could vouch.
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
        watch_holders(&handles, 30_000).await;
        settle(&handles).await;
    }
}

/// A failure domain is lost for good with its two daemons: their address answers nothing, which is
/// not the same as being gone. Shards move on; slot shares wait until the VM list drops the VMs.
#[tokio::test(start_paused = true)]
async fn silent_daemons_lose_their_shards_and_keep_their_slots_until_known_gone() {
    let mut cluster = TestCluster::new(7);
    cluster.list_vms(&[1, 2, 3, 4, 5, 6]);
    let handles = cluster.start_all(6).await;
    cluster.net.split(&[1, 2], &[3, 4, 5, 6]);
    handles[0].stop();
    handles[1].stop();
    let left = &handles[2..];
    watch_holders(left, 20_000).await;
    let status = left[0].status();
    assert_eq!(status.members.len(), 4, "the seats were emptied");
    assert_eq!(status.shards_unheld, 0);
    assert!(status.slots_unusable > 0, "the slots are kept");
    cluster.list_vms(&[3, 4, 5, 6]);
    watch_holders(left, 200_000).await;
    assert_eq!(left[0].status().slots_unusable, 0);
    settle(left).await;
}

/// A daemon is cut off from all and comes back: what it held and nobody could take is given back.
#[tokio::test(start_paused = true)]
async fn a_daemon_that_was_cut_off_gives_back_what_it_held() {
    let mut cluster = TestCluster::new(5);
    let (lone, table) = cluster.start_cuttable(9).await;
    let handles = cluster.start_beside(3, vec![lone]).await;
    table.set_cut(true);
    cluster.net.split(&[9], &[1, 2, 3]);
    watch_holders(&handles, 20_000).await;
    assert!(!handles[3].ready());
    assert!(handles[0].status().slots_unusable > 0);
    table.set_cut(false);
    cluster.net.mend();
    watch_holders(&handles, 10_000).await;
    settle(&handles).await;
}

/// Half the daemons are cut from the other half. Whoever has the table goes on; of those who have
/// not, only a majority does.
#[tokio::test(start_paused = true)]
async fn halves_go_on_by_the_table_or_by_majority() {
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
    for (name, tables, goes_on) in cases {
        let mut cluster = TestCluster::new(7);
        let mut sides: [Vec<ClusterHandle>; 2] = Default::default();
        let mut ways = Vec::new();
        for number in 1..=7u16 {
            let side = usize::from(number > 4);
            let (handle, way) = cluster.start_cuttable(number).await;
            sides[side].push(handle);
            ways.push((way, tables[side]));
        }
        let all: Vec<ClusterHandle> = sides.concat();
        settle(&all).await;
        cluster.net.split(&[1, 2, 3, 4], &[5, 6, 7]);
        for (way, table) in &ways {
            way.set_cut(!table);
        }
        watch_holders(&all, 30_000).await;
        for (side, goes_on) in sides.iter().zip(goes_on) {
            let ready = side.iter().all(ClusterHandle::ready);
            let stopped = !side.iter().any(ClusterHandle::ready);
            assert!(if goes_on { ready } else { stopped }, "{name}");
        }
        cluster.net.mend();
        ways.iter().for_each(|(way, _)| way.set_cut(false));
        watch_holders(&all, 20_000).await;
        settle(&all).await;
    }
}

/// The list says for minutes that a live daemon's VM is gone, and that a dead one's is there.
#[tokio::test(start_paused = true)]
async fn a_wrong_vm_list_moves_nothing() {
    let mut cluster = TestCluster::new(5);
    cluster.list_vms(&[1, 2]);
    let mut handles = cluster.start_all(4).await;
    assert_eq!(watch_holders(&handles, 400_000).await, RESOURCES);
    cluster.list_vms(&[]);
    assert_eq!(watch_holders(&handles, 400_000).await, RESOURCES);
    handles.remove(0).stop();
    cluster
        .table
        .faults()
        .once(CallKind::Commit, FaultKind::LoseAnswer);
    watch_holders(&handles, 20_000).await;
    settle(&handles).await;
}

/// Something on the way to a live daemon refuses its connections, so that the others take it for
/// gone and begin to empty its seat. It has the table, sees that, and keeps its seat.
#[tokio::test(start_paused = true)]
async fn a_live_daemon_that_is_taken_for_gone_keeps_its_seat_by_the_table() {
    let mut cluster = TestCluster::new(5);
    let handles = cluster.start_all(4).await;
    let seat = handles[1].status().seat;
    cluster.net.refuse(TestCluster::address(2));
    cluster.net.split(&[2], &[1, 3, 4]);
    let least = watch_holders(&handles, 120_000).await;
    assert!(least >= RESOURCES * 2 / 3, "{least}");
    assert!(handles[1].ready() && handles[1].status().seat == seat);
    assert_eq!(handles[1].status().members[1].incarnation, 1);
    cluster.net.mend();
    settle(&handles).await;
}

/// Guards against a daemon that stops although its peers live: the connections that it sends on went silent, and since
/// it heard its peers on theirs, it never replaced its own.
#[tokio::test(start_paused = true)]
async fn connections_that_went_silent_one_way_are_replaced() {
    let mut cluster = TestCluster::new(5);
    let handles = cluster.start_all(4).await;
    for other in 2..=4 {
        let (from, to) = (TestCluster::address(1), TestCluster::address(other));
        cluster.net.silence(from, to);
    }
    sleep_ms(10_000).await;
    let outage = OutageState::Down(FaultKind::Unreachable);
    cluster.table.faults().set_outage(outage);
    assert_eq!(watch_holders(&handles, 60_000).await, RESOURCES);
    assert!(handles.iter().all(ClusterHandle::ready));
}

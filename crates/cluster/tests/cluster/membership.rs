//! Membership: daemons claim seats, divide the resources, leave, and are replaced.

use crate::harness::{
    RESOURCE_COUNT,
    TestCluster,
    check_exclusive_holders,
    sleep_ms,
    wait_until_balanced, //
};
use indexmap::IndexSet;

/// Guards against resources that are held twice, not at all, or by few of the daemons.
#[tokio::test(start_paused = true)]
async fn daemons_divide_all_shares_and_shards_evenly() {
    let mut cluster = TestCluster::new(7);
    let handles = cluster.start_all(6).await;
    let mut seen = IndexSet::new();
    for handle in &handles {
        for (resource, _) in handle.ownership().owned_resources() {
            assert!(seen.insert(resource), "{resource} is held twice");
        }
    }
    assert_eq!(seen.len(), RESOURCE_COUNT);
}

/// Guards against resources that stay unused after a planned stop: the others must hold all of them 1.5
/// seconds later.
#[tokio::test(start_paused = true)]
async fn a_leaving_daemon_releases_all_resources_at_once() {
    let mut cluster = TestCluster::new(7);
    let mut handles = cluster.start_all(3).await;
    let leaving = handles.remove(0);
    leaving.leave().await;
    assert!(leaving.ownership().owned_resources().is_empty());
    sleep_ms(1_500).await;
    let held: usize = handles
        .iter()
        .map(|h| h.ownership().owned_resources().len())
        .sum();
    assert_eq!(held, RESOURCE_COUNT);
}

/// Guards against resources that stay with a daemon that has died.
#[tokio::test(start_paused = true)]
async fn resources_of_a_dead_daemon_move_to_the_others() {
    let mut cluster = TestCluster::new(7);
    let mut handles = cluster.start_all(5).await;
    handles.remove(1).stop();
    sleep_ms(15_000).await;
    wait_until_balanced(&handles).await;
    let held: usize = handles
        .iter()
        .map(|h| h.ownership().owned_resources().len())
        .sum();
    assert_eq!(held, RESOURCE_COUNT);
}

/// Guards against refused callers during a rolling replacement: each time that a new daemon takes the
/// seat of one that left, the remaining daemons must not lose all their resources even briefly.
#[tokio::test(start_paused = true)]
async fn remaining_daemons_always_hold_resources_during_a_rolling_replacement() {
    let mut cluster = TestCluster::new(3);
    let mut handles = cluster.start_all(3).await;
    for number in 11..14 {
        handles.remove(0).leave().await;
        let staying = handles.clone();
        handles.push(cluster.start(number).await);
        for step in 0..1_000 {
            sleep_ms(4).await;
            for handle in &staying {
                assert!(
                    !handle.ownership().owned_resources().is_empty(),
                    "step {step}"
                );
            }
        }
        wait_until_balanced(&handles).await;
    }
}

/// Guards against a daemon that is started with another number of seats and would count majorities
/// differently: it must not participate, nor disturb the others.
#[tokio::test(start_paused = true)]
async fn a_daemon_with_mismatched_settings_does_not_participate() {
    let mut cluster = TestCluster::new(5);
    let handles = cluster.start_all(3).await;
    let settings = cluster.settings(9).with_seats(9);
    let table = std::sync::Arc::new(cluster.table.clone());
    let mismatched = cluster.start_with(9, settings, table).await;
    assert_eq!(
        check_exclusive_holders(&handles, 5_000).await,
        RESOURCE_COUNT
    );
    assert!(!mismatched.is_ready() && mismatched.status().seat.is_none());
}

//! How daemons take seats and divide what is shared.

use crate::harness::{
    RESOURCES,
    TestCluster,
    settle,
    sleep_ms,
    watch_holders, //
};
use indexmap::IndexSet;

#[tokio::test(start_paused = true)]
async fn daemons_divide_all_shares_and_shards_evenly() {
    let mut cluster = TestCluster::new(7);
    let handles = cluster.start_all(6).await;
    let mut seen = IndexSet::new();
    for handle in &handles {
        for (resource, _) in handle.ownership().held() {
            assert!(seen.insert(resource), "{resource} is held twice");
        }
    }
    assert_eq!(seen.len(), RESOURCES);
}

#[tokio::test(start_paused = true)]
async fn a_leaving_daemon_hands_over_everything_at_once() {
    let mut cluster = TestCluster::new(7);
    let mut handles = cluster.start_all(3).await;
    let leaving = handles.remove(0);
    leaving.leave().await;
    assert!(leaving.ownership().held().is_empty());
    sleep_ms(1_500).await;
    let held: usize = handles.iter().map(|h| h.ownership().held().len()).sum();
    assert_eq!(held, RESOURCES);
}

#[tokio::test(start_paused = true)]
async fn what_a_dead_daemon_held_moves_to_the_others() {
    let mut cluster = TestCluster::new(7);
    let mut handles = cluster.start_all(5).await;
    handles.remove(1).stop();
    sleep_ms(15_000).await;
    settle(&handles).await;
    let held: usize = handles.iter().map(|h| h.ownership().held().len()).sum();
    assert_eq!(held, RESOURCES);
}

/// A roll-out: callers of the daemons that stay would be refused for a moment, each time that a new
/// daemon takes the seat of one that left.
#[tokio::test(start_paused = true)]
async fn those_who_stay_hold_something_at_every_moment_of_a_replacement() {
    let mut cluster = TestCluster::new(3);
    let mut handles = cluster.start_all(3).await;
    for number in 11..14 {
        handles.remove(0).leave().await;
        let staying = handles.clone();
        handles.push(cluster.start(number).await);
        for step in 0..1_000 {
            sleep_ms(4).await;
            for handle in &staying {
                assert!(!handle.ownership().held().is_empty(), "step {step}");
            }
        }
        settle(&handles).await;
    }
}

/// One daemon is started with another number of seats: it would count other majorities than the
/// others, so it must take no part, and must not disturb them.
#[tokio::test(start_paused = true)]
async fn a_daemon_with_other_numbers_takes_no_part() {
    let mut cluster = TestCluster::new(5);
    let handles = cluster.start_all(3).await;
    let settings = cluster.settings(9).with_seats(9);
    let table = std::sync::Arc::new(cluster.table.clone());
    let odd = cluster.start_with(9, settings, table).await;
    assert_eq!(watch_holders(&handles, 5_000).await, RESOURCES);
    assert!(!odd.ready() && odd.status().seat.is_none());
}

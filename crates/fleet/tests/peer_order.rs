//! The order in which a daemon forwards a caller's request to other daemons.

use std::time::Duration;

use jasminebend_fleet::PeerOrder;

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn addresses(names: &[&str]) -> Vec<String> {
    names.iter().map(|&name| name.to_owned()).collect()
}

/// Guards against refusals that take 0.7 s each while the store is lost for all daemons: one of the two daemons that
/// are asked first was replaced long ago, and every caller waits until the call to it times out.
#[test]
fn a_daemon_that_did_not_answer_is_asked_after_all_others() {
    let mut order = PeerOrder::default();
    order.record_silence("gone", seconds(100));
    let mut peers = addresses(&["owner", "gone", "third", "fourth"]);
    order.sort(&mut peers, seconds(101));
    assert_eq!(peers, addresses(&["owner", "third", "fourth", "gone"]));
}

#[test]
fn a_daemon_that_answers_again_keeps_its_place() {
    let mut order = PeerOrder::default();
    order.record_silence("slow", seconds(100));
    order.record_answer("slow");
    let mut peers = addresses(&["slow", "other"]);
    order.sort(&mut peers, seconds(101));
    assert_eq!(peers, addresses(&["slow", "other"]));
}

#[test]
fn a_silence_is_forgotten_after_its_time() {
    let mut order = PeerOrder::default();
    order.record_silence("cut", seconds(100));
    let mut peers = addresses(&["cut", "other"]);
    order.sort(&mut peers, seconds(110));
    assert_eq!(peers, addresses(&["cut", "other"]));
}

#[test]
fn if_no_daemon_answered_the_order_is_kept() {
    let mut order = PeerOrder::default();
    order.record_silence("first", seconds(100));
    order.record_silence("second", seconds(100));
    let mut peers = addresses(&["first", "second"]);
    order.sort(&mut peers, seconds(101));
    assert_eq!(peers, addresses(&["first", "second"]));
}

//! Removal of members that have not answered for long. Time is simulated: it advances only while all tasks wait.

use std::{
    net::TcpListener,
    time::Duration, //
};

use tokio::time;

use crate::test_fleet::{
    TestDaemon,
    TestFleet,
    free_address,
    run_simulated, //
};

/// Longer than a member may stay without answering.
const BEYOND_EXPIRY: Duration = Duration::from_secs(600);
const SETTLING_TIME: Duration = Duration::from_secs(10);
/// Shorter than a majority may confirm an owner without the store.
const WITHIN_MAJORITY_TIME: Duration = Duration::from_millis(2500);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Guards against an owner that can't act without the store: daemons that were replaced long ago still counted as
/// members, so that no majority answered.
#[test]
fn members_that_are_silent_for_long_are_removed() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(0);
        fleet.enroll(free_address(), 2);
        let _daemons = [fleet.daemon(), fleet.daemon(), fleet.daemon()];
        time::sleep(SETTLING_TIME).await;
        assert_eq!(fleet.store.members(), 5);
        time::sleep(BEYOND_EXPIRY).await;
        assert_eq!(fleet.store.members(), 3);
    });
}

/// Guards against members that are never removed: more of them were gone than left.
#[test]
fn members_that_are_gone_are_removed_by_a_minority() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(0);
        let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
        fleet.enroll(silent.local_addr().expect("it is bound"), 4);
        let _daemons = [fleet.daemon(), fleet.daemon(), fleet.daemon()];
        time::sleep(SETTLING_TIME).await;
        assert_eq!(fleet.store.member_set().members.len(), 3);
        time::sleep(BEYOND_EXPIRY).await;
        assert_eq!(fleet.store.members(), 3);
    });
}

/// Guards against two owners at a time: a successor changed the set by which a former owner counts before that one had
/// stopped.
#[test]
fn the_member_set_is_not_changed_while_a_former_owner_may_act() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(0);
        let mut daemons: Vec<TestDaemon> = (0..3).map(|_| fleet.daemon_on_vm()).collect();
        time::sleep(SETTLING_TIME).await;
        let before = fleet.store.member_set();
        assert_eq!(before.members.len(), 3);
        let is_owner = |daemon: &TestDaemon| {
            let owner = fleet.store.owner();
            owner.is_some_and(|owner| owner.node == daemon.node())
        };
        let mut hanging = Vec::new();
        for _ in 0..2 {
            let position = daemons.iter().position(is_owner).unwrap_or(0);
            hanging.push(daemons.swap_remove(position).lose_vm().await);
        }
        let token = before.settled_token;
        while fleet.store.owner().is_none_or(|owner| owner.token == token) {
            time::sleep(POLL_INTERVAL).await;
        }
        time::sleep(WITHIN_MAJORITY_TIME).await;
        assert_eq!(fleet.store.member_set(), before);
        time::sleep(SETTLING_TIME).await;
        assert_eq!(fleet.store.member_set().members.len(), 1);
    });
}

/// Guards against members that are never removed: another daemon has the address of each, and answers there.
#[test]
fn members_whose_address_another_daemon_has_are_removed() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(0);
        let daemons = [fleet.daemon(), fleet.daemon(), fleet.daemon()];
        time::sleep(SETTLING_TIME).await;
        fleet.enroll(daemons[0].peer_address(), 2);
        fleet.enroll_as("elsewhere", daemons[1].peer_address());
        time::sleep(SETTLING_TIME).await;
        assert_eq!(fleet.store.member_set().members.len(), 3);
        time::sleep(BEYOND_EXPIRY).await;
        assert_eq!(fleet.store.members(), 3);
    });
}

/// Guards against a daemon that stays removed: it was unreachable for long enough to be removed as a member.
#[test]
fn a_removed_member_enrolls_again() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(0);
        let _daemon = fleet.daemon();
        time::sleep(SETTLING_TIME).await;
        fleet.store.remove_members();
        time::sleep(SETTLING_TIME).await;
        assert_eq!(fleet.store.members(), 1);
    });
}

/// Guards against a daemon that the others call at a former address: a write that its former incarnation left unanswered was
/// applied late and replaced its row.
#[test]
fn a_late_enrollment_of_a_former_incarnation_does_not_last() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(0);
        let _owner = fleet.daemon();
        time::sleep(SETTLING_TIME).await;
        let daemon = fleet.daemon();
        time::sleep(SETTLING_TIME).await;
        let enrolled = fleet.store.member(daemon.node());
        fleet.enroll_former_incarnation(daemon.node());
        time::sleep(SETTLING_TIME).await;
        assert_eq!(fleet.store.member(daemon.node()), enrolled);
    });
}

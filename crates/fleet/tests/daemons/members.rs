//! Removal of members that have not answered for long. Time is simulated: it advances only while all tasks wait.

use std::{
    net::TcpListener,
    time::Duration, //
};

use tokio::time;

use crate::test_fleet::{
    TestFleet,
    free_address,
    run_simulated, //
};

/// Longer than a member may stay without answering.
const BEYOND_EXPIRY: Duration = Duration::from_secs(600);
const SETTLING_TIME: Duration = Duration::from_secs(10);

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

/// Guards against two owners at a time: an owner that reached no majority of the members removed the others.
#[test]
fn a_minority_removes_no_member() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(0);
        let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
        fleet.enroll(silent.local_addr().expect("it is bound"), 3);
        let _daemons = [fleet.daemon(), fleet.daemon(), fleet.daemon()];
        time::sleep(BEYOND_EXPIRY).await;
        assert_eq!(fleet.store.members(), 6);
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

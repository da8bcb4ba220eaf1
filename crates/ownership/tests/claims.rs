//! Courses shown on the machine itself: guards whose fault is too rare for random courses, and
//! what the exploration found once.

#![expect(
    clippy::unwrap_used,
    reason = "The helpers of tests unwrap as their tests do."
)]

use std::time::Duration;

use jasminebend_base::ResourceId;
use jasminebend_ownership::{
    ConfigurationHeader,
    ConfigurationIntent,
    DaemonRecord,
    Guard,
    GuardSet,
    HolderId,
    MemberAction,
    MemberMachine,
    MembersRow,
    OwnershipRow,
    OwnershipSettings,
    PeerBody,
    PeerMessage,
    PeerReport,
    SeatHolder,
    TableSnapshot,
    VersionedRow, //
};

const SELF: u64 = 1;
const PEER: u64 = 2;

fn daemon(nonce: u64) -> DaemonRecord {
    DaemonRecord {
        nonce,
        peer: ([10, 0, 0, 1], u16::try_from(nonce).unwrap()).into(),
        admin: None,
        domain: "east".into(),
        vm: None,
    }
}

/// A table in which these daemons sit, read at this second.
fn snapshot(second: u64, version: u64, seated: &[u64]) -> TableSnapshot {
    let mut row = MembersRow::new(3);
    for (record, nonce) in row.seats.iter_mut().zip(seated) {
        record.epoch = 1;
        record.holder = Some(SeatHolder {
            incarnation: 1,
            daemon: daemon(*nonce),
        });
    }
    TableSnapshot {
        asked_at: Duration::from_secs(second),
        members: VersionedRow {
            version: Some(version),
            row,
        },
        ..TableSnapshot::default()
    }
}

fn with_header(mut snapshot: TableSnapshot, version: u64, announced: Option<u64>) -> TableSnapshot {
    snapshot.configuration = VersionedRow {
        version: Some(snapshot.asked_at.as_secs()),
        row: ConfigurationHeader {
            version,
            intent: announced.map(|version| ConfigurationIntent { version, by: SELF }),
        },
    };
    snapshot
}

fn machine(guards: GuardSet) -> MemberMachine {
    let settings = OwnershipSettings::new(3, 3, 1).with_guards(guards);
    MemberMachine::new(settings, daemon(SELF))
}

fn message(body: PeerBody) -> PeerMessage {
    PeerMessage {
        from: 1.into(),
        epoch: 1,
        nonce: PEER,
        to: SELF,
        body,
    }
}

/// A daemon sits down; the poll that shows it read the configuration before a change was announced
/// and the members after. A peer without the table asks it to vouch. Its seat counted as empty when
/// more than half were told of the change, so its word would let the peer go on by the old version.
#[test]
fn a_daemon_says_nothing_before_it_has_read_the_table_in_its_seat() {
    for (guards, answers) in [
        (GuardSet::new(), 0),
        (GuardSet::new().without(Guard::ReadBeforeParticipating), 1),
    ] {
        let mut machine = machine(guards);
        machine.read_table(Duration::from_secs(2), snapshot(1, 1, &[SELF, PEER]));
        let ask = PeerBody::Ask {
            number: 1,
            report: PeerReport::default(),
        };
        let said = machine.receive(Duration::from_secs(2), message(ask.clone()));
        assert_eq!(said.len(), answers, "{guards:?}");
        machine.read_table(Duration::from_secs(4), snapshot(3, 1, &[SELF, PEER]));
        let said = machine.receive(Duration::from_secs(4), message(ask));
        assert_eq!(said.len(), 1, "it speaks after reading again");
    }
}

/// A daemon announces a change. The poll that shows the announcement read the members before it: a
/// seat that was empty then, and counted as told, may have been taken by a daemon that had not yet
/// seen the announcement.
#[test]
fn only_seats_read_after_the_announcement_count_as_told() {
    for (guards, commits) in [
        (GuardSet::new(), false),
        (GuardSet::new().without(Guard::CountSeatsAfterIntent), true),
    ] {
        let mut machine = machine(guards);
        let at = Duration::from_secs;
        machine.read_table(at(1), with_header(snapshot(1, 1, &[SELF]), 0, None));
        machine.read_table(at(2), with_header(snapshot(2, 1, &[SELF]), 0, None));
        let (version, _) = machine.begin_change(at(2)).unwrap();
        machine.end_commit(at(3), Duration::ZERO);
        let shown = with_header(snapshot(4, 1, &[SELF]), 0, Some(version));
        machine.read_table(at(5), shown);
        assert_eq!(commits_header(&mut machine, at(5)), commits, "{guards:?}");
        machine.end_commit(at(5), Duration::ZERO);
        let later = with_header(snapshot(6, 1, &[SELF]), 0, Some(version));
        machine.read_table(at(6), later);
        assert!(commits || commits_header(&mut machine, at(6)));
    }
}

fn commits_header(machine: &mut MemberMachine, now: Duration) -> bool {
    machine.tick(now).iter().any(
        |action| matches!(action, MemberAction::Commit(write) if write.configuration.is_some()),
    )
}

/// A daemon without the table is vouched for by a peer; then the peer's seat passes to another
/// process, which was told of a change. What the former process said must count no more.
#[test]
fn what_a_seats_former_process_said_counts_no_more() {
    for (guards, vouched) in [
        (GuardSet::new(), false),
        (GuardSet::new().without(Guard::DiscardFormerProcess), true),
    ] {
        let mut machine = machine(guards);
        let at = Duration::from_secs;
        machine.read_table(at(1), snapshot(1, 1, &[SELF, PEER]));
        machine.read_table(at(3), snapshot(2, 1, &[SELF, PEER]));
        machine.tick(at(4));
        let answer = PeerBody::Answer {
            number: 1,
            report: PeerReport::default(),
        };
        machine.receive(at(4), message(answer));
        assert!(machine.peers_vouch(at(5)), "the peer sits in its seat");
        let mut passed = snapshot(3, 2, &[SELF, 9]);
        passed.members.row.seats[1].epoch = 2;
        machine.read_table(at(5), passed);
        assert_eq!(machine.peers_vouch(at(5)), vouched, "{guards:?}");
    }
}

/// A poll reads the members, then another daemon sits down and is given a shard, then the poll reads
/// the resources. The reader took the shard for one whose holder had lost its seat, and two daemons
/// held it. An early world of the exploration showed this under seed 21.
#[test]
fn who_sat_down_between_two_reads_keeps_what_it_was_given() {
    let mut machine = machine(GuardSet::new());
    let sitting = HolderId {
        seat: 1.into(),
        incarnation: 1,
    };
    let mut ownership = OwnershipRow::new(3, 1);
    ownership.assign(ResourceId::Shard(0), sitting, false);
    (0..3).for_each(|slots| ownership.assign(ResourceId::Slots(slots), sitting, false));
    for second in [1, 3] {
        let mut torn = snapshot(second, 1, &[SELF]);
        torn.ownership = VersionedRow {
            version: Some(2),
            row: ownership.clone(),
        };
        let now = Duration::from_secs(second + 1);
        machine.read_table(now, torn);
        let actions = machine.tick(now);
        let commits = |action: &MemberAction| matches!(action, MemberAction::Commit(_));
        assert!(!actions.iter().any(commits), "{actions:?}");
    }
}

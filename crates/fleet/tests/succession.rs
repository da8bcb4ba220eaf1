//! When a daemon takes over the ownership.

use std::time::Duration;

use jasminebend_fleet::{
    MemberRecord,
    OwnerRecord,
    PeerHealth,
    ProbeResult,
    Succession, //
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn owner(node: &str, incarnation: u64) -> OwnerRecord {
    OwnerRecord {
        node: node.to_owned(),
        incarnation,
        address: "127.0.0.1:1".to_owned(),
        token: 4,
        vacant: false,
    }
}

fn member(node: &str, cpu_millis: u64) -> MemberRecord {
    MemberRecord {
        node: node.to_owned(),
        incarnation: 1,
        address: "127.0.0.1:1".to_owned(),
        cpu_millis,
    }
}

fn health() -> PeerHealth {
    PeerHealth {
        incarnation: 1,
        acting: Some(4),
        known_token: 4,
        without_store_ms: 0,
        loading: None,
    }
}

/// Returns the state of the daemon `b`, with the owner `a` and the member `c`, which has a smaller CPU share than `b`.
fn succession() -> Succession {
    let mut succession = Succession::new("b");
    succession.set_members(vec![member("a", 100), member("b", 100), member("c", 60)]);
    succession.set_owner(Some(owner("a", 1)), ms(0));
    succession
}

#[test]
fn an_owner_that_answers_is_not_replaced() {
    let mut succession = succession();
    for second in 0..60 {
        let now = ms(second * 1000);
        succession.record_probe(ProbeResult::Answered(health()), now, now);
        assert!(!succession.should_claim(now));
    }
}

/// Guards against a late takeover: the silence was counted from the timeout of the first unanswered probe instead of
/// from its sending.
#[test]
fn silence_counts_from_the_sending_of_the_first_unanswered_probe() {
    let mut succession = succession();
    succession.record_probe(ProbeResult::Unanswered, ms(1000), ms(1400));
    succession.record_probe(ProbeResult::Unanswered, ms(1460), ms(1860));
    assert!(!succession.should_claim(ms(1860)));
    succession.record_probe(ProbeResult::Unanswered, ms(1920), ms(2320));
    assert!(succession.should_claim(ms(2320)));
}

/// Guards against replacing a healthy owner after one lost probe, and against never replacing a silent one.
#[test]
fn a_silent_owner_is_replaced_after_its_time() {
    let mut succession = succession();
    succession.record_probe(ProbeResult::Unanswered, ms(1000), ms(1000));
    assert!(!succession.should_claim(ms(1900)));
    succession.record_probe(ProbeResult::Unanswered, ms(2400), ms(2400));
    assert!(succession.should_claim(ms(2400)));
    assert!(
        !succession.is_former_owner_gone(),
        "a silent owner may still act"
    );
    succession.record_probe(ProbeResult::Answered(health()), ms(2500), ms(2500));
    assert!(!succession.should_claim(ms(2500)));
}

/// Guards against two owners at a time: a partition that refuses connections counted as the end of the owner's process.
#[test]
fn an_owner_whose_address_refuses_connections_is_replaced_at_once_but_may_still_act() {
    let mut succession = succession();
    succession.record_probe(ProbeResult::ConnectionRefused, ms(1000), ms(1000));
    assert!(succession.should_claim(ms(1000)));
    assert!(!succession.is_former_owner_gone());
}

#[test]
fn a_restarted_owner_is_replaced() {
    let mut succession = succession();
    let restarted = PeerHealth {
        incarnation: 2,
        acting: None,
        ..health()
    };
    succession.record_probe(ProbeResult::Answered(restarted), ms(1000), ms(1000));
    assert!(succession.should_claim(ms(1000)));
    assert!(succession.is_former_owner_gone());
}

/// Guards against an owner that learns of no new jobs: the store refuses the owner's calls and serves the other
/// daemons.
#[test]
fn an_owner_without_the_store_is_replaced_by_one_that_has_it() {
    let mut succession = succession();
    let without_store = PeerHealth {
        without_store_ms: 1200,
        ..health()
    };
    succession.record_probe(ProbeResult::Answered(without_store), ms(1000), ms(1000));
    assert!(succession.should_claim(ms(1000)));
    assert!(!succession.is_former_owner_gone());
}

/// Guards against replacing a healthy owner as an outage for all daemons ends: the store became available to this
/// daemon a moment before it did to the owner.
#[test]
fn an_owner_is_not_replaced_as_the_store_comes_back_to_all() {
    let mut succession = succession();
    let without_store = PeerHealth {
        without_store_ms: 4200,
        ..health()
    };
    succession.set_store_available_for(ms(100));
    succession.record_probe(ProbeResult::Answered(without_store), ms(1000), ms(1000));
    assert!(!succession.should_claim(ms(1000)));
    succession.set_store_available_for(ms(1000));
    succession.record_probe(ProbeResult::Answered(without_store), ms(1900), ms(1900));
    assert!(succession.should_claim(ms(1900)));
}

/// Guards against concurrent claims by all daemons, which conflict again and again.
#[test]
fn the_larger_daemons_go_first() {
    let mut succession = succession();
    succession.set_members(vec![member("a", 100), member("b", 100), member("d", 500)]);
    succession.record_probe(ProbeResult::ConnectionRefused, ms(1000), ms(1000));
    assert!(!succession.should_claim(ms(1000)));
    assert!(succession.should_claim(ms(1200)));
}

#[test]
fn a_daemon_takes_over_from_its_own_former_incarnation_at_once() {
    let mut succession = Succession::new("b");
    succession.set_owner(Some(owner("b", 6)), ms(0));
    assert!(succession.should_claim(ms(0)));
    assert!(succession.is_former_owner_gone());
}

#[test]
fn a_vacant_ownership_is_taken_over_at_once() {
    let mut succession = succession();
    let vacant = OwnerRecord {
        vacant: true,
        ..owner("a", 1)
    };
    succession.set_owner(Some(vacant), ms(500));
    assert!(succession.should_claim(ms(500)));
    assert!(succession.is_former_owner_gone());
}

/// Guards against a daemon that replaces a healthy owner as soon as its own partition ends: it had not heard the owner
/// meanwhile.
#[test]
fn an_owner_is_not_replaced_for_its_silence_during_a_partition_of_this_daemon() {
    let mut succession = succession();
    for turn in 0..10 {
        let sent = ms(1000 + turn * 460);
        succession.record_probe(ProbeResult::Unanswered, sent, sent + ms(400));
    }
    succession.set_store_regained_at(ms(5500));
    assert!(!succession.should_claim(ms(5500)));
    // This probe was sent before the partition ended.
    succession.record_probe(ProbeResult::Unanswered, ms(5400), ms(5800));
    assert!(!succession.should_claim(ms(5800)));
    succession.record_probe(ProbeResult::Answered(health()), ms(5860), ms(5900));
    assert!(!succession.should_claim(ms(8000)));
}

/// Guards against an owner that is never replaced because the daemons that could replace it had lost the store.
#[test]
fn an_owner_that_stays_silent_after_the_store_is_back_is_replaced() {
    let mut succession = succession();
    succession.record_probe(ProbeResult::Unanswered, ms(1000), ms(1400));
    succession.set_store_regained_at(ms(5500));
    for turn in 0..3 {
        let sent = ms(5600 + turn * 460);
        succession.record_probe(ProbeResult::Unanswered, sent, sent + ms(400));
    }
    assert!(succession.should_claim(ms(6920)));
}

/// Guards against a silent owner that is never replaced because the store is lost and regained again and again, and the
/// judgement begins anew each time.
#[test]
fn a_silent_owner_is_replaced_although_the_store_is_lost_again_and_again() {
    for period in [500, 700, 1000, 1300] {
        let mut succession = succession();
        let is_replaced = (0..20).any(|probe| {
            let (sent, now) = (ms(460 * probe), ms(460 * probe + 400));
            let regained_at = now.as_millis() / period * period;
            succession.set_store_regained_at(Duration::from_millis(regained_at as u64));
            succession.record_probe(ProbeResult::Unanswered, sent, now);
            succession.should_claim(now)
        });
        assert!(is_replaced, "regained each {period} ms");
    }
}

/// Guards against a daemon that replaces a healthy owner when the second of two partitions ends: its judgement had begun
/// anew shortly before.
#[test]
fn an_owner_is_not_replaced_for_its_silence_during_two_partitions_of_this_daemon() {
    let mut succession = succession();
    for start in [0, 2000] {
        for sent in [start, start + 460, start + 920] {
            succession.record_probe(ProbeResult::Unanswered, ms(sent), ms(sent + 400));
        }
        succession.set_store_regained_at(ms(start + 1500));
        assert!(!succession.should_claim(ms(start + 1500)));
        let answered_at = ms(start + 1600);
        succession.record_probe(ProbeResult::Answered(health()), answered_at, answered_at);
        assert!(!succession.should_claim(answered_at));
    }
}

/// Guards against a daemon that replaces a healthy successor for its silence during a partition because the judgement of the
/// owner before had begun anew shortly before.
#[test]
fn a_new_owner_is_not_replaced_for_its_silence_during_a_partition_of_this_daemon() {
    let mut succession = succession();
    succession.record_probe(ProbeResult::Unanswered, ms(0), ms(400));
    succession.set_store_regained_at(ms(1000));
    succession.set_owner(Some(owner("c", 1)), ms(1100));
    for sent in [1200, 1660, 2120] {
        succession.record_probe(ProbeResult::Unanswered, ms(sent), ms(sent + 400));
    }
    succession.set_store_regained_at(ms(3000));
    assert!(!succession.should_claim(ms(3000)));
}

/// Guards against tasks that run twice: a claim that is applied without an answer is followed by another, which counted
/// the owner before the first as gone though it may still act.
#[test]
fn an_owner_may_still_act_after_a_claim_without_an_answer() {
    let mut succession = succession();
    succession.record_probe(ProbeResult::Unanswered, ms(1000), ms(2400));
    assert!(succession.should_claim(ms(2400)));
    let claim = OwnerRecord {
        token: 5,
        ..owner("b", 1)
    };
    succession.set_owner(Some(claim), ms(2500));
    assert!(succession.should_claim(ms(2500)));
    assert!(!succession.is_former_owner_gone());
}

/// Guards against two owners at a time: the owner had restarted and taken over again at its address, and an answer of its former
/// incarnation arrived late and counted as one of a later incarnation.
#[test]
fn an_answer_to_a_probe_from_before_the_owner_changed_proves_nothing() {
    let mut succession = succession();
    let restarted = OwnerRecord {
        token: 6,
        ..owner("a", 2)
    };
    succession.set_owner(Some(restarted), ms(1100));
    succession.record_probe(ProbeResult::Answered(health()), ms(1000), ms(1200));
    assert!(!succession.should_claim(ms(1200)));
    assert!(!succession.is_former_owner_gone());
}

/// Returns the answer of an owner that has read this many pages of its records.
fn loading(pages: u64) -> ProbeResult {
    ProbeResult::Answered(PeerHealth {
        acting: None,
        loading: Some(pages),
        ..health()
    })
}

/// Guards against replacing an owner that reads its records over a narrow link, and against never replacing one that gets
/// no further.
#[test]
fn an_owner_that_reads_its_records_is_replaced_once_it_gets_no_further() {
    let mut succession = succession();
    for turn in 0..10 {
        let now = ms(1000 + turn * 350);
        succession.record_probe(loading(turn), now, now);
        assert!(!succession.should_claim(now));
        assert!(
            !succession.may_need_replacement(),
            "it is probed at leisure"
        );
    }
    succession.record_probe(loading(9), ms(5000), ms(5000));
    assert!(!succession.should_claim(ms(5000)));
    succession.record_probe(loading(9), ms(5500), ms(5500));
    assert!(succession.should_claim(ms(5500)));
    assert!(succession.must_read_before_claim());
    succession.record_probe(ProbeResult::ConnectionRefused, ms(5600), ms(5600));
    assert!(
        !succession.must_read_before_claim(),
        "nobody reads any more"
    );
}

//! How a configuration comes into force, and what operators are told.

use jasminebend_base::{
    ConfigurationError,
    ConfigurationVersion,
    DomainState, //
};
use jasminebend_cluster::{
    ClusterHandle,
    ProposalError,
    RefusalReason, //
};
use jasminebend_standins::{
    CallKind,
    FaultKind, //
};
use tokio::time::Instant;

use crate::harness::{
    TestCluster,
    replace,
    set_domain,
    settle,
    sleep_ms,
    three_domains,
    version_of, //
};

/// How long after its acceptance a change must be in force everywhere.
const IN_FORCE_MS: u128 = 14_000;

async fn with_domains(count: u16) -> (TestCluster, Vec<ClusterHandle>) {
    let mut cluster = TestCluster::new(7);
    let handles = cluster.start_all(count).await;
    let accepted = handles[0].propose(replace(three_domains(), None)).await;
    assert_eq!(accepted, Ok(ConfigurationVersion(1)));
    (cluster, handles)
}

async fn wait_for(handles: &[ClusterHandle], version: u64) -> u128 {
    let started = Instant::now();
    while handles.iter().any(|handle| version_of(handle) < version) {
        assert!(
            started.elapsed().as_secs() < 60,
            "version {version} is not in force"
        );
        sleep_ms(10).await;
    }
    started.elapsed().as_millis()
}

#[tokio::test(start_paused = true)]
async fn an_accepted_change_is_in_force_everywhere_within_seconds() {
    let (_cluster, handles) = with_domains(6).await;
    wait_for(&handles, 1).await;
    let change = set_domain("mid", DomainState::Out, false);
    let version = handles[3].propose(change).await.unwrap();
    assert!(wait_for(&handles, version.0).await < 5_000);
    sleep_ms(1_000).await;
    let status = handles[5].status();
    assert_eq!(status.accepted, version);
    assert!(
        status
            .members
            .iter()
            .all(|member| member.in_force == Some(version))
    );
    assert!(status.domains.iter().all(|domain| domain.confirmed));
}

/// Two operators read version 1 and replace it at the same moment, at different daemons. If both
/// were told that their change was accepted, one of them would find it gone later.
#[tokio::test(start_paused = true)]
async fn of_two_replacements_of_one_version_one_loses_with_the_reason() {
    let (_cluster, handles) = with_domains(5).await;
    wait_for(&handles, 1).await;
    let base = Some(ConfigurationVersion(1));
    let (mut one, mut other) = (three_domains(), three_domains());
    one.domains.pop();
    other.domains.remove(0);
    let (one, other) = tokio::join!(
        handles[0].propose(replace(one, base)),
        handles[1].propose(replace(other, base)),
    );
    let refused = [&one, &other]
        .into_iter()
        .find_map(|result| result.as_ref().err());
    assert!(one.is_ok() != other.is_ok(), "{one:?} {other:?}");
    assert!(
        matches!(
            refused,
            Some(ProposalError::NotAccepted(RefusalReason::Superseded { .. }))
        ),
        "{refused:?}"
    );
}

/// Two operators take out two domains at the same moment; neither had read the other's change, and
/// both are meant. A third takes the last one out and is refused, until it insists.
#[tokio::test(start_paused = true)]
async fn operators_race_on_failure_domains() {
    let (_cluster, handles) = with_domains(5).await;
    wait_for(&handles, 1).await;
    let (east, mid) = tokio::join!(
        handles[0].propose(set_domain("east", DomainState::Out, false)),
        handles[1].propose(set_domain("mid", DomainState::Out, false)),
    );
    let newest = east.unwrap().max(mid.unwrap());
    wait_for(&handles, newest.0).await;
    let last = set_domain("west", DomainState::Out, false);
    let refused = handles[2].propose(last).await;
    let reason = RefusalReason::Invalid(ConfigurationError::NoDomainIn);
    assert_eq!(refused, Err(ProposalError::NotAccepted(reason)));
    let forced = handles[2]
        .propose(set_domain("west", DomainState::Out, true))
        .await;
    assert!(forced.unwrap() > newest);
    let (back, out) = tokio::join!(
        handles[3].propose(set_domain("east", DomainState::In, false)),
        handles[4].propose(set_domain("east", DomainState::Out, true)),
    );
    let newest = back.unwrap().max(out.unwrap());
    wait_for(&handles, newest.0).await;
    let states: Vec<_> = handles
        .iter()
        .map(|handle| handle.configuration().borrow().domain_state(&"east".into()))
        .collect();
    assert!(states.iter().all(|state| *state == states[0]), "{states:?}");
}

/// The operator's connection breaks, and the command is given again, at another daemon.
#[tokio::test(start_paused = true)]
async fn a_repeated_command_changes_nothing() {
    let (_cluster, handles) = with_domains(3).await;
    wait_for(&handles, 1).await;
    let change = set_domain("east", DomainState::Out, false);
    let first = handles[0].propose(change.clone()).await;
    wait_for(&handles, 2).await;
    assert_eq!(handles[1].propose(change).await, first);
    let outdated = replace(three_domains(), Some(ConfigurationVersion(1)));
    assert!(handles[1].propose(outdated).await.is_err());
}

/// The table takes the write and its answer is lost, or comes late, or the write itself takes effect
/// seconds later: the operator must not be told that nothing happened.
#[tokio::test(start_paused = true)]
async fn lost_answers_of_the_table_are_settled() {
    let faults = [
        FaultKind::LoseAnswer,
        FaultKind::LoseRequest,
        FaultKind::Malformed,
        FaultKind::LateEffect(std::time::Duration::from_secs(3)),
        FaultKind::SlowAnswer(std::time::Duration::from_secs(4)),
        FaultKind::Duplicate(std::time::Duration::from_secs(1)),
        FaultKind::Refuse,
    ];
    for fault in faults {
        for skipped in 0..2 {
            let (cluster, handles) = with_domains(3).await;
            wait_for(&handles, 1).await;
            for _ in 0..skipped {
                cluster.table.faults().pass(CallKind::Commit);
            }
            cluster.table.faults().once(CallKind::Commit, fault);
            let change = set_domain("east", DomainState::Out, false);
            let version = handles[0].propose(change).await;
            let version = version.unwrap_or_else(|error| panic!("{fault:?} {skipped}: {error}"));
            wait_for(&handles, version.0).await;
            let east = handles[2]
                .configuration()
                .borrow()
                .domain_state(&"east".into());
            assert_eq!(east, DomainState::Out, "{fault:?} {skipped}");
        }
    }
}

/// The daemon that took the command dies at any moment. The change may come into force or not, but
/// the daemons must agree, and what was in force must not come back later.
#[tokio::test(start_paused = true)]
async fn the_accepting_daemon_may_die_at_every_step() {
    for step in 0..24 {
        let (_cluster, mut handles) = with_domains(4).await;
        wait_for(&handles, 1).await;
        let dying = handles.remove(0);
        let change = set_domain("east", DomainState::Out, false);
        let proposer = dying.clone();
        let proposal = tokio::spawn(async move { proposer.propose(change).await });
        sleep_ms(step * 15).await;
        dying.stop();
        let told = proposal.await.unwrap();
        sleep_ms(20_000).await;
        let versions: Vec<u64> = handles.iter().map(version_of).collect();
        assert!(
            versions.iter().all(|version| *version == versions[0]),
            "{step}: {versions:?}"
        );
        if let Ok(version) = told {
            assert!(
                versions[0] >= version.0,
                "step {step}: an accepted change was lost"
            );
        }
        let next = handles[1]
            .propose(set_domain("mid", DomainState::Out, false))
            .await;
        assert!(next.is_ok(), "step {step}: {next:?}");
    }
}

/// A daemon loses the table, then its peers, then both, while operators go on. It may start work by
/// what it knows only while that can be the newest, and catches up when it is back.
#[tokio::test(start_paused = true)]
async fn a_daemon_that_is_cut_off_follows_by_peers_or_stops() {
    let mut cluster = TestCluster::new(5);
    let (lone, table) = cluster.start_cuttable(9).await;
    let handles = cluster.start_beside(4, vec![lone.clone()]).await;
    handles[0]
        .propose(replace(three_domains(), None))
        .await
        .unwrap();
    wait_for(&handles, 1).await;

    table.set_cut(true);
    sleep_ms(3_000).await;
    assert!(lone.ready(), "peers vouch for it");
    let out = set_domain("east", DomainState::Out, false);
    let version = handles[0].propose(out).await.unwrap();
    assert!(
        wait_for(&handles, version.0).await < 5_000,
        "peers hand it the document"
    );

    cluster.net.split(&[9], &[1, 2, 3, 4]);
    sleep_ms(2_100).await;
    assert!(!lone.ready(), "it can confirm nothing any more");
    assert!(lone.ownership().held().is_empty());
    let mid = set_domain("mid", DomainState::Out, false);
    let refused = lone.propose(mid.clone()).await;
    assert!(
        matches!(refused, Err(ProposalError::NotAccepted(_))),
        "{refused:?}"
    );
    let version = handles[0].propose(mid).await.unwrap();

    table.set_cut(false);
    cluster.net.mend();
    wait_for(&handles, version.0).await;
    settle(&handles).await;
}

/// Too few members can be told: a change accepted here could be missed by those who go on elsewhere.
#[tokio::test(start_paused = true)]
async fn a_change_that_too_few_can_hear_of_is_refused_with_the_reason() {
    let (cluster, handles) = with_domains(6).await;
    wait_for(&handles, 1).await;
    cluster.net.split(&[1], &[2, 3, 4, 5, 6]);
    sleep_ms(2_000).await;
    let refused = handles[0]
        .propose(set_domain("east", DomainState::Out, false))
        .await;
    let reason = RefusalReason::TooFewMembers;
    assert_eq!(refused, Err(ProposalError::NotAccepted(reason)));
}

/// Guards against a daemon that acts by an old configuration: its read of the table went unanswered as a change was made.
#[tokio::test(start_paused = true)]
async fn a_change_is_in_force_in_time_though_a_read_of_the_table_got_no_answer() {
    for phase in (0..2_000).step_by(200) {
        let mut cluster = TestCluster::new(5);
        let (lone, way) = cluster.start_cuttable(9).await;
        let handles = cluster.start_beside(3, vec![lone]).await;
        sleep_ms(phase).await;
        way.set_silent(true);
        sleep_ms(1_500).await;
        way.set_silent(false);
        let proposed = Instant::now();
        let change = replace(three_domains(), None);
        let version = handles[0].propose(change).await.unwrap();
        wait_for(&handles, version.0).await;
        let waited = proposed.elapsed().as_millis();
        assert!(waited < IN_FORCE_MS, "{waited} ms after {phase} ms");
    }
}

//! Configuration changes: when they come into force, and which outcome operators receive.

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
    configuration_version,
    replace_configuration,
    set_domain_state,
    sleep_ms,
    three_domains,
    wait_until_balanced, //
};

/// The maximum time from the proposal of a change until it must be in force at all daemons, in
/// milliseconds.
const MAX_IN_FORCE_DELAY_MS: u128 = 14_000;

/// Starts daemons, and puts a configuration with three failure domains into force as version 1.
async fn start_with_domains(count: u16) -> (TestCluster, Vec<ClusterHandle>) {
    let mut cluster = TestCluster::new(7);
    let handles = cluster.start_all(count).await;
    let accepted = handles[0]
        .propose(replace_configuration(three_domains(), None))
        .await;
    assert_eq!(accepted, Ok(ConfigurationVersion(1)));
    (cluster, handles)
}

/// Waits until a version is in force at all daemons, and returns the time waited in milliseconds.
async fn wait_until_in_force(handles: &[ClusterHandle], version: u64) -> u128 {
    let started = Instant::now();
    while handles
        .iter()
        .any(|handle| configuration_version(handle) < version)
    {
        assert!(
            started.elapsed().as_secs() < 60,
            "version {version} is not in force"
        );
        sleep_ms(10).await;
    }
    started.elapsed().as_millis()
}

/// Guards against a change that is accepted but not in force at every daemon within 5 seconds, or whose
/// status does not show this.
#[tokio::test(start_paused = true)]
async fn an_accepted_change_is_in_force_everywhere_within_seconds() {
    let (_cluster, handles) = start_with_domains(6).await;
    wait_until_in_force(&handles, 1).await;
    let change = set_domain_state("mid", DomainState::Out, false);
    let version = handles[3].propose(change).await.unwrap();
    assert!(wait_until_in_force(&handles, version.0).await < 5_000);
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

/// Guards against a lost update: two operators read version 1 and replace it at the same time at
/// different daemons, both changes are reported as accepted, and one overwrites the other.
#[tokio::test(start_paused = true)]
async fn one_of_two_concurrent_replacements_is_refused_as_superseded() {
    let (_cluster, handles) = start_with_domains(5).await;
    wait_until_in_force(&handles, 1).await;
    let base = Some(ConfigurationVersion(1));
    let (mut one, mut other) = (three_domains(), three_domains());
    one.domains.pop();
    other.domains.remove(0);
    let (one, other) = tokio::join!(
        handles[0].propose(replace_configuration(one, base)),
        handles[1].propose(replace_configuration(other, base)),
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

/// Guards against lost or diverging changes of failure domains. Two operators take out different
/// domains at the same time, and both changes must apply. Taking out the last domain is refused without
/// `force`. After concurrent changes of one domain, all daemons must agree on its state.
#[tokio::test(start_paused = true)]
async fn concurrent_changes_of_failure_domains_converge() {
    let (_cluster, handles) = start_with_domains(5).await;
    wait_until_in_force(&handles, 1).await;
    let (east, mid) = tokio::join!(
        handles[0].propose(set_domain_state("east", DomainState::Out, false)),
        handles[1].propose(set_domain_state("mid", DomainState::Out, false)),
    );
    let newest = east.unwrap().max(mid.unwrap());
    wait_until_in_force(&handles, newest.0).await;
    let last = set_domain_state("west", DomainState::Out, false);
    let refused = handles[2].propose(last).await;
    let reason = RefusalReason::Invalid(ConfigurationError::AllDomainsOut);
    assert_eq!(refused, Err(ProposalError::NotAccepted(reason)));
    let forced = handles[2]
        .propose(set_domain_state("west", DomainState::Out, true))
        .await;
    assert!(forced.unwrap() > newest);
    let (back, out) = tokio::join!(
        handles[3].propose(set_domain_state("east", DomainState::In, false)),
        handles[4].propose(set_domain_state("east", DomainState::Out, true)),
    );
    let newest = back.unwrap().max(out.unwrap());
    wait_until_in_force(&handles, newest.0).await;
    let states: Vec<_> = handles
        .iter()
        .map(|handle| handle.configuration().borrow().domain_state(&"east".into()))
        .collect();
    assert!(states.iter().all(|state| *state == states[0]), "{states:?}");
}

/// Guards against a second version from a repeated command: the operator's connection breaks, and the
/// command is sent again to another daemon.
#[tokio::test(start_paused = true)]
async fn a_repeated_command_changes_nothing() {
    let (_cluster, handles) = start_with_domains(3).await;
    wait_until_in_force(&handles, 1).await;
    let change = set_domain_state("east", DomainState::Out, false);
    let first = handles[0].propose(change.clone()).await;
    wait_until_in_force(&handles, 2).await;
    assert_eq!(handles[1].propose(change).await, first);
    let outdated = replace_configuration(three_domains(), Some(ConfigurationVersion(1)));
    assert!(handles[1].propose(outdated).await.is_err());
}

/// Guards against a change that is reported as failed although it takes effect: the table applies the
/// write and its response is lost or delayed, or the write itself takes effect seconds later.
#[tokio::test(start_paused = true)]
async fn a_change_succeeds_despite_lost_table_responses() {
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
            let (cluster, handles) = start_with_domains(3).await;
            wait_until_in_force(&handles, 1).await;
            for _ in 0..skipped {
                cluster.table.faults().queue_success(CallKind::Commit);
            }
            cluster.table.faults().queue_fault(CallKind::Commit, fault);
            let change = set_domain_state("east", DomainState::Out, false);
            let version = handles[0].propose(change).await;
            let version = version.unwrap_or_else(|error| panic!("{fault:?} {skipped}: {error}"));
            wait_until_in_force(&handles, version.0).await;
            let east = handles[2]
                .configuration()
                .borrow()
                .domain_state(&"east".into());
            assert_eq!(east, DomainState::Out, "{fault:?} {skipped}");
        }
    }
}

/// Guards against disagreement after the daemon that accepts a change dies at any step of it. The change
/// may come into force or not, but all daemons must agree, a change reported as accepted must not be
/// lost, and further changes must be possible.
#[tokio::test(start_paused = true)]
async fn daemons_agree_if_the_accepting_daemon_dies_at_any_step() {
    for step in 0..24 {
        let (_cluster, mut handles) = start_with_domains(4).await;
        wait_until_in_force(&handles, 1).await;
        let dying = handles.remove(0);
        let change = set_domain_state("east", DomainState::Out, false);
        let proposer = dying.clone();
        let proposal = tokio::spawn(async move { proposer.propose(change).await });
        sleep_ms(step * 15).await;
        dying.stop();
        let outcome = proposal.await.unwrap();
        sleep_ms(20_000).await;
        let versions: Vec<u64> = handles.iter().map(configuration_version).collect();
        assert!(
            versions.iter().all(|version| *version == versions[0]),
            "{step}: {versions:?}"
        );
        if let Ok(version) = outcome {
            assert!(
                versions[0] >= version.0,
                "step {step}: an accepted change was lost"
            );
        }
        let next = handles[1]
            .propose(set_domain_state("mid", DomainState::Out, false))
            .await;
        assert!(next.is_ok(), "step {step}: {next:?}");
    }
}

/// Guards against a daemon that starts work by an outdated configuration: it loses the table, and then
/// its peers too, while operators make changes. With peers it must follow the changes; without either
/// it must stop starting work; reconnected, it must catch up.
#[tokio::test(start_paused = true)]
async fn a_partitioned_daemon_follows_its_peers_or_stops_starting_work() {
    let mut cluster = TestCluster::new(5);
    let (partitioned, table) = cluster.start_with_interruptible_table(9).await;
    let handles = cluster
        .start_with_others(4, vec![partitioned.clone()])
        .await;
    handles[0]
        .propose(replace_configuration(three_domains(), None))
        .await
        .unwrap();
    wait_until_in_force(&handles, 1).await;

    table.set_unreachable(true);
    sleep_ms(3_000).await;
    assert!(partitioned.is_ready(), "peers confirm its seat");
    let out = set_domain_state("east", DomainState::Out, false);
    let version = handles[0].propose(out).await.unwrap();
    assert!(
        wait_until_in_force(&handles, version.0).await < 5_000,
        "peers send it the document"
    );

    cluster.network.partition(&[9], &[1, 2, 3, 4]);
    sleep_ms(2_100).await;
    assert!(
        !partitioned.is_ready(),
        "neither the table nor peers confirm its seat"
    );
    assert!(partitioned.ownership().owned_resources().is_empty());
    let mid = set_domain_state("mid", DomainState::Out, false);
    let refused = partitioned.propose(mid.clone()).await;
    assert!(
        matches!(refused, Err(ProposalError::NotAccepted(_))),
        "{refused:?}"
    );
    let version = handles[0].propose(mid).await.unwrap();

    table.set_unreachable(false);
    cluster.network.reconnect_all();
    wait_until_in_force(&handles, version.0).await;
    wait_until_balanced(&handles).await;
}

/// Guards against a change that the other daemons miss: a daemon that can notify only a minority accepts
/// it, while the majority continues by the former version.
#[tokio::test(start_paused = true)]
async fn a_change_is_refused_if_no_majority_can_be_notified() {
    let (cluster, handles) = start_with_domains(6).await;
    wait_until_in_force(&handles, 1).await;
    cluster.network.partition(&[1], &[2, 3, 4, 5, 6]);
    sleep_ms(2_000).await;
    let refused = handles[0]
        .propose(set_domain_state("east", DomainState::Out, false))
        .await;
    let reason = RefusalReason::NoMajority;
    assert_eq!(refused, Err(ProposalError::NotAccepted(reason)));
}

/// Guards against a daemon that acts by an outdated configuration because its read of the table got no
/// response while a change was made.
#[tokio::test(start_paused = true)]
async fn a_change_is_in_force_in_time_despite_an_unanswered_table_read() {
    for phase in (0..2_000).step_by(200) {
        let mut cluster = TestCluster::new(5);
        let (delayed, delayed_table) = cluster.start_with_interruptible_table(9).await;
        let handles = cluster.start_with_others(3, vec![delayed]).await;
        sleep_ms(phase).await;
        delayed_table.set_silent(true);
        sleep_ms(1_500).await;
        delayed_table.set_silent(false);
        let proposed = Instant::now();
        let change = replace_configuration(three_domains(), None);
        let version = handles[0].propose(change).await.unwrap();
        wait_until_in_force(&handles, version.0).await;
        let waited = proposed.elapsed().as_millis();
        assert!(
            waited < MAX_IN_FORCE_DELAY_MS,
            "{waited} ms until in force; silent from {phase} ms"
        );
    }
}

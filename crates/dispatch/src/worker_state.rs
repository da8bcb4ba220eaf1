//! The owner's view of a worker.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::Duration, //
};

use indexmap::IndexMap;
use jasminebend_base::ResourceAmount;

use crate::{
    EndedRun,
    FleetWorker,
    RestartMark,
    RunNumber,
    RunningTask,
    TaskKey,
    WorkerClock,
    crash_history::EARLY_CRASH_WINDOW,
    dispatcher_throttling::TargetViolationTracker,
    interference_model::{
        FillerPresence,
        InterferenceModel, //
    },
    run_state::RunState,
    service_snapshot::ServiceSnapshot,
    unsettled_crash::UnsettledCrash,
    worker_health::WorkerHealth, //
};

/// The time span that a worker's metrics reflect: they cover half a second and arrive some time
/// later.
pub(crate) const METRICS_WINDOW: Duration = Duration::from_millis(700);
/// The age of a worker's last answer up to which a suspected task may start there.
const RECENT_ANSWER_WINDOW: Duration = Duration::from_secs(1);
/// The share of its reserved CPU that a service's task is assumed to use before its load has been
/// observed.
const DEFAULT_SERVICE_CPU_SHARE: f64 = 0.6;
/// The bounds of that share: the load derived from a tail latency is rough.
const MIN_SERVICE_CPU_SHARE: f64 = 0.25;
const MAX_SERVICE_CPU_SHARE: f64 = 0.75;

/// The owner's view of a worker: its registry record, lease, runs and metrics.
#[derive(Debug)]
pub(crate) struct WorkerState {
    pub(crate) record: FleetWorker,
    /// Whether the registry lists the worker.
    pub(crate) listed: bool,
    /// Whether the worker is on record for a successor, which would otherwise not know what runs on it.
    pub(crate) recorded: bool,
    /// When the incarnation began, since 1970, that is on record for a successor.
    pub(crate) recorded_incarnation: Option<Duration>,
    /// Until when runs start only if the worker's incarnation is on record for a successor, which would otherwise not know that
    /// it holds a longer lease than usual; `None` once that lease has lapsed.
    pub(crate) requires_record_until: Option<Duration>,
    pub(crate) clock: WorkerClock,
    /// The last known restart, which this owner or a former one has noticed.
    pub(crate) restart: Option<RestartMark>,
    /// When a call that grants a lease was last found to have no answer, so that it may be carried out later.
    pub(crate) unanswered_grant_at: Option<Duration>,
    /// When such a call that was meant for an incarnation before the last known restart was last found to have no answer, or was
    /// under way as the restart became known.
    pub(crate) former_grant_at: Option<Duration>,
    /// The number of restarts that this owner has seen.
    pub(crate) restarts: u64,
    /// Whether the worker's current incarnation has answered a call with the fencing token that this owner uses for it, so that
    /// it refuses calls that were sent to a former incarnation.
    pub(crate) has_owner_token: bool,
    /// The time until which the worker may execute a former owner's orders; `None` once it has
    /// answered this owner.
    pub(crate) inherited_until: Option<Duration>,
    /// Whether a former owner may have sent the worker orders.
    pub(crate) is_inherited: bool,
    /// When the latest known incarnation began, since 1970; `None` if its last record tells none.
    pub(crate) latest_incarnation: Option<Duration>,
    /// When the worker last answered.
    pub(crate) last_answer_at: Option<Duration>,
    /// When the last call was sent that the worker answered.
    pub(crate) last_answered_call_at: Option<Duration>,
    /// When the answer to the renewal that is under way is due; `None` if none is under way.
    pub(crate) answer_due_at: Option<Duration>,
    /// The number of consecutive calls without an answer.
    pub(crate) unanswered: u32,
    /// When the first of these calls failed.
    pub(crate) contact_lost_at: Option<Duration>,
    /// When contact was lost before the runs were given up; `None` if the worker was merely
    /// unreachable.
    pub(crate) crashed_at: Option<Duration>,
    /// Whether a suspected task was among these runs.
    pub(crate) crashed_with_suspect: bool,
    /// Lost runs of which it is unknown whether the worker has crashed or is unreachable.
    pub(crate) unsettled_crashes: Vec<UnsettledCrash>,
    /// Since when the registry is known not to list the worker.
    pub(crate) unlisted_since: Option<Duration>,
    /// Since when the registry is known to list the worker without a gap.
    pub(crate) listed_since: Option<Duration>,
    /// Whether the incarnation that a former owner knew has restarted.
    pub(crate) restarted_in_takeover: bool,
    /// When a run last began.
    pub(crate) last_start_at: Option<Duration>,
    /// The suspected task beside which nothing else may start, and until when.
    pub(crate) isolation: Option<(TaskKey, Duration)>,
    /// Whether the last call found nothing listening at the worker's address.
    pub(crate) connection_refused: bool,
    /// When the worker's incarnation began, since 1970, if it has reported that.
    pub(crate) incarnation: Option<Duration>,
    pub(crate) runs: IndexMap<(TaskKey, RunNumber), RunState>,
    /// The runs of unknown jobs that the worker listed last.
    pub(crate) unknown_runs: Vec<RunningTask>,
    /// The capacity that the runs reserve.
    pub(crate) reserved: ResourceAmount,
    /// The CPU that the fillers declare, in millicores.
    pub(crate) filler_cpu: u64,
    /// The CPU that services' tasks reserve, in millicores.
    pub(crate) service_cpu: u64,
    /// The CPU that long-running tasks reserve, in millicores.
    pub(crate) long_running_cpu: u64,
    /// The CPU that services are estimated to use of what they reserve, in millicores.
    pub(crate) service_use: u64,
    /// When the worker's present incarnation first answered this owner, and so follows its token. A former owner's renewal that
    /// waits there may still be answered.
    pub(crate) following_since: Duration,
    /// The number of the last completion processed.
    pub(crate) last_processed: u64,
    /// The number of the last completion that is on record and may be acknowledged.
    pub(crate) last_acknowledged: u64,
    /// The acknowledgement that the renewal under way carries; 0 for none.
    pub(crate) sent_acknowledgement: u64,
    /// The last acknowledgement that the worker has certainly carried out.
    pub(crate) settled_acknowledgement: u64,
    /// Completions processed but not yet on record, in the order of their numbers.
    pub(crate) pending_acks: VecDeque<PendingAck>,
    /// Whether the worker has answered this owner, but did not list all ends of a former owner's runs yet.
    pub(crate) has_unread_ends: bool,
    /// Whether the worker is being drained for maintenance of its VM.
    pub(crate) in_maintenance: bool,
    pub(crate) health: WorkerHealth,
    /// For how long a service on the worker has been too slow.
    pub(crate) violations: TargetViolationTracker,
    /// When the model last learned from the worker's metrics.
    pub(crate) last_learned_at: Option<Duration>,
    /// Fillers that ended recently, with the time: the metrics still reflect them.
    pub(crate) departed_fillers: Vec<(FillerPresence, Duration)>,
    /// The number of changes so far; invalidates the service snapshot.
    pub(crate) version: u64,
    pub(crate) service_snapshot: ServiceSnapshot,
    /// The number of the last plan made before the worker last changed.
    pub(crate) changed_in_plan: u64,
}

/// A completion that is not acknowledged yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingAck {
    pub(crate) number: u64,
    /// The change that must be on record before; `None` while the run's job is not known, and if the end can't be recorded.
    pub(crate) change: Option<u64>,
}

/// What a start leaves on its worker beside the run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartMarks {
    last_start_at: Option<Duration>,
    isolation: Option<(TaskKey, Duration)>,
}

impl WorkerState {
    pub(crate) fn new(record: FleetWorker) -> Self {
        Self {
            latest_incarnation: record.incarnation,
            record,
            listed: true,
            recorded: false,
            recorded_incarnation: None,
            requires_record_until: None,
            clock: WorkerClock::default(),
            restart: None,
            unanswered_grant_at: None,
            former_grant_at: None,
            restarts: 0,
            has_owner_token: false,
            inherited_until: None,
            is_inherited: false,
            last_answer_at: None,
            last_answered_call_at: None,
            answer_due_at: None,
            unanswered: 0,
            contact_lost_at: None,
            crashed_at: None,
            crashed_with_suspect: false,
            unsettled_crashes: Vec::new(),
            unlisted_since: None,
            listed_since: None,
            restarted_in_takeover: false,
            last_start_at: None,
            isolation: None,
            connection_refused: false,
            incarnation: None,
            runs: IndexMap::new(),
            unknown_runs: Vec::new(),
            reserved: ResourceAmount::default(),
            filler_cpu: 0,
            service_cpu: 0,
            long_running_cpu: 0,
            service_use: 0,
            following_since: Duration::ZERO,
            last_processed: 0,
            last_acknowledged: 0,
            sent_acknowledgement: 0,
            settled_acknowledgement: 0,
            pending_acks: VecDeque::new(),
            has_unread_ends: false,
            in_maintenance: false,
            health: WorkerHealth::default(),
            violations: TargetViolationTracker::default(),
            last_learned_at: None,
            departed_fillers: Vec::new(),
            version: 0,
            service_snapshot: ServiceSnapshot::default(),
            changed_in_plan: 0,
        }
    }

    /// Returns the unreserved capacity.
    pub(crate) fn free_capacity(&self) -> ResourceAmount {
        self.record.capacity.saturating_sub(self.reserved)
    }

    /// Returns the CPU that is estimated to be idle, in millicores; negative if fillers declare
    /// more than there is, or the capacity has shrunk. Services reserve CPU for their peak and use it in proportion to their
    /// load.
    pub(crate) fn idle_cpu(&self) -> i64 {
        let unused = signed(self.service_cpu) - signed(self.service_use);
        let unreserved = signed(self.record.capacity.cpu_millis) - signed(self.reserved.cpu_millis);
        unreserved + unused - signed(self.filler_cpu)
    }

    /// Returns the fillers that the services' metrics reflect. If `fading`, fillers that started or
    /// ended recently count in proportion to the time that the metrics cover.
    pub(crate) fn visible_fillers(&mut self, now: Duration, fading: bool) -> Vec<FillerPresence> {
        let visible_share = |since: Duration| {
            if !fading {
                return 1.0;
            }
            let elapsed = now.saturating_sub(since).as_secs_f64();
            (elapsed / METRICS_WINDOW.as_secs_f64()).min(1.0)
        };
        self.departed_fillers
            .retain(|(_, left)| visible_share(*left) < 1.0);
        let departed = self
            .departed_fillers
            .iter()
            .map(|(presence, left)| FillerPresence {
                seen_share: 1.0 - visible_share(*left),
                ..presence.clone()
            });
        let fillers = self.runs.values().filter(|run| run.is_filler());
        let present = fillers.filter_map(|run| {
            Some(FillerPresence {
                image: run.image.clone()?,
                share: run.metric? as f64 / self.cpu_capacity_millis(),
                seen_share: visible_share(run.placed_at),
            })
        });
        departed.chain(present).collect()
    }

    /// Returns the CPU that short tasks reserve, in millicores.
    pub(crate) fn short_cpu(&self) -> u64 {
        self.reserved
            .cpu_millis
            .saturating_sub(self.long_running_cpu)
    }

    /// Returns the CPU capacity in millicores, at least 1.
    pub(crate) fn cpu_capacity_millis(&self) -> f64 {
        self.record.capacity.cpu_millis.max(1) as f64
    }

    /// Returns the load that the worker's fillers, unthrottled, add to a service image.
    pub(crate) fn fillers_effect(&self, service: &Arc<str>, model: &InterferenceModel) -> f64 {
        let fillers = self.runs.values().filter(|run| run.is_filler());
        let effects = fillers.filter_map(|run| {
            let share = run.filler_cpu as f64 / self.cpu_capacity_millis();
            Some(model.effect(service, run.image.as_ref()?, share))
        });
        effects.sum()
    }

    /// Recomputes the CPU that the services are estimated to use.
    pub(crate) fn update_service_use(&mut self, now: Duration) {
        let services = self.runs.values().filter(|run| run.target.is_some());
        let used = services.map(|run| {
            let share = run.load.map_or(DEFAULT_SERVICE_CPU_SHARE, |load| {
                load.forecast(now, Duration::ZERO)
            });
            run.service_cpu() as f64 * share.clamp(MIN_SERVICE_CPU_SHARE, MAX_SERVICE_CPU_SHARE)
        });
        // CAST: Less than the worker's CPU capacity.
        self.service_use = used.sum::<f64>() as u64;
    }

    /// Adds a run and reserves its capacity.
    pub(crate) fn add_run(&mut self, run: RunNumber, state: RunState) {
        self.reserved += state.reserved;
        self.filler_cpu += state.filler_cpu;
        self.service_cpu += state.service_cpu();
        self.long_running_cpu += state.long_running_cpu();
        let now = state.placed_at;
        if !state.is_adopted {
            self.last_start_at = Some(now);
        }
        self.runs.insert((state.task, run), state);
        self.update_service_use(now);
    }

    /// Removes a run and releases its capacity.
    pub(crate) fn remove_run(&mut self, task: TaskKey, run: RunNumber, now: Duration) {
        let Some(state) = self.runs.swap_remove(&(task, run)) else {
            return;
        };
        if let (Some(image), Some(used)) = (&state.image, state.metric)
            && state.is_filler()
        {
            let presence = FillerPresence {
                image: Arc::clone(image),
                share: used as f64 / self.cpu_capacity_millis(),
                seen_share: 1.0,
            };
            self.departed_fillers.push((presence, now));
        }
        self.reserved = self.reserved.saturating_sub(state.reserved);
        self.filler_cpu = self.filler_cpu.saturating_sub(state.filler_cpu);
        self.service_cpu = self.service_cpu.saturating_sub(state.service_cpu());
        self.long_running_cpu = self
            .long_running_cpu
            .saturating_sub(state.long_running_cpu());
        self.update_service_use(now);
    }

    /// Returns whether the worker has restarted, and may still carry out calls for its former incarnation.
    pub(crate) fn is_unfenced(&self) -> bool {
        self.restarts > 0 && !self.has_owner_token
    }

    /// Returns whether the worker is known to have restarted, and its incarnation may carry out calls for former ones.
    pub(crate) fn has_unfenced_restart(&self) -> bool {
        self.restart.is_some_and(|mark| mark.may_act_late)
    }

    /// Returns when a call that grants a lease was last sent, or its answer is due, whose outcome is not known yet.
    pub(crate) fn grant_under_way_at(&self) -> Option<Duration> {
        // After a call without an answer renewals grant nothing until one is answered.
        let renewal = self.answer_due_at.filter(|_| self.unanswered == 0);
        let starts = self.runs.values().filter(|run| run.is_start_under_way);
        renewal.max(starts.map(|run| run.placed_at).max())
    }

    /// Returns whether the incarnation that answered last is the one that followed the last known restart.
    pub(crate) fn has_answered_since_restart(&self) -> bool {
        self.restart.map(|mark| mark.incarnation) == self.incarnation
    }

    /// Records that the incarnation which has answered refuses calls for former ones; returns whether that is new.
    pub(crate) fn fence_restart(&mut self) -> bool {
        let (Some(mark), Some(incarnation)) = (self.restart, self.incarnation) else {
            return false;
        };
        // An earlier incarnation may have answered before it restarted.
        if incarnation < mark.incarnation {
            return false;
        }
        let fenced = RestartMark {
            incarnation,
            may_act_late: false,
        };
        self.restart.replace(fenced) != Some(fenced)
    }

    /// Returns whether a run certainly ended with an incarnation that has restarted since: that one had begun it, so that no start of
    /// it is outstanding.
    pub(crate) fn has_ended_with_former_incarnation(&self, run: &RunState) -> bool {
        run.has_begun && (run.is_orphaned || !self.has_answered_since_restart())
    }

    /// Returns whether a former owner may have started runs on the worker that this owner does not know.
    pub(crate) fn may_have_unknown_runs(&self) -> bool {
        self.inherited_until.is_some() || self.has_unread_ends
    }

    /// Returns whether what a former owner started on the worker was lost with it: the worker has
    /// restarted, or it has never answered this owner and the registry does not list it.
    pub(crate) fn was_lost_in_takeover(&self) -> bool {
        self.restarted_in_takeover || (self.last_answer_at.is_none() && !self.listed)
    }

    /// Returns whether a successor would know that the worker's incarnation may be young: both the registry and the records tell
    /// when it began, or one of them tells nothing.
    pub(crate) fn is_incarnation_recorded(&self) -> bool {
        let known = [self.record.incarnation, self.recorded_incarnation];
        let Some(incarnation) = self.incarnation else {
            return true;
        };
        known
            .into_iter()
            .flatten()
            .all(|known| known == incarnation)
    }

    /// Returns the incarnation that certainly executes a run of a task, or `None` if that is unknown.
    pub(crate) fn incarnation_executing(&self, task: TaskKey) -> Option<Duration> {
        let mut runs = self.runs.iter().filter(|((of, _), _)| *of == task);
        let has_begun = runs.any(|(_, run)| run.has_certainly_begun() && !run.is_orphaned);
        self.incarnation.filter(|_| has_begun)
    }

    /// Keeps other tasks from starting while a suspected one is about to start or has just started.
    pub(crate) fn isolate(&mut self, task: TaskKey, now: Duration) {
        self.isolation = Some((task, now + EARLY_CRASH_WINDOW));
    }

    /// Returns the suspected task, other than this one, because of which a task may not start.
    pub(crate) fn isolated_suspect(&self, task: TaskKey, now: Duration) -> Option<TaskKey> {
        let (suspect, until) = self.isolation?;
        (suspect != task && now < until).then_some(suspect)
    }

    /// Returns what the last starts have left.
    pub(crate) fn start_marks(&self) -> StartMarks {
        StartMarks {
            last_start_at: self.last_start_at,
            isolation: self.isolation,
        }
    }

    /// Takes back what the starts since have left.
    pub(crate) fn restore_start_marks(&mut self, marks: StartMarks) {
        self.last_start_at = marks.last_start_at;
        self.isolation = marks.isolation;
    }

    /// Returns whether a run began so recently that its start may still crash the worker.
    pub(crate) fn has_recent_start(&self, now: Duration) -> bool {
        self.last_start_at
            .is_some_and(|at| now < at + EARLY_CRASH_WINDOW)
    }

    /// Returns whether a suspected task may start now: nothing else that could crash the worker began a short time ago, and
    /// the worker was up a short time ago.
    pub(crate) fn can_isolate(&self, now: Duration) -> bool {
        let has_answered = self
            .last_answer_at
            .is_some_and(|at| now < at + RECENT_ANSWER_WINDOW);
        has_answered && !self.has_recent_start(now)
    }

    /// Returns whether the worker should have answered a renewal by now, so that it may be down.
    pub(crate) fn owes_answer(&self, now: Duration) -> bool {
        self.answer_due_at.is_some_and(|due| now > due)
    }

    /// Returns whether no other run began on the worker at about the same time as this one.
    pub(crate) fn began_alone(&self, task: TaskKey, run: RunNumber) -> bool {
        let mut others = self.runs.iter().filter(|(id, _)| **id != (task, run));
        others.all(|(_, other)| !other.is_early())
    }

    /// Records a call without an answer.
    pub(crate) fn record_unanswered(&mut self, now: Duration) {
        self.unanswered += 1;
        self.contact_lost_at.get_or_insert(now);
    }

    /// Returns whether the worker seems to have left: it announced that it would, the registry no longer lists it, and
    /// its address refuses connections. It may also be cut off, so that its runs count as over only once their lease
    /// has lapsed.
    pub(crate) fn seems_to_have_left(&self) -> bool {
        self.record.draining && !self.listed && self.connection_refused
    }

    /// Discards everything that depends on the worker's previous incarnation.
    pub(crate) fn reset_incarnation(&mut self) {
        self.clock = WorkerClock::default();
        self.restarts += 1;
        self.has_owner_token = false;
        self.inherited_until = None;
        self.has_unread_ends = false;
        self.unknown_runs.clear();
        self.last_processed = 0;
        self.last_acknowledged = 0;
        self.sent_acknowledgement = 0;
        self.settled_acknowledgement = 0;
        self.pending_acks.clear();
        self.health = WorkerHealth::default();
        self.violations = TargetViolationTracker::default();
        for run in self.runs.values_mut() {
            run.is_orphaned = true;
            run.forget_stop();
        }
    }

    /// Advances the acknowledgement over the completions whose change is at most `committed`.
    pub(crate) fn acknowledge(&mut self, committed: u64) {
        while let Some(&PendingAck { number, change }) = self.pending_acks.front() {
            if change.is_none_or(|change| change > committed) {
                return;
            }
            self.last_acknowledged = number;
            self.pending_acks.pop_front();
        }
    }

    /// Returns the acknowledgement that the next renewal carries, and records it as sent. One that the worker has carried out is not
    /// repeated: a renewal that a later incarnation carries out would forget completions that nobody has read.
    pub(crate) fn take_acknowledgement(&mut self) -> u64 {
        // After missed answers another incarnation may answer, whose completions use the same numbers. One that has just
        // restarted may have carried out acknowledgements of the former incarnation's.
        let may_acknowledge = self.unanswered == 0 && self.has_owner_token;
        let is_settled = self.last_acknowledged <= self.settled_acknowledgement;
        self.sent_acknowledgement = match may_acknowledge && !is_settled {
            true => self.last_acknowledged,
            false => 0,
        };
        self.sent_acknowledgement
    }

    /// Records which acknowledgement the worker has carried out as it answered with these completions.
    pub(crate) fn settle_acknowledgement(&mut self, completions: &[EndedRun]) {
        let settled = self.settled_acknowledgement.max(self.sent_acknowledgement);
        let first_listed = completions.iter().map(|ended| ended.number).min();
        self.settled_acknowledgement = match first_listed {
            Some(number) => settled.min(number.saturating_sub(1)),
            None => settled,
        };
    }

    /// Sets the change that must be on record before a completion is acknowledged.
    pub(crate) fn set_pending_change(&mut self, number: u64, change: u64) {
        let mut pending = self.pending_acks.iter_mut();
        if let Some(pending) = pending.find(|pending| pending.number == number) {
            pending.change = Some(change);
        }
    }

    /// Returns whether one of its services was too slow recently, so that no more fillers should be
    /// placed.
    pub(crate) fn has_recent_violation(&self, now: Duration) -> bool {
        self.violations.has_recent_violation(now) && self.has_services()
    }

    /// Returns whether one of its services is too slow by itself: it was so without any filler on the
    /// worker.
    pub(crate) fn is_slow_without_fillers(&self) -> bool {
        self.violations.is_slow_without_fillers()
    }

    /// Returns whether a filler runs on the worker.
    pub(crate) fn has_fillers(&self) -> bool {
        self.filler_cpu > 0
    }

    /// Returns whether a service's task runs on the worker.
    pub(crate) fn has_services(&self) -> bool {
        self.runs.values().any(|run| run.target.is_some())
    }
}

/// Converts an amount to a signed number, saturating.
pub(crate) fn signed(amount: u64) -> i64 {
    i64::try_from(amount).unwrap_or(i64::MAX)
}

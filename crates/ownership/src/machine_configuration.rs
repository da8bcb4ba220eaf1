//! Changes the configuration.

use std::time::Duration;

use crate::{
    ConfigurationHeader,
    ConfigurationIntent,
    Guard,
    MemberMachine,
    SharedWrite,
    VersionedRow,
    configuration_change::ConfigurationChange, //
};

impl MemberMachine {
    /// Begins a change of the configuration, and returns its version and the write that announces
    /// it. The caller adds the document to the write, and reports its completion to
    /// [`MemberMachine::finish_write`]. Returns `None` if this daemon may not start work, if the table
    /// was not read since the last write ended, if writes are paused, or if another write or another
    /// change is in progress.
    pub fn begin_configuration_change(&mut self, now: Duration) -> Option<(u64, SharedWrite)> {
        let table = self.table.as_ref()?;
        let header = table.configuration.row;
        let ready = self.may_start(now) && self.may_decide_write(now);
        if !ready || header.intent.is_some() {
            return None;
        }
        let version = header.newest_version() + 1;
        let write = self.configuration_header_write(ConfigurationHeader {
            intent: Some(ConfigurationIntent {
                version,
                by: self.daemon.nonce,
            }),
            ..header
        })?;
        self.begin_commit();
        self.configuration_change = Some(ConfigurationChange {
            version,
            first_ask_number: None,
            intent_seen_at: None,
        });
        Some((version, write))
    }

    /// Cancels a change that was begun, before anything of it was written.
    pub fn cancel_configuration_change(&mut self) {
        self.write_in_progress = false;
        self.configuration_change = None;
    }

    /// Returns whether more than half of the members can be notified of a change now.
    pub fn can_notify_majority(&self, now: Duration) -> bool {
        let Some(members) = self.members() else {
            return false;
        };
        let reachable = members
            .numbered_seats()
            .filter(|(seat, record)| {
                record.holder_id(*seat).is_none_or(|id| {
                    self.has_recent_message(*seat, now) || self.terminated.contains(&id)
                })
            })
            .count();
        reachable * 2 > members.seats.len()
    }

    /// Puts a committed version into force at this daemon; a version that is not newer than the one
    /// in force is ignored.
    pub fn install_configuration(&mut self, version: u64) {
        if version <= self.in_force {
            return;
        }
        self.in_force = version;
        self.known_epochs.raise_configuration(version, version);
        self.last_ask_at = None;
        let confirmed = self
            .table
            .as_ref()
            .filter(|table| table.configuration.row.version <= version)
            .map(|table| table.requested_at);
        if let Some(at) = confirmed {
            self.confirm_configuration(at);
        }
    }

    /// Records that no version newer than the one in force was committed at a given time.
    pub(crate) fn confirm_configuration(&mut self, at: Duration) {
        self.configuration_confirmed_at = Some(
            self.configuration_confirmed_at
                .map_or(at, |old| old.max(at)),
        );
    }

    /// Advances the announced change: this daemon's own, or one that the daemon which announced it
    /// left unfinished.
    pub(crate) fn advance_configuration_change(&mut self, now: Duration) {
        let Some(table) = &self.table else {
            return;
        };
        let Some(intent) = table.configuration.row.intent else {
            if self.has_settled_write() {
                self.configuration_change = None;
            }
            return;
        };
        let own = intent.by == self.daemon.nonce;
        if !own && !self.is_change_abandoned(now) {
            return;
        }
        let requested_at = table.requested_at;
        let mut change = self
            .configuration_change
            .filter(|change| change.version == intent.version)
            .unwrap_or(ConfigurationChange {
                version: intent.version,
                first_ask_number: None,
                intent_seen_at: None,
            });
        let intent_seen_at = *change.intent_seen_at.get_or_insert(now);
        if change.first_ask_number.is_none() && self.participating {
            change.first_ask_number = Some(self.next_ask_number);
            self.last_ask_at = None;
        }
        self.configuration_change = Some(change);
        self.poll_requested |= requested_at <= intent_seen_at;
    }

    /// Returns whether the announced change has been pending for so long that this daemon finishes
    /// it. Daemons wait longer by rank, so that not all of them try at once.
    fn is_change_abandoned(&self, now: Duration) -> bool {
        let (_, seen) = self.configuration_intent_seen;
        let delay = self.settings.abandoned_after * (1 + self.rank(now));
        self.participating && now >= seen.saturating_add(delay)
    }

    /// Returns the write that puts the announced version into force. No wait is needed: members are
    /// allowed more time to act by the new version than any confirmation of the previous one stays
    /// valid.
    pub(crate) fn configuration_commit_write(&self, _now: Duration) -> Option<SharedWrite> {
        let change = self.configuration_change?;
        let table = self.table.as_ref()?;
        let header = table.configuration.row;
        let announced = header.intent?.version == change.version;
        let seats_read_after_intent = table.requested_at > change.intent_seen_at?
            || !self
                .settings
                .guards
                .is_enabled(Guard::CountSeatsAfterIntent);
        let notified = self.is_majority_notified(change.first_ask_number)
            || !self
                .settings
                .guards
                .is_enabled(Guard::NotifyConfigurationMajority);
        if !announced || !seats_read_after_intent || !notified {
            return None;
        }
        self.configuration_header_write(ConfigurationHeader {
            version: change.version,
            intent: None,
        })
    }

    fn configuration_header_write(&self, row: ConfigurationHeader) -> Option<SharedWrite> {
        let version = self.table.as_ref()?.configuration.version;
        Some(SharedWrite {
            configuration: Some(VersionedRow { version, row }),
            ..SharedWrite::default()
        })
    }
}

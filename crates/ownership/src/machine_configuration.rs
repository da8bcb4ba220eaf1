//! How the configuration is changed.

use std::time::Duration;

use crate::{
    ConfigurationHeader,
    ConfigurationIntent,
    Guard,
    MemberMachine,
    SharedWrite,
    VersionedRow,
    configuration_attempt::ConfigurationAttempt, //
};

impl MemberMachine {
    /// Begins a change of the configuration. The write announces it, and must carry its document
    /// too; its end is reported to [`MemberMachine::end_commit`]. Returns `None` while the table is
    /// not known well enough, another write is under way, or another change is.
    pub fn begin_change(&mut self, now: Duration) -> Option<(u64, SharedWrite)> {
        let table = self.table.as_ref()?;
        let header = table.configuration.row;
        let ready = self.may_start(now) && self.may_decide(now);
        if !ready || header.intent.is_some() {
            return None;
        }
        let version = header.newest_version() + 1;
        let write = self.header_write(ConfigurationHeader {
            intent: Some(ConfigurationIntent {
                version,
                by: self.daemon.nonce,
            }),
            ..header
        })?;
        self.begin_commit();
        self.change = Some(ConfigurationAttempt {
            version,
            told_from: None,
            shown_at: None,
        });
        Some((version, write))
    }

    /// Takes back a change that was begun, before anything of it was written.
    pub fn cancel_change(&mut self) {
        self.committing = false;
        self.change = None;
    }

    /// Tells whether more than half of the members can be told of a change now.
    pub fn may_change(&self, now: Duration) -> bool {
        let Some(members) = self.members() else {
            return false;
        };
        let reachable = members
            .numbered()
            .filter(|(seat, record)| {
                record
                    .holder_id(*seat)
                    .is_none_or(|id| self.is_heard(*seat, now) || self.gone.contains(&id))
            })
            .count();
        reachable * 2 > members.seats.len()
    }

    /// Acts by a committed version from now on; an older one than that in force is ignored.
    pub fn install_configuration(&mut self, version: u64) {
        if version <= self.in_force {
            return;
        }
        self.in_force = version;
        self.known.raise_configuration(version, version);
        self.asked_at = None;
        let confirmed = self
            .table
            .as_ref()
            .filter(|table| table.configuration.row.version <= version)
            .map(|table| table.asked_at);
        if let Some(at) = confirmed {
            self.confirm_configuration(at);
        }
    }

    pub(crate) fn confirm_configuration(&mut self, at: Duration) {
        self.confirmed_at = Some(self.confirmed_at.map_or(at, |old| old.max(at)));
    }

    /// Goes on with the announced change: this daemon's own, or one that its maker left unfinished.
    pub(crate) fn advance_change(&mut self, now: Duration) {
        let Some(table) = &self.table else {
            return;
        };
        let Some(intent) = table.configuration.row.intent else {
            if self.has_settled_write() {
                self.change = None;
            }
            return;
        };
        let own = intent.by == self.daemon.nonce;
        if !own && !self.is_left_unfinished(now) {
            return;
        }
        let asked_at = table.asked_at;
        let mut attempt = self
            .change
            .filter(|attempt| attempt.version == intent.version)
            .unwrap_or(ConfigurationAttempt {
                version: intent.version,
                told_from: None,
                shown_at: None,
            });
        let shown_at = *attempt.shown_at.get_or_insert(now);
        if attempt.told_from.is_none() && self.speaking {
            attempt.told_from = Some(self.next_ask);
            self.asked_at = None;
        }
        self.change = Some(attempt);
        self.poll_wanted |= asked_at <= shown_at;
    }

    fn is_left_unfinished(&self, now: Duration) -> bool {
        let (_, seen) = self.change_seen;
        let delay = self.settings.finish_after * (1 + self.rank(now));
        self.speaking && now >= seen.saturating_add(delay)
    }

    /// Returns the write that puts the announced version into force. No wait is needed: the bound on
    /// when all act by it is longer than any vouch for the version before it.
    pub(crate) fn change_write(&self, _now: Duration) -> Option<SharedWrite> {
        let attempt = self.change?;
        let table = self.table.as_ref()?;
        let header = table.configuration.row;
        let announced = header.intent?.version == attempt.version;
        let seats_known = table.asked_at > attempt.shown_at?
            || !self.settings.guards.has(Guard::CountSeatsAfterIntent);
        let told = self.told_majority(attempt.told_from)
            || !self.settings.guards.has(Guard::TellConfiguration);
        if !announced || !seats_known || !told {
            return None;
        }
        self.header_write(ConfigurationHeader {
            version: attempt.version,
            intent: None,
        })
    }

    fn header_write(&self, row: ConfigurationHeader) -> Option<SharedWrite> {
        let version = self.table.as_ref()?.configuration.version;
        Some(SharedWrite {
            configuration: Some(VersionedRow { version, row }),
            ..SharedWrite::default()
        })
    }
}

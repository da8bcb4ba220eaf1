//! Tracks which members answer the owner's probes.

use std::{
    collections::HashMap,
    time::Duration, //
};

use crate::MemberRecord;

/// How long a member must have left every probe unanswered to leave the set of members.
const MEMBER_EXPIRY_TIME: Duration = Duration::from_secs(2);
/// How long a member must have left every probe unanswered for its row to be cleared. A daemon that is back enrolls again.
const ROW_EXPIRY_TIME: Duration = Duration::from_secs(30);
/// The interval at which members that answered are probed again.
const ANSWERED_PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// What the last probes of a member have shown.
#[derive(Clone, Copy, Debug)]
enum MemberContact {
    /// It answered a probe sent at this time.
    Answered(Duration),
    /// It has left all probes unanswered since this time, when the first of them was sent.
    SilentSince(Duration),
}

/// Tracks which members answer the owner's probes.
#[derive(Debug, Default)]
pub(crate) struct MemberSilence {
    contacts: HashMap<String, (MemberRecord, MemberContact)>,
}

impl MemberSilence {
    /// Forgets daemons that are no longer members.
    pub(crate) fn retain<IsMember>(&mut self, is_member: IsMember)
    where
        IsMember: Fn(&str) -> bool,
    {
        self.contacts.retain(|node, _| is_member(node));
    }

    /// Returns whether a member should be probed at `now`: it has not answered, or not for a while.
    pub(crate) fn should_probe(&self, member: &MemberRecord, now: Duration) -> bool {
        match self.contact(member) {
            Some(MemberContact::Answered(at)) => now >= at + ANSWERED_PROBE_INTERVAL,
            Some(MemberContact::SilentSince(_)) | None => true,
        }
    }

    /// Records whether a member answered a probe that was sent at `sent`.
    pub(crate) fn record_probe(&mut self, member: MemberRecord, answered: bool, sent: Duration) {
        let contact = match (answered, self.contact(&member)) {
            (true, _) => MemberContact::Answered(sent),
            (false, Some(MemberContact::SilentSince(since))) => MemberContact::SilentSince(since),
            (false, _) => MemberContact::SilentSince(sent),
        };
        self.contacts.insert(member.node.clone(), (member, contact));
    }

    /// Returns whether a member answered the last probe.
    pub(crate) fn answers(&self, member: &MemberRecord) -> bool {
        matches!(self.contact(member), Some(MemberContact::Answered(_)))
    }

    /// Returns whether a member has been silent for so long that it leaves the set of members.
    pub(crate) fn is_expired(&self, member: &MemberRecord, now: Duration) -> bool {
        self.silent_for(member, now) >= MEMBER_EXPIRY_TIME
    }

    /// Returns whether a member has been silent for so long that its row is cleared.
    pub(crate) fn is_row_expired(&self, member: &MemberRecord, now: Duration) -> bool {
        self.silent_for(member, now) >= ROW_EXPIRY_TIME
    }

    fn silent_for(&self, member: &MemberRecord, now: Duration) -> Duration {
        match self.contact(member) {
            Some(MemberContact::SilentSince(since)) => now.saturating_sub(since),
            Some(MemberContact::Answered(_)) | None => Duration::ZERO,
        }
    }

    /// Returns what is known of this incarnation of a member.
    fn contact(&self, member: &MemberRecord) -> Option<MemberContact> {
        let (known, contact) = self.contacts.get(&member.node)?;
        (known == member).then_some(*contact)
    }
}

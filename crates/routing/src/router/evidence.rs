//! Who is the primary and how far members have applied the log, as answers, reports and probes tell it.

use super::Router;
use super::tuning::*;
use crate::primary_search::SearchTarget;
use crate::state::*;
use crate::*;

impl Router {
    /// Takes what an answer told of its member.
    pub(super) fn note(
        &mut self,
        now: Timestamp,
        id: &EndpointId,
        note: Option<ResponseMetadata>,
        took: TimeDelta,
        write: bool,
    ) {
        let Some(note) = note else { return };
        let of_primary = note.role == Some(Role::Primary);
        let confirmed = self.clock.is_confirmed();
        let told = note.position.filter(|position| self.clock.heard_position(now, *position));
        if let Some(commit) = told.filter(|_| write && of_primary)
            && self.clock.heard_commit(now, commit, took)
        {
            self.set_clock_back(now);
        }
        if !confirmed && self.clock.is_confirmed() {
            self.redate_starts(now);
        }
        let present = self.clock.at(now);
        // Without a word of the fleet's time a moment of the own clock dates no position.
        let asked = if self.clock.is_confirmed() { present - took } else { NEVER };
        let Some(m) = self.members.get_mut(id) else { return };
        let seen = told.filter(|_| !write || of_primary);
        (m.position, m.read_at) = seen.map_or((m.position, m.read_at), |at| (m.position.max(at), now));
        match note.role {
            Some(Role::Primary) => {
                m.position = m.position.max(asked);
                let at = present - took;
                self.show_primary(now, id, at.max(seen.unwrap_or(at)));
            }
            // One that hung answers long after the send: what it said just now goes before an older report.
            Some(Role::Replica) => m.replica_at = m.replica_at.max(present - TimeDelta(1)),
            None => {}
        }
    }

    /// Takes a load report.
    pub(super) fn report(
        &mut self,
        now: Timestamp,
        id: &EndpointId,
        report: Option<&[f64]>,
        took: TimeDelta,
    ) {
        let Some((report, m)) = report.zip(self.members.get_mut(id)) else { return };
        let (position, primary) = self.settings.reading(report);
        let Some(position) = position.filter(|position| self.clock.heard_position(now, *position)) else {
            return;
        };
        if position > m.position || now - m.read_at > REPORT_AGE {
            m.read_at = now;
        }
        m.position = m.position.max(position);
        self.stirred.insert(m.group);
        match primary {
            Some(true) => {
                let confirmed = self.clock.is_confirmed();
                self.clock.heard_primary(now, position, took);
                if !confirmed && self.clock.is_confirmed() {
                    self.redate_starts(now);
                }
                self.show_primary(now, id, position);
            }
            Some(false) => m.replica_at = m.replica_at.max(position),
            None => {}
        }
    }

    /// The clock was ahead: what it had dated by then is no later than the present.
    fn set_clock_back(&mut self, now: Timestamp) {
        let present = self.clock.at(now);
        for m in self.members.values_mut() {
            m.position = m.position.min(present);
            m.primary_at = m.primary_at.min(present);
            m.replica_at = m.replica_at.min(present);
        }
        self.redate_starts(now);
        self.log = Some("the clock was ahead of the fleet's".to_owned());
    }

    pub(super) fn show_primary(&mut self, now: Timestamp, id: &EndpointId, at: Timestamp) {
        let Some(m) = self.members.get_mut(id) else { return };
        m.primary_at = m.primary_at.max(at);
        let gid = m.group;
        let rival = self.groups.get(&gid).and_then(|group| group.mark.as_ref()).filter(|mark| *mark != id);
        let rival_at = rival.map_or(NEVER, |mark| self.members[mark].primary_at);
        let Some(group) = self.groups.get_mut(&gid) else { return };
        if at > rival_at {
            if group.lost || group.mark.as_ref() != Some(id) {
                self.log = Some(format!("group {}: primary shown at {}", gid.0, id.0));
            }
            group.mark = Some(id.clone());
        }
        self.stirred.insert(gid);
        let found = self.shown(now, gid).is_some();
        self.groups.entry(gid).and_modify(|group| group.lost &= !found);
    }

    /// The marked member, if it was last shown as primary and is not suspect.
    pub(super) fn shown(&self, now: Timestamp, gid: GroupId) -> Option<&EndpointId> {
        let mark = self.groups.get(&gid)?.mark.as_ref()?;
        let m = &self.members[mark];
        (m.role() == PRIMARY && self.sendable(m) && !self.suspect(m, now)).then_some(mark)
    }

    /// A marked primary that fell silent, with nothing else out there. One fresh read at a time tries it: if
    /// only some connections are silent, nothing else would show it before they end.
    pub(super) fn on_trial(&self, now: Timestamp, gid: GroupId) -> Option<&EndpointId> {
        let mark = self.groups.get(&gid)?.mark.as_ref()?;
        let m = &self.members[mark];
        let free = now >= m.ejected && self.live(m, now) < 1.0;
        (m.role() == PRIMARY && self.sendable(m) && free).then_some(mark)
    }

    /// Looks for a group's primary: asks all members, less and less often while none shows.
    pub(super) fn seek(&mut self, now: Timestamp, gid: GroupId, actions: &mut Vec<Action>) {
        let Some(group) = self.groups.get(&gid) else { return };
        let known = group.members.iter().map(|id| (id, &self.members[id]));
        // A fresh router asks whom the list shows before it asks all: it is seldom wrong.
        let silent = |m: &Member| m.primary_at.max(m.replica_at) == Timestamp::default();
        let waits = |m: &Member| m.probed == Timestamp::default() || now - m.probed < SEEK_LISTED;
        let first = |m: &Member| m.listed_primary && silent(m) && waits(m) && self.sendable(m);
        if let Some(id) = known.clone().find(|(_, m)| first(m)).map(|(id, _)| id.clone()) {
            return self.probe(now, &[id], SEEK_LISTED, actions);
        }
        let candidates: Vec<_> = known
            .filter(|(_, m)| self.sendable(m))
            .map(|(endpoint, m)| SearchTarget {
                endpoint,
                position: m.position,
                health_checked_at: m.probed,
                was_primary: m.role() == PRIMARY,
            })
            .collect();
        let mut seek = group.seek;
        let ids = seek.next_health_checks(now, self.settings.router_count, &candidates);
        self.groups.entry(gid).and_modify(|group| group.seek = seek);
        self.probe(now, &ids, TimeDelta(1), actions);
    }

    pub(super) fn probe(
        &mut self,
        now: Timestamp,
        ids: &[EndpointId],
        every: TimeDelta,
        actions: &mut Vec<Action>,
    ) {
        for id in ids {
            let Some(m) =
                self.members.get(id).filter(|m| self.settings.health_checks_allowed && self.sendable(m))
            else {
                continue;
            };
            if now - m.probed >= every {
                actions.push(Action::HealthCheck { endpoint: id.clone() });
                self.members.entry(id.clone()).and_modify(|m| m.probed = now);
            }
        }
    }
}

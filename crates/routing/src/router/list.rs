//! News of the list: the weakest evidence. It names members, drains and starts; the rest is hearsay.

use super::Router;
use super::tuning::*;
use crate::state::*;
use crate::*;
use std::collections::BTreeSet;

impl Router {
    pub(super) fn list(&mut self, now: Timestamp, listing: EndpointUpdate) {
        let (entries, full) = match listing {
            EndpointUpdate::Snapshot(entries) => (entries, true),
            EndpointUpdate::Delta(entries) => (entries, false),
            EndpointUpdate::PollFailed => return self.ask_at = Some(now + ASK_AGAIN),
            EndpointUpdate::Evicted(members) => return self.forget(&members),
        };
        // Many routers may start together, and each knows only its own part.
        let limit = (FIRST_LIMIT / f64::from(self.settings.router_count)).max(LEAST_FIRST_LIMIT);
        let first_list = !std::mem::replace(&mut self.has_list, true);
        let mut named = BTreeSet::new();
        for entry in entries {
            self.groups.entry(entry.group).or_default().members.insert(entry.endpoint.clone());
            self.stirred.insert(entry.group);
            named.extend(full.then(|| entry.endpoint.clone()));
            let credit = self.chance();
            let id = entry.endpoint.clone();
            let m = self.members.entry(entry.endpoint).or_insert_with(|| Member::new(entry.group, limit));
            let before = std::mem::replace(&mut m.group, entry.group);
            if let Some(group) = self.groups.get_mut(&before).filter(|_| before != entry.group) {
                group.leave(&id);
            }
            self.in_service += m.becomes(entry.lifecycle);
            m.listed_primary = entry.primary;
            if let Some(started) = entry.started_at {
                self.listed_start(now, &id, started, credit, first_list);
            }
        }
        let most = if full { usize::MAX } else { 0 };
        for (_, m) in self.members.iter_mut().filter(|(id, _)| !named.contains(*id)).take(most) {
            self.in_service += m.becomes(Lifecycle::Removed);
        }
    }

    /// Lets go of members that are out of service, unless something is still out at them.
    pub(super) fn forget(&mut self, members: &[EndpointId]) {
        let done = |m: &Member| m.state != Lifecycle::Active && m.out.is_empty();
        for id in members {
            if let Some(m) = self.members.get(id).filter(|m| done(m)) {
                self.groups.entry(m.group).and_modify(|group| group.leave(id));
                self.members.remove(id);
            }
        }
        self.groups.retain(|_, group| !group.members.is_empty() || !group.held.is_empty());
    }
}

impl Member {
    /// A removal does not wipe out a drain, which binds on. Gives by how much the number in service changes.
    pub(super) fn becomes(&mut self, state: Lifecycle) -> f64 {
        let served = self.state == Lifecycle::Active;
        if self.state != Lifecycle::Draining || state == Lifecycle::Active {
            self.state = state;
        }
        f64::from(u8::from(self.state == Lifecycle::Active)) - f64::from(u8::from(served))
    }
}

//! Where a request goes: a random member fresh enough for reads, the marked primary for writes.

use super::Router;
use super::tuning::*;
use crate::state::*;
use crate::*;
use rand_chacha::rand_core::RngCore;

impl Router {
    /// The paper's choice: a random member of those fresh enough; over the threshold, the forward step.
    pub(super) fn place_read(
        &mut self,
        now: Timestamp,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) -> Option<EndpointId> {
        let (dice, chance) = (self.rng.next_u32() as usize, self.chance());
        let trusts_clock = self.trusts_clock(now, id);
        let open = self.open.get(&id)?;
        let need = self.need(now, open);
        let class = &self.settings.classes[open.class];
        let fresh_only = class.operation == Operation::Read(Consistency::Strong);
        let every = if let Operation::Read(Consistency::BoundedStaleness(bound)) = class.operation {
            bound
        } else {
            LAG_MEMORY
        };
        let gid = open.group;
        let primary = self.shown(now, gid).or(self.on_trial(now, gid).filter(|_| fresh_only));
        let group = self.groups.get(&gid)?;
        let replicas = group.members.iter().map(|id| (id, &self.members[id]));
        let replicas = replicas.filter(|(id, m)| self.sendable(m) && Some(*id) != primary);
        let replicas: Vec<_> = replicas.filter(|_| !fresh_only).collect();
        // Tried members and suspects serve only where nobody better is left, the primary included.
        let rank = |(id, m): &(&EndpointId, &Member)| {
            let tried = open.attempts.iter().any(|attempt| attempt.member == **id);
            2 * u8::from(tried) + u8::from(self.suspect(m, now))
        };
        let mut pool = replicas.clone();
        pool.retain(|(_, m)| trusts_clock && self.fit(m, need, now));
        let best = pool.iter().map(rank).min();
        pool.retain(|of| Some(rank(of)) == best && (best == Some(0) || primary.is_none()));
        let lagging = pool.is_empty() && self.settings.stale_read_policy == StaleReadPolicy::Reject;
        // Writes have nowhere else to go: reads do not add to a jam there.
        let jammed = self.crowding(now, gid, PRIMARY) > HOPELESS_CROWD;
        let share = if jammed { 0.0 } else { [PRIMARY_SHARE, LAGGING_SHARE][usize::from(lagging)] };
        pool.retain(|(_, m)| self.room(m, now));
        // Where members do not check, those are asked for their position of whom it is unknown or too old to
        // do: while the price allows, all; else one at a time while nobody is known to do.
        let mut ask: Vec<EndpointId> = Vec::new();
        if let Some(need) =
            need.filter(|_| self.settings.stale_read_policy == StaleReadPolicy::Serve && !replicas.is_empty())
        {
            let turned = (0..replicas.len()).map(|step| replicas[(dice + step) % replicas.len()]);
            let due = turned.filter(|(_, m)| !self.suspect(m, now) && self.worth_asking(m, need, every, now));
            let most =
                if self.asks >= ASKS_MOST / 2.0 { replicas.len() } else { usize::from(pool.is_empty()) };
            ask.extend(due.take(most.min(self.asks as usize)).map(|(id, _)| id.clone()));
        }
        let over = self.crowding(now, gid, REPLICA) - self.crowding(now, gid, PRIMARY) - SPILL_OVER;
        let spills = primary.is_some() && !pool.is_empty() && chance < over;
        let pick = if pool.is_empty() || spills {
            // A share of few places leaves parts of one: given by chance, or a fleet's reads never get any.
            let spare = |m: &Member| fresh_only || spills || self.in_work(m, now) + chance <= m.limit * share;
            primary.filter(|id| spare(&self.members[*id]) && self.room(&self.members[*id], now)).cloned()
        } else {
            let loads: Vec<f64> = pool.iter().map(|(_, m)| self.load(m, now)).collect();
            let valid = THRESHOLD * loads.iter().sum::<f64>() / loads.len() as f64;
            let mut steps = (0..=FORWARD.min(pool.len() - 1)).map(|step| (dice + step) % pool.len());
            let at = steps.find(|at| loads[*at] <= valid).unwrap_or(dice % pool.len());
            Some(pool[at].0.clone())
        };
        self.asks -= ask.len() as f64;
        self.probe(now, &ask, TimeDelta(0), actions);
        if pick.is_none() && self.shown(now, gid).is_none() {
            self.seek(now, gid, actions);
        }
        pick
    }

    /// Whether the age of data can be told for this request. A router that has just begun knows the present
    /// by its own clock alone; it gives a listed primary, which it asks anyway, a moment to tell it.
    fn trusts_clock(&mut self, now: Timestamp, id: RequestId) -> bool {
        let Some(open) = self.open.get(&id) else { return true };
        let bounded = matches!(
            self.settings.classes[open.class].operation,
            Operation::Read(Consistency::BoundedStaleness(_))
        );
        let asks =
            self.settings.health_checks_allowed && self.settings.stale_read_policy == StaleReadPolicy::Serve;
        if !bounded || !asks || self.clock.is_confirmed() {
            return true;
        }
        let mut members = self.groups.get(&open.group).into_iter().flat_map(|group| &group.members);
        let listed = members.any(|id| self.members[id].listed_primary && self.sendable(&self.members[id]));
        !listed || now - *self.primary_awaited.get_or_insert(now) >= ASK_AGAIN_SOON
    }

    /// The marked primary, while nothing speaks against it; otherwise the write waits for one to be shown.
    pub(super) fn place_write(
        &mut self,
        now: Timestamp,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) -> Option<EndpointId> {
        let open = self.open.get(&id)?;
        let (gid, walked) = (open.group, open.misses);
        let shown = self.shown(now, gid).is_some();
        let group = self.groups.get(&gid)?;
        let usable = |id: &&EndpointId| self.sendable(&self.members[*id]);
        let count = group.members.iter().filter(usable).count() as u32;
        // A fresh router starts where the list points, else at the lowest id; an unusable mark passes on.
        let listed = group.members.iter().filter(usable).find(|id| self.members[*id].listed_primary);
        let kept = group.mark.as_ref().filter(usable).or(listed).cloned();
        let mark = kept.or_else(|| self.next_member(gid, group.mark.as_ref()))?;
        let bound = count.min(self.settings.max_attempts / 2).max(1);
        let group = self.groups.get_mut(&gid)?;
        group.mark = Some(mark.clone());
        group.lost |= !shown && walked >= bound;
        if !shown && (group.lost || self.suspect(&self.members[&mark], now)) {
            self.seek(now, gid, actions);
            return None;
        }
        Some(mark).filter(|mark| self.room(&self.members[mark], now))
    }

    pub(super) fn next_member(&self, gid: GroupId, from: Option<&EndpointId>) -> Option<EndpointId> {
        let members = &self.groups.get(&gid)?.members;
        let usable = |id: &&EndpointId| Some(*id) != from && self.sendable(&self.members[*id]);
        let mut after = members.iter().filter(usable).filter(|id| Some(*id) > from);
        after.next().or_else(|| members.iter().find(usable)).cloned()
    }

    pub(super) fn sendable(&self, m: &Member) -> bool {
        m.state == Lifecycle::Active || (m.state == Lifecycle::Removed && self.settings.soft_removal)
    }

    pub(super) fn need(&self, now: Timestamp, open: &Open) -> Option<Timestamp> {
        match self.settings.classes[open.class].operation {
            Operation::Read(Consistency::Eventual) | Operation::Write => None,
            Operation::Read(Consistency::BoundedStaleness(bound)) => Some(self.clock.at(now) - bound),
            Operation::Read(Consistency::ReadYourWrites) => open.token,
            Operation::Read(Consistency::Strong) => Some(self.clock.at(open.arrived)),
        }
    }

    /// Whether a replica is fresh enough. Where members check, an unknown one is: it would say so.
    pub(super) fn fit(&self, m: &Member, need: Option<Timestamp>, now: Timestamp) -> bool {
        let Some(need) = need.filter(|need| m.position < *need) else { return true };
        let refused = m.behind.is_some_and(|(needed, at)| need >= needed && now - at < LAG_MEMORY);
        let age = now - m.read_at;
        self.settings.stale_read_policy == StaleReadPolicy::Reject
            && !refused
            && (age > LAG_MEMORY || m.position + age >= need)
    }

    /// Whether a replica not known to be fit may be by now: by its lag when last read, or after so long.
    pub(super) fn worth_asking(&self, m: &Member, need: Timestamp, every: TimeDelta, now: Timestamp) -> bool {
        let hopeful = m.position + (now - m.read_at) >= need;
        m.position < need && now - m.probed.max(m.read_at) >= if hopeful { ASK_AGAIN_SOON } else { every }
    }
}

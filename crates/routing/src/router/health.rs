//! The valid member: silence, failures, slowness and refusals make a member less so.

use super::Router;
use super::tuning::*;
use crate::state::*;
use crate::*;

impl Router {
    pub(super) fn judge(
        &mut self,
        now: Timestamp,
        id: &EndpointId,
        verdict: AttemptOutcome,
        took: TimeDelta,
        out: Option<&Out>,
    ) {
        let Some(m) = self.members.get(id) else { return };
        let present = self.clock.at(now);
        let (gid, role, work, credit) = (m.group, m.role(), self.in_work(m, now), self.credit(m, now));
        self.stirred.insert(gid);
        // What went overdue or grew old while this router itself stood still tells nothing of the member.
        if self.stalled == now && matches!(verdict, AttemptOutcome::Timeout | AttemptOutcome::ConnectionReset)
        {
            return;
        }
        // One that got lost beside others that were answered says nothing of how the member does.
        let lost = out.is_some_and(|out| out.sent < m.reached && self.lost(m, out, now));
        let dice = self.chance();
        let pace = out.map(|out| self.pace[out.class]);
        let aim = out.map_or(TimeDelta(0), |out| self.settings.classes[out.class].latency_objective);
        let crowded = verdict == AttemptOutcome::Rejected
            || (verdict == AttemptOutcome::Ok && took > aim.mul_f64(IN_GOOD_TIME));
        let Some(m) = self.members.get_mut(id) else { return };
        let lone = m.heard <= now - took;
        if matches!(verdict, AttemptOutcome::Ok | AttemptOutcome::Error | AttemptOutcome::NotEligible) {
            m.heard = now;
        }
        if let Some(pace) =
            pace.filter(|_| matches!(verdict, AttemptOutcome::Cancelled | AttemptOutcome::Timeout))
        {
            m.left.retain(|done| now < *done);
            m.left.push(now + pace.takes(0.0).mul_f64(m.slowness(now)));
        }
        let before = m.ejections;
        match verdict {
            AttemptOutcome::Ok => {
                if crowded {
                    m.crowded(now, took, work);
                } else if work + 1.0 >= m.limit * LIMIT_USED {
                    m.limit += (1.0 / m.limit).min(m.limit * LIMIT_GROWTH);
                }
                self.served.add(now, MEMORY, [0.0, 1.0]);
                self.began = self.began.min(now);
                m.ill *= HEALING;
                m.refusals = 0;
                m.ejections = m.ejections.saturating_sub(1);
                m.ejected = NEVER;
                m.reached = m.reached.max(now - took);
                let met = out
                    .and_then(|out| out.need)
                    .filter(|_| self.settings.stale_read_policy == StaleReadPolicy::Reject);
                m.position = m.position.max(met.map_or(NEVER, |need| need.min(present)));
            }
            // A member that answered others meanwhile is crowded, not dead: ejecting for it would eject all.
            AttemptOutcome::Timeout if lost => {}
            AttemptOutcome::Timeout if !lone => m.crowded(now, took, work),
            AttemptOutcome::Timeout
            | AttemptOutcome::ConnectionReset
            | AttemptOutcome::ConnectionLostBeforeSend => m.strike(now, LOST_ANSWER),
            AttemptOutcome::ConnectionRefused => {
                // It was down: if it comes back it is cold, whatever the list says.
                m.strike(now, NO_CONNECTION);
                m.start(now, now, credit.min(dice));
            }
            // Silent or cut off, not started anew: until the list tells, few show what it can.
            AttemptOutcome::ConnectTimeout => {
                m.strike(now, NO_CONNECTION);
                m.limit = LEAST_LIMIT;
            }
            // Full, or draining, which the list tells late: it rests for as long as an answer takes, longer
            // each time it turns a write away, whose attempts would all be spent by then.
            AttemptOutcome::Rejected => {
                m.crowded(now, took, work);
                let write =
                    out.is_some_and(|out| self.settings.classes[out.class].operation == Operation::Write);
                m.refusals = if write { (m.refusals + 1).min(MOST_DOUBLINGS) } else { m.refusals };
                let rest = pace.map_or(SWEEP, |pace| pace.takes(0.0).max(SWEEP));
                let longer = if write { f64::from(1 << (m.refusals - 1)) } else { 1.0 };
                m.rested = now + rest.mul_f64(longer).min(EJECTION).max(rest);
            }
            AttemptOutcome::NotEligible => {
                m.behind = out.and_then(|out| out.need).map(|need| (need, now)).or(m.behind);
                if out.is_some_and(|out| self.settings.classes[out.class].operation == Operation::Write) {
                    m.replica_at = m.replica_at.max(present - TimeDelta(1));
                }
            }
            // An error speaks against the member only where a peer answers the same request: `outcome`.
            AttemptOutcome::Error | AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
        }
        if m.ejections > before {
            self.log = Some(format!("{} ejected until {} us: {verdict:?}", id.0, m.ejected.0));
        }
        let Some((out, pace)) = out.zip(pace) else { return };
        let took = took.0 as f64;
        if verdict == AttemptOutcome::Ok || (verdict == AttemptOutcome::Timeout && !lost && took >= pace.mean)
        {
            let slow = m.slowness(now) * SLOW_KEEPS + (1.0 - SLOW_KEEPS) * took / pace.mean.max(1.0);
            m.slow = slow.clamp(QUICKEST, SLOWEST);
            m.slow_at = now;
            self.pace[out.class].learn(took);
        }
        // A lost answer beside quick ones says nothing of a crowd; beside slow ones it does.
        let seen = match verdict {
            AttemptOutcome::Ok | AttemptOutcome::Rejected => [f64::from(u8::from(crowded)), 1.0],
            AttemptOutcome::Timeout => [self.crowding(now, gid, role); 2],
            _ => return,
        };
        self.crowd[role].add(now, CROWD_MEMORY, seen);
        self.groups.entry(gid).and_modify(|group| group.crowd[role].add(now, CROWD_MEMORY, seen));
    }

    pub(super) fn load(&self, m: &Member, now: Timestamp) -> f64 {
        let waits = |out: &Out| {
            let age = (now - out.sent).0 as f64 / self.pace[out.class].mean.max(1.0);
            age.clamp(1.0, LONGEST_WAIT)
        };
        let out: f64 = m.out.values().map(waits).sum();
        let left = self.in_work(m, now) - self.live(m, now);
        (1.0 + out + left) * m.slowness(now) * (1.0 + ILL_COUNTS * m.ill)
    }

    pub(super) fn suspect(&self, m: &Member, now: Timestamp) -> bool {
        now < m.ejected
            || (m.ejections > 0 && self.live(m, now) > 0.0)
            || (self.stalled != now && m.out.values().any(|out| out.sent > m.heard && self.overdue(out, now)))
    }

    /// Whether an attempt is out for far too long.
    pub(super) fn overdue(&self, out: &Out, now: Timestamp) -> bool {
        now - out.sent > self.pace[out.class].takes(OVERDUE).mul_f64(SILENCE)
    }

    /// Whether it is, and what was sent later was answered, or nothing since. Else it may wait its turn.
    pub(super) fn lost(&self, m: &Member, out: &Out, now: Timestamp) -> bool {
        self.overdue(out, now) && (out.sent < m.reached || out.sent > m.heard)
    }

    pub(super) fn live(&self, m: &Member, now: Timestamp) -> f64 {
        m.out.values().filter(|out| !self.lost(m, out, now)).count() as f64
    }

    /// What a member works at for this router: giving an attempt up stops nothing; one far overdue got lost.
    pub(super) fn in_work(&self, m: &Member, now: Timestamp) -> f64 {
        self.live(m, now) + m.left.iter().filter(|done| now < **done).count() as f64
    }
}

impl Member {
    /// How slow it is, as far as that is still known: a member that gets nothing to answer shows nothing
    /// else.
    pub(super) fn slowness(&self, now: Timestamp) -> f64 {
        let known = (-((now - self.slow_at).0 as f64) / MEMORY).exp();
        1.0 + (self.slow - 1.0) * known
    }

    pub(super) fn strike(&mut self, now: Timestamp, weight: f64) {
        self.ill += (1.0 - self.ill) * weight;
        if self.ill >= EJECTED_AT && now >= self.ejected {
            self.ejected = now
                + EJECTION.mul_f64(f64::from(1 << self.ejections.min(MOST_DOUBLINGS))).min(LONGEST_EJECTION);
            self.ejections += 1;
        }
    }

    /// Shrinks the limit, at most once per answer's time: the answers that follow tell of the same crowd.
    pub(super) fn crowded(&mut self, now: Timestamp, took: TimeDelta, work: f64) {
        if now - took >= self.cut {
            self.limit = (self.limit.min(work + 1.0) * LIMIT_CUT).max(LEAST_LIMIT);
            self.cut = now;
        }
    }
}

impl Pace {
    pub(super) fn takes(&self, deviations: f64) -> TimeDelta {
        TimeDelta((self.mean + deviations * self.dev) as i64)
    }

    pub(super) fn learn(&mut self, took: f64) {
        self.seen = (self.seen + 1.0).min(PACE_MEMORY);
        self.dev += ((took - self.mean).abs() - self.dev) / self.seen;
        self.mean += (took - self.mean) / self.seen;
    }
}

//! What a member that has just started may be sent, so that all routers together do not push it over.

use super::Router;
use super::shedding::part;
use super::tuning::*;
use crate::state::*;
use crate::*;

impl Router {
    pub(super) fn warmth(&self, m: &Member, now: Timestamp) -> f64 {
        let Some(since) = m.cold_since else { return 1.0 };
        let span = self.settings.slow_start_window.0.max(1) as f64;
        let share = self.settings.slow_start_floor;
        (share + (1.0 - share) * (now - since).0 as f64 / span).clamp(share.clamp(0.01, 1.0), 1.0)
    }

    pub(super) fn room(&self, m: &Member, now: Timestamp) -> bool {
        let cold = self.warmth(m, now) < 1.0 && self.credit(m, now) < 1.0;
        now >= m.rested && self.in_work(m, now) < m.limit && !cold
    }

    /// Own share of a cold member's budget: the multiple of what it surely can; saved up for little over one.
    pub(super) fn credit(&self, m: &Member, now: Timestamp) -> f64 {
        let usual = self.serves(now);
        let jammed = part(&self.crowd[REPLICA], now, CROWD_IDLE) > HOPELESS_CROWD;
        let can = usual * if jammed { 1.0 } else { SPARE };
        // The budget is that of a whole window: it goes by how warm the member was at its beginning.
        let warmth = self.warmth(m, now - self.settings.overload_window);
        let window = self.settings.overload_window.0.max(1) as f64;
        let least = LEAST_COLD_CALLS / window / f64::from(self.settings.router_count);
        let rate = (can * self.settings.overload_multiple * warmth).max(least);
        (m.credit.1 + rate * (now - m.credit.0).0 as f64).min(1.0 + rate * COLD_BURST)
    }

    /// What a member in service answers for this router in a microsecond, by a memory within its life.
    pub(super) fn serves(&self, now: Timestamp) -> f64 {
        let life = ((now - self.began).0 as f64).max(LEAST_LIFE);
        let span = MEMORY * (1.0 - (-life / MEMORY).exp());
        self.served.now(now, MEMORY)[1] / span / self.in_service.max(1.0)
    }

    /// Takes the start of a member as the list has it.
    pub(super) fn listed_start(
        &mut self,
        now: Timestamp,
        id: &EndpointId,
        started: Timestamp,
        credit: f64,
        first_list: bool,
    ) {
        let confirmed = self.clock.is_confirmed();
        let dated = self.clock.own(started).min(now);
        let Some(m) = self.members.get_mut(id).filter(|m| Some(started) > m.listed_start) else { return };
        m.listed_start = Some(started);
        // A change tells of a start a moment ago. How long ago, only a clock that is right can say.
        let presumed = !confirmed && !first_list;
        let since = if presumed { now } else { dated };
        if m.cold_since.is_none_or(|before| since > before) {
            m.start(now, since, credit);
            m.start_presumed = presumed;
        }
    }

    /// Dates listed starts anew, after the clock was confirmed or corrected.
    pub(super) fn redate_starts(&mut self, now: Timestamp) {
        let clock = self.clock;
        for m in self.members.values_mut() {
            let Some(since) = m.listed_start.map(|started| clock.own(started).min(now)) else { continue };
            if std::mem::take(&mut m.start_presumed) {
                m.cold_since = Some(since);
            } else if m.cold_since.is_none_or(|before| since > before) {
                m.start(now, since, 0.0);
            }
        }
    }
}

impl Member {
    /// It has started, and is coldest at that moment of the router's own clock.
    pub(super) fn start(&mut self, now: Timestamp, since: Timestamp, credit: f64) {
        self.cold_since = Some(since);
        self.start_presumed = false;
        self.limit = LEAST_LIMIT;
        self.credit = (now, credit);
    }
}

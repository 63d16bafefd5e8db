//! What a member that has just started may be sent, so that all routers together do not push it over.

use super::Router;
use super::shedding::part;
use super::tuning::*;
use crate::interface::*;
use crate::state::*;

impl Router {
    pub(super) fn warmth(&self, m: &Member, now: Time) -> f64 {
        let Some(started) = m.started else { return 1.0 };
        let span = self.settings.cold_span.0.max(1) as f64;
        let share = self.settings.cold_share;
        (share + (1.0 - share) * (now - started).0 as f64 / span).clamp(share.clamp(0.01, 1.0), 1.0)
    }

    pub(super) fn room(&self, m: &Member, now: Time) -> bool {
        let cold = self.warmth(m, now) < 1.0 && self.credit(m, now) < 1.0;
        now >= m.rested && self.in_work(m, now) < m.limit && !cold
    }

    /// Own share of a cold member's budget: the multiple of what it surely can; saved up for little over one.
    pub(super) fn credit(&self, m: &Member, now: Time) -> f64 {
        let usual = self.serves(now);
        let jammed = part(&self.crowd[REPLICA], now, CROWD_IDLE) > HOPELESS_CROWD;
        let can = usual * if jammed { 1.0 } else { SPARE };
        let rate = can * self.settings.fall_multiple * self.warmth(m, now);
        (m.credit.1 + rate * (now - m.credit.0).0 as f64).min(1.0 + rate * COLD_BURST)
    }

    /// What a member in service answers for this router in a microsecond, by a memory within its life.
    pub(super) fn serves(&self, now: Time) -> f64 {
        let life = ((now - self.began).0 as f64).max(LEAST_LIFE);
        let span = MEMORY * (1.0 - (-life / MEMORY).exp());
        self.served.now(now, MEMORY)[1] / span / self.in_service.max(1.0)
    }
}

impl Member {
    pub(super) fn start(&mut self, now: Time, at: Time, credit: f64) {
        (self.started, self.limit, self.credit) = (Some(at), LEAST_LIMIT, (now, credit));
    }
}

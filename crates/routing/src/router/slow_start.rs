//! Slow start: what an endpoint that has just started may be sent, so that all routers together do not
//! overload it.

#[cfg(test)]
mod tests;

use super::decaying::DecayingCount;
use super::fleet_clock::FleetClock;
use crate::{Settings, TimeDelta, Timestamp};

/// The time whose tokens may be saved up.
const TOKEN_BURST: TimeDelta = TimeDelta::from_millis(100);
/// What an endpoint is able to serve, as a multiple of what it does serve while there is no overload. How
/// busy an endpoint is remains unknown.
const CAPACITY_HEADROOM: f64 = 1.2;
/// What all routers together may send a warming endpoint in one overload window although nothing is known of
/// its capacity. The endpoint survives three, and without any there would be no responses to learn from.
const MIN_REQUESTS_PER_WINDOW: f64 = 1.5;
/// The lowest warm-up fraction.
const MIN_FRACTION: f64 = 0.01;
/// How long responses count for the throughput.
const THROUGHPUT_MEMORY: TimeDelta = TimeDelta::from_millis(7_000);
/// The shortest time since its first response that the throughput of a router is estimated from.
const MIN_OBSERVATION: TimeDelta = TimeDelta::from_millis(3_000);

/// The responses of all endpoints to this router.
#[derive(Clone, Copy, Debug)]
pub(super) struct Throughput {
    responses: DecayingCount,
    first_response_at: Timestamp,
}

impl Default for Throughput {
    fn default() -> Self {
        Self { responses: DecayingCount::default(), first_response_at: Timestamp(i64::MAX) }
    }
}

impl Throughput {
    /// Records a success.
    pub(super) fn record_success(&mut self, now: Timestamp) {
        self.responses.increment(now, THROUGHPUT_MEMORY);
        self.first_response_at = self.first_response_at.min(now);
    }

    /// What one of `in_service` endpoints is able to serve for this router, by what it does serve.
    pub(super) fn capacity_per_endpoint(
        &self,
        now: Timestamp,
        in_service: usize,
        is_overloaded: bool,
    ) -> RequestRate {
        let observed = (now - self.first_response_at).max(MIN_OBSERVATION).0 as f64;
        let memory = THROUGHPUT_MEMORY.0 as f64;
        let effective_memory = memory * (1.0 - (-observed / memory).exp());
        let responses = self.responses.value(now, THROUGHPUT_MEMORY);
        let served = responses / effective_memory / in_service.max(1) as f64;
        RequestRate(served * if is_overloaded { 1.0 } else { CAPACITY_HEADROOM })
    }
}

/// Requests per microsecond.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestRate(f64);

impl RequestRate {
    /// What this router may send a warming endpoint of this capacity.
    fn of_warming_endpoint(capacity: Self, fraction: f64, settings: &Settings) -> Self {
        let window = settings.overload_window.0.max(1) as f64;
        let least = MIN_REQUESTS_PER_WINDOW / window / f64::from(settings.router_count);
        Self((capacity.0 * settings.overload_multiple * fraction).max(least))
    }

    fn over(self, duration: TimeDelta) -> f64 {
        self.0 * duration.0 as f64
    }
}

/// The tokens of an endpoint, each of which allows to send it one request while it warms up.
#[derive(Clone, Copy, Debug, Default)]
struct TokenBalance {
    tokens: f64,
    updated_at: Timestamp,
}

/// The warm-up of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WarmUp {
    /// When it last started by the endpoint list, on the fleet's clock.
    listed_start: Option<Timestamp>,
    /// When it last started, on the router's clock; `None` for long ago.
    started_at: Option<Timestamp>,
    /// `started_at` is when the list reported the start, since the clock was not confirmed then.
    is_start_presumed: bool,
    balance: TokenBalance,
}

impl WarmUp {
    /// The fraction of its capacity that the endpoint has.
    pub(super) fn fraction(&self, now: Timestamp, settings: &Settings) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let window = settings.slow_start_window.0.max(1) as f64;
        let floor = settings.slow_start_floor;
        let fraction = floor + (1.0 - floor) * (now - started_at).0 as f64 / window;
        fraction.clamp(floor.clamp(MIN_FRACTION, 1.0), 1.0)
    }

    /// The tokens of this router, where a warm endpoint has this capacity.
    pub(super) fn tokens(&self, now: Timestamp, capacity: RequestRate, settings: &Settings) -> f64 {
        // The overload is counted over a window: what matters is how warm the endpoint was when the window
        // began.
        let fraction = self.fraction(now - settings.overload_window, settings);
        let rate = RequestRate::of_warming_endpoint(capacity, fraction, settings);
        let earned = rate.over(now - self.balance.updated_at);
        (self.balance.tokens + earned).min(1.0 + rate.over(TOKEN_BURST))
    }

    /// Spends one of the `available` tokens. Requests sent without one, to a warm endpoint, leave no debt.
    pub(super) fn spend_token(&mut self, now: Timestamp, available: f64) {
        self.balance = TokenBalance { tokens: (available - 1.0).max(0.0), updated_at: now };
    }

    /// The endpoint started at `started_at`, on the router's clock, and this router has so many tokens.
    pub(super) fn restart(&mut self, now: Timestamp, started_at: Timestamp, tokens: f64) {
        self.started_at = Some(started_at);
        self.is_start_presumed = false;
        self.balance = TokenBalance { tokens, updated_at: now };
    }

    /// Records the start that the endpoint list shows, and returns whether it is a new one. With `is_recent`,
    /// the list reported it as a change, so it was a moment ago; how long ago, only a confirmed clock shows.
    pub(super) fn observe_listed_start(
        &mut self,
        now: Timestamp,
        start: ListedStart,
        clock: &FleetClock,
    ) -> bool {
        if Some(start.fleet_time) <= self.listed_start {
            return false;
        }
        self.listed_start = Some(start.fleet_time);
        let is_presumed = !clock.is_confirmed() && start.is_recent;
        let started_at = if is_presumed { now } else { clock.to_router_time(start.fleet_time).min(now) };
        if !self.is_later_start(started_at) {
            return false;
        }
        self.restart(now, started_at, start.initial_tokens);
        self.is_start_presumed = is_presumed;
        true
    }

    /// Dates the listed start anew after the clock was confirmed or corrected, and returns whether that makes
    /// it a new one.
    pub(super) fn redate_listed_start(&mut self, now: Timestamp, clock: &FleetClock) -> bool {
        let Some(listed_start) = self.listed_start else { return false };
        let started_at = clock.to_router_time(listed_start).min(now);
        if std::mem::take(&mut self.is_start_presumed) {
            self.started_at = Some(started_at);
            return false;
        }
        if !self.is_later_start(started_at) {
            return false;
        }
        self.restart(now, started_at, 0.0);
        true
    }

    fn is_later_start(&self, started_at: Timestamp) -> bool {
        self.started_at.is_none_or(|known| started_at > known)
    }
}

/// A start that the endpoint list shows.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListedStart {
    /// When, on the fleet's clock.
    pub(super) fleet_time: Timestamp,
    /// It was reported as a change of the list, not in the first snapshot.
    pub(super) is_recent: bool,
    /// The tokens that this router has at the start. They are drawn at random, so that many routers with less
    /// than one token each add up to the endpoint's budget.
    pub(super) initial_tokens: f64,
}

//! Slow start: a token bucket limits the requests to an endpoint that has just started, so that all routers
//! together do not overload it while it warms up.

#[cfg(test)]
mod tests;

use super::decaying::DecayingCount;
use super::fleet_clock::FleetClock;
use crate::{Settings, TimeDelta, Timestamp};

/// The bucket holds the tokens that accrue in this time, and one more.
const TOKEN_BURST: TimeDelta = TimeDelta::from_millis(100);
/// The assumed capacity of an endpoint without overload, as a multiple of the throughput it is seen to have.
/// The utilization of an endpoint is unknown.
const CAPACITY_HEADROOM: f64 = 1.2;
/// The number of requests that all routers together may send a warming endpoint in one overload window even
/// if nothing is known of its capacity. An endpoint survives three, and without any there would be no
/// responses from which to estimate its capacity.
const MIN_REQUESTS_PER_WINDOW: f64 = 1.5;
/// The lowest capacity fraction of a warming endpoint, whatever the settings say.
const MIN_FRACTION: f64 = 0.01;
/// The time in which the weight of a response in the throughput decays by a factor of e.
const THROUGHPUT_MEMORY: TimeDelta = TimeDelta::from_millis(7_000);
/// The shortest time over which the throughput is averaged, even if the first response came later.
const MIN_OBSERVATION: TimeDelta = TimeDelta::from_millis(3_000);

/// The successful responses of all endpoints to this router, from which the capacity of one is estimated.
#[derive(Clone, Copy, Debug)]
pub(super) struct Throughput {
    responses: DecayingCount,
    /// When the first successful response came; `i64::MAX` before that.
    first_response_at: Timestamp,
}

impl Default for Throughput {
    fn default() -> Self {
        Self { responses: DecayingCount::default(), first_response_at: Timestamp(i64::MAX) }
    }
}

impl Throughput {
    /// Records a successful response.
    pub(super) fn record_success(&mut self, now: Timestamp) {
        self.responses.increment(now, THROUGHPUT_MEMORY);
        self.first_response_at = self.first_response_at.min(now);
    }

    /// The estimated capacity of one of `active_count` active endpoints for the requests of this router, from
    /// the throughput of all of them.
    pub(super) fn capacity_per_endpoint(
        &self,
        now: Timestamp,
        active_count: usize,
        is_overloaded: bool,
    ) -> RequestRate {
        let observed = (now - self.first_response_at).max(MIN_OBSERVATION).0 as f64;
        let memory = THROUGHPUT_MEMORY.0 as f64;
        let effective_memory = memory * (1.0 - (-observed / memory).exp());
        let responses = self.responses.value(now, THROUGHPUT_MEMORY);
        let served = responses / effective_memory / active_count.max(1) as f64;
        RequestRate(served * if is_overloaded { 1.0 } else { CAPACITY_HEADROOM })
    }
}

/// A rate in requests per microsecond.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestRate(f64);

impl RequestRate {
    /// The rate at which this router may send requests to a warming endpoint, where `capacity` is that
    /// of a warm endpoint and `fraction` the part of it that the warming endpoint has.
    fn of_warming_endpoint(capacity: Self, fraction: f64, settings: &Settings) -> Self {
        let window = settings.overload_window.0.max(1) as f64;
        let least = MIN_REQUESTS_PER_WINDOW / window / f64::from(settings.router_count);
        Self((capacity.0 * settings.overload_multiple * fraction).max(least))
    }

    fn over(self, duration: TimeDelta) -> f64 {
        self.0 * duration.0 as f64
    }
}

/// The slow-start tokens of an endpoint, each of which permits one request while the endpoint warms up.
#[derive(Clone, Copy, Debug, Default)]
struct TokenBalance {
    tokens: f64,
    updated_at: Timestamp,
}

/// The warm-up of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WarmUp {
    /// The latest start in the endpoint list, on the fleet clock.
    listed_start: Option<Timestamp>,
    /// The latest start, on the router's clock; `None` if the endpoint started long ago.
    started_at: Option<Timestamp>,
    /// Whether `started_at` is the time at which the list reported the start, because the fleet clock was not
    /// confirmed then.
    is_start_provisional: bool,
    balance: TokenBalance,
}

impl WarmUp {
    /// The fraction of its capacity that the endpoint has at `now`, which grows linearly over the slow-start
    /// window from the floor in the settings to 1.
    pub(super) fn capacity_fraction(&self, now: Timestamp, settings: &Settings) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let window = settings.slow_start_window.0.max(1) as f64;
        let floor = settings.slow_start_floor;
        let fraction = floor + (1.0 - floor) * (now - started_at).0 as f64 / window;
        fraction.clamp(floor.clamp(MIN_FRACTION, 1.0), 1.0)
    }

    /// The slow-start tokens that this router has for the endpoint, where `capacity` is that of a warm
    /// endpoint.
    pub(super) fn available_tokens(&self, now: Timestamp, capacity: RequestRate, settings: &Settings) -> f64 {
        // An endpoint fails if it is overloaded over a whole window, so its capacity at the start of the
        // window counts.
        let fraction = self.capacity_fraction(now - settings.overload_window, settings);
        let rate = RequestRate::of_warming_endpoint(capacity, fraction, settings);
        let earned = rate.over(now - self.balance.updated_at);
        (self.balance.tokens + earned).min(1.0 + rate.over(TOKEN_BURST))
    }

    /// Spends one of the `available` tokens. A request sent without one, because the endpoint is warm, leaves
    /// no debt.
    pub(super) fn spend_token(&mut self, now: Timestamp, available: f64) {
        self.balance = TokenBalance { tokens: (available - 1.0).max(0.0), updated_at: now };
    }

    /// Records that the endpoint started at `started_at`, on the router's clock, and sets the tokens of this
    /// router.
    pub(super) fn restart(&mut self, now: Timestamp, started_at: Timestamp, tokens: f64) {
        self.started_at = Some(started_at);
        self.is_start_provisional = false;
        self.balance = TokenBalance { tokens, updated_at: now };
    }

    /// Records the start time in the endpoint list, and returns whether it is a new start. A start that the
    /// list reported as a change was recent; until the fleet clock is confirmed, it is taken to be now.
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
        let is_provisional = !clock.is_confirmed() && start.is_recent;
        let started_at = if is_provisional { now } else { clock.to_router_time(start.fleet_time).min(now) };
        if !self.is_later_start(started_at) {
            return false;
        }
        self.restart(now, started_at, start.initial_tokens);
        self.is_start_provisional = is_provisional;
        true
    }

    /// Converts the listed start to the router's clock again after the fleet clock was confirmed or
    /// corrected, and returns whether that makes it a new start.
    pub(super) fn recompute_listed_start(&mut self, now: Timestamp, clock: &FleetClock) -> bool {
        let Some(listed_start) = self.listed_start else { return false };
        let started_at = clock.to_router_time(listed_start).min(now);
        if std::mem::take(&mut self.is_start_provisional) {
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

/// A start of an endpoint, as the endpoint list reports it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListedStart {
    /// The time of the start, on the fleet clock.
    pub(super) fleet_time: Timestamp,
    /// Whether the start was reported as a change of the list, not by the first update after the router
    /// started.
    pub(super) is_recent: bool,
    /// The tokens of this router at the start, from 0 to 1. They are drawn at random, so that many routers,
    /// each with a share of less than one request, together send what the endpoint can take.
    pub(super) initial_tokens: f64,
}

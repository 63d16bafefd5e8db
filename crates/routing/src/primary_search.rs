//! The search for a replication group's new primary: which endpoints to health-check, and how often.
//!
//! It performs no I/O, reads no clock and draws no random numbers. The router calls it while a group has no
//! known primary, and still chooses, retries and rejects by itself.
//!
//! While a group has no primary, the log positions of its endpoints stand still, and the replica with the
//! most complete log is promoted. So the search alternates between two patterns. In a *round*, all endpoints
//! are checked, which shows their positions. Between rounds, only the *promotion candidates* are checked,
//! those whose position no other endpoint exceeds. This finds a new primary within about one interval of its
//! promotion, for fewer health checks than rounds alone. The search only decides what to check: an endpoint
//! that reports being the primary is believed even if it was no promotion candidate.

use crate::{EndpointId, TimeDelta, Timestamp};

/// The health checks per second that a search may cost an endpoint, over all routers, while there are no more
/// routers than this: under 1% of the capacity of an endpoint with four cores. More routers check once a
/// second each.
const MAX_HEALTH_CHECKS_PER_SECOND: f64 = 100.0;
/// The shortest interval between two checks of one endpoint; load reports are refreshed no more often.
const MIN_INTERVAL: TimeDelta = TimeDelta::from_millis(100);
/// The longest interval between two checks of a promotion candidate, however many routers there are.
const MAX_INTERVAL: TimeDelta = TimeDelta::from_millis(1_000);
/// The delay between the first two rounds.
const INITIAL_ROUND_DELAY: TimeDelta = TimeDelta::from_millis(100);
/// By what factor the delay grows from round to round.
const ROUND_DELAY_GROWTH: f64 = 1.6;
/// The longest delay between two rounds. A search that was not continued for longer starts over.
const MAX_ROUND_DELAY: TimeDelta = TimeDelta::from_millis(1_000);
/// Positions this close count as equal, since they were reported at different moments.
const POSITION_TOLERANCE: TimeDelta = TimeDelta::from_millis(2);
/// If more endpoints than this share the highest position, none of them is preferred.
const MAX_PROMOTION_CANDIDATES: usize = 3;

/// What the search needs to know of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct SearchTarget<'a> {
    /// The endpoint.
    pub endpoint: &'a EndpointId,
    /// The log position up to which it is known to have applied.
    pub position: Timestamp,
    /// When its last health check was sent.
    pub health_checked_at: Timestamp,
    /// Whether it was the primary last. It takes part in the rounds, but is no promotion candidate.
    pub was_primary: bool,
}

/// The state of the search for one group's primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrimarySearch {
    next_round_at: Timestamp,
    round_delay: TimeDelta,
    last_continued_at: Timestamp,
    /// Whether a round was sent since the search started, so that positions are known.
    positions_requested: bool,
}

impl Default for PrimarySearch {
    fn default() -> Self {
        Self {
            next_round_at: Timestamp::DISTANT_PAST,
            round_delay: INITIAL_ROUND_DELAY,
            last_continued_at: Timestamp::DISTANT_PAST,
            positions_requested: false,
        }
    }
}

impl PrimarySearch {
    /// The interval between two health checks of a promotion candidate by one of `router_count` routers.
    #[must_use]
    pub fn interval(router_count: u32) -> TimeDelta {
        let interval = f64::from(router_count) / MAX_HEALTH_CHECKS_PER_SECOND * 1e6;
        TimeDelta(interval as i64).max(MIN_INTERVAL).min(MAX_INTERVAL)
    }

    /// Continues the search and returns the endpoints to health-check now. Calls closer together than 10 ms
    /// gain nothing.
    pub fn next_health_checks(
        &mut self,
        now: Timestamp,
        router_count: u32,
        targets: &[SearchTarget<'_>],
    ) -> Vec<EndpointId> {
        let interval = Self::interval(router_count);
        let is_due = |target: &&SearchTarget<'_>| now - target.health_checked_at >= interval;
        if now - self.last_continued_at > MAX_ROUND_DELAY {
            *self = Self { next_round_at: now, ..Self::default() };
        }
        self.last_continued_at = now;
        if now >= self.next_round_at {
            self.schedule_next_round(now, interval);
            return targets.iter().filter(is_due).map(|target| target.endpoint.clone()).collect();
        }
        if !self.positions_requested {
            return Vec::new();
        }
        let candidates = promotion_candidates(targets);
        candidates.into_iter().filter(is_due).map(|target| target.endpoint.clone()).collect()
    }

    fn schedule_next_round(&mut self, now: Timestamp, interval: TimeDelta) {
        let delay = self.round_delay.max(interval);
        self.next_round_at = now + delay;
        self.round_delay = delay.mul_f64(ROUND_DELAY_GROWTH).min(MAX_ROUND_DELAY);
        self.positions_requested = true;
    }
}

/// The replicas whose position no other replica exceeds, unless there are too many of them.
fn promotion_candidates<'c, 'a>(targets: &'c [SearchTarget<'a>]) -> Vec<&'c SearchTarget<'a>> {
    let replicas = || targets.iter().filter(|target| !target.was_primary);
    let Some(highest) = replicas().map(|target| target.position).max() else { return Vec::new() };
    let candidates: Vec<_> =
        replicas().filter(|target| highest - target.position <= POSITION_TOLERANCE).collect();
    if candidates.len() > MAX_PROMOTION_CANDIDATES { Vec::new() } else { candidates }
}

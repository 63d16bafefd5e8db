//! Search for the new primary of a replication group: which endpoints to health-check, and how often.
//!
//! The search performs no I/O, reads no clock and draws no random numbers. The router calls it while a group
//! has no known primary; endpoint selection, retries and rejections remain with the router.
//!
//! While a group has no primary, the log positions of its endpoints do not advance, and the replica with the
//! most complete log is promoted. The search therefore uses two patterns. In a *round*, it checks all
//! endpoints to learn their positions. Between rounds, it checks only the *promotion candidates*, the
//! replicas whose position no other replica exceeds. This finds a new primary within about one interval of
//! its promotion, with fewer health checks than rounds alone would need. The search only selects the
//! endpoints to check: an endpoint that reports being the primary is believed even if it was not a promotion
//! candidate.

use crate::{EndpointId, TimeDelta, Timestamp};

/// The maximum rate of health checks that an endpoint receives from all routers together, as long as there
/// are no more routers than this number. It is under 1% of the capacity of an endpoint with four cores. If
/// there are more routers, each of them checks once a second.
const MAX_HEALTH_CHECKS_PER_SECOND: f64 = 100.0;
/// The shortest interval between two checks of one endpoint; load reports are not refreshed more often.
const MIN_INTERVAL: TimeDelta = TimeDelta::from_millis(100);
/// The longest interval between two checks of a promotion candidate, for any number of routers.
const MAX_INTERVAL: TimeDelta = TimeDelta::from_millis(1_000);
/// The delay between the first and the second round.
const INITIAL_ROUND_DELAY: TimeDelta = TimeDelta::from_millis(100);
/// The factor by which the delay between rounds grows after each round.
const ROUND_DELAY_GROWTH: f64 = 1.6;
/// The longest delay between two rounds. A search that is not continued for longer than this starts over.
const MAX_ROUND_DELAY: TimeDelta = TimeDelta::from_millis(1_000);
/// Positions that differ by no more than this count as equal, because they were reported at different times.
const POSITION_TOLERANCE: TimeDelta = TimeDelta::from_millis(2);
/// The largest number of promotion candidates. If more replicas share the highest position, there are none.
const MAX_PROMOTION_CANDIDATES: usize = 3;

/// An endpoint of the group that the search may health-check.
#[derive(Clone, Copy, Debug)]
pub struct SearchTarget<'a> {
    /// The identifier of the endpoint.
    pub endpoint: &'a EndpointId,
    /// The log position up to which the endpoint is known to have applied.
    pub position: Timestamp,
    /// When the last health check of the endpoint was sent.
    pub health_checked_at: Timestamp,
    /// Whether the endpoint was last known as the primary. Rounds include such an endpoint, but it is never a
    /// promotion candidate.
    pub was_primary: bool,
}

/// The state of the search for one group's primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrimarySearch {
    next_round_at: Timestamp,
    round_delay: TimeDelta,
    last_continued_at: Timestamp,
    /// Whether the search has sent a round since it started. Before that, positions are not known.
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
    /// The interval at which each of `router_count` routers health-checks a promotion candidate.
    #[must_use]
    pub fn interval(router_count: u32) -> TimeDelta {
        let interval = f64::from(router_count) / MAX_HEALTH_CHECKS_PER_SECOND * 1e6;
        TimeDelta(interval as i64).max(MIN_INTERVAL).min(MAX_INTERVAL)
    }

    /// Continues the search and returns the endpoints to health-check now. Calling this more often than every
    /// 10 ms has no benefit.
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

/// The replicas whose position no other replica exceeds, or none if there are more than
/// [`MAX_PROMOTION_CANDIDATES`].
fn promotion_candidates<'c, 'a>(targets: &'c [SearchTarget<'a>]) -> Vec<&'c SearchTarget<'a>> {
    let replicas = || targets.iter().filter(|target| !target.was_primary);
    let Some(highest) = replicas().map(|target| target.position).max() else { return Vec::new() };
    let candidates: Vec<_> =
        replicas().filter(|target| highest - target.position <= POSITION_TOLERANCE).collect();
    if candidates.len() > MAX_PROMOTION_CANDIDATES { Vec::new() } else { candidates }
}

//! Backoff between attempts to open a discovery watch.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::time::Duration;

/// The delay to which the random part is added.
const MIN_DELAY: Duration = Duration::from_millis(20);
/// The jitter window after a lost watch if the pooler has a discovery agent of its own. It is short because a
/// change that the agent knows of takes effect after the drain grace, whether or not the pooler has received
/// it.
const OWN_AGENT_WINDOW: Duration = Duration::from_millis(60);
/// The jitter window after a call that was not sent and therefore put no load on discovery.
const NOT_SENT_WINDOW: Duration = Duration::from_millis(40);
/// The part of the fleet's jitter window that each pooler adds.
const WINDOW_PER_POOLER: Duration = Duration::from_millis(50);
/// The upper limit of the fleet's jitter window. After a call that was rejected only after 2 s, it leaves
/// time for another call within 6 s of the first.
const MAX_FLEET_WINDOW: Duration = Duration::from_millis(3_000);

/// The reason why a watch, or the attempt to open one, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEnd {
    /// Discovery responded with an HTTP status other than 200.
    Rejected,
    /// The connection could not be opened, was lost, timed out, or carried an invalid response.
    Lost,
    /// This machine had no descriptor, port or memory for the call.
    NotSent,
}

/// Random delays: a minimum plus a uniform jitter within a window.
///
/// A lost watch at the pooler's own agent is reopened almost immediately. A service that the whole fleet
/// shares serves a limited number of calls per second and rejects calls that have waited too long; it would
/// stay overloaded if all poolers reconnected at the same time. For a shared service, and after any
/// rejection, the window therefore grows with the size of the fleet.
#[derive(Debug)]
pub struct Backoff {
    rng: ChaCha8Rng,
    rejected_window: Duration,
    lost_window: Duration,
}

impl Backoff {
    /// The backoff of one pooler in a fleet of `fleet_size` poolers, which share one discovery service if
    /// `shared_service` is set, and otherwise have an agent each. The seed must differ between poolers.
    #[must_use]
    pub fn new(seed: u64, fleet_size: u32, shared_service: bool) -> Self {
        let fleet_window = (WINDOW_PER_POOLER * fleet_size).min(MAX_FLEET_WINDOW);
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            rejected_window: fleet_window,
            lost_window: if shared_service { fleet_window } else { OWN_AGENT_WINDOW },
        }
    }

    /// The delay before the next attempt to open a watch, after one that ended with `end`.
    pub fn next_delay(&mut self, end: WatchEnd) -> Duration {
        let fraction = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
        let window = match end {
            WatchEnd::Rejected => self.rejected_window,
            WatchEnd::Lost => self.lost_window,
            WatchEnd::NotSent => NOT_SENT_WINDOW,
        };
        MIN_DELAY + window.mul_f64(fraction)
    }
}

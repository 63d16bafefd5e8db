//! The pauses between the attempts to open a watch.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::time::Duration;

/// The least pause before a watch is opened again.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// The window in which a lost watch is opened again where each pooler has an agent of its own: what an agent knows binds
/// within the grace of a drain, watch or no watch.
const AGENT_WINDOW: Duration = Duration::from_millis(60);
/// The window after a call that never left this machine: it cost discovery nothing.
const NOT_SENT_WINDOW: Duration = Duration::from_millis(40);
/// The window where discovery is one service for the whole fleet, or has rejected a call: so much for each pooler.
const WINDOW_PER_POOLER: Duration = Duration::from_millis(50);
/// No window is longer than this: it leaves time, after a call that waited two seconds to be rejected, for the next within
/// 6 s.
const MAX_WINDOW: Duration = Duration::from_millis(3_000);

/// How an attempt to watch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEnd {
    /// Discovery rejected the call.
    Rejected,
    /// Nobody was there, or the watch broke or fell silent.
    Lost,
    /// This machine had no descriptor, port or memory for the call.
    NotSent,
}

/// Random pauses within a window. What an agent of the pooler's own machine knows binds at once, so a lost watch is opened
/// again at once. One service for a whole fleet serves only so many calls a second, and remains overloaded where all
/// poolers come back together, as calls that have waited too long are rejected: there, and after any rejection, each
/// pooler picks a moment in a window by the size of the fleet.
#[derive(Debug)]
pub struct Backoff {
    rng: ChaCha8Rng,
    rejected_window: Duration,
    lost_window: Duration,
}

impl Backoff {
    /// The backoff of one pooler in a fleet of `fleet_size`, which share one discovery service or have an agent each. The
    /// seed must differ from pooler to pooler.
    #[must_use]
    pub fn new(seed: u64, fleet_size: u32, shared_service: bool) -> Self {
        let fleet_window = (WINDOW_PER_POOLER * fleet_size).min(MAX_WINDOW);
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            rejected_window: fleet_window,
            lost_window: if shared_service { fleet_window } else { AGENT_WINDOW },
        }
    }

    /// The pause before the next attempt.
    pub fn next_pause(&mut self, end: WatchEnd) -> Duration {
        let fraction = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
        let window = match end {
            WatchEnd::Rejected => self.rejected_window,
            WatchEnd::Lost => self.lost_window,
            WatchEnd::NotSent => NOT_SENT_WINDOW,
        };
        MIN_PAUSE + window.mul_f64(fraction)
    }
}

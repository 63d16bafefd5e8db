//! Backoff between attempts to open a watch.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::time::Duration;

/// The shortest pause.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// The window after a lost watch where each pooler has an agent of its own. It is short because what the
/// agent knows takes effect after the drain grace, whether or not it was received.
const AGENT_WINDOW: Duration = Duration::from_millis(60);
/// The window after a call that never left this machine, and so put no load on discovery.
const NOT_SENT_WINDOW: Duration = Duration::from_millis(40);
/// The share of each pooler in the window of the whole fleet.
const WINDOW_PER_POOLER: Duration = Duration::from_millis(50);
/// The longest window. It leaves time for another call within 6 s of one that waited two seconds to be
/// rejected.
const MAX_WINDOW: Duration = Duration::from_millis(3_000);

/// How a watch, or the attempt to open one, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEnd {
    /// Discovery rejected the call.
    Rejected,
    /// The connection could not be opened, broke, or fell silent.
    Lost,
    /// This machine had no descriptor, port or memory for the call.
    NotSent,
}

/// Random pauses within a window.
///
/// A lost watch at an agent of the pooler's own is reopened almost at once. A service that the whole fleet
/// shares serves a limited number of calls per second, and rejects calls that have waited too long: if all
/// poolers reconnected together it would stay overloaded. There, and after any rejection, the window grows
/// with the size of the fleet.
#[derive(Debug)]
pub struct Backoff {
    rng: ChaCha8Rng,
    rejected_window: Duration,
    lost_window: Duration,
}

impl Backoff {
    /// The backoff of one pooler in a fleet of `fleet_size` poolers, which share one discovery service or
    /// have an agent each. The seed must differ between poolers.
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

//! Graceful shutdown: the pooler serves on while there is time, then closes client connections as they fall idle, and
//! exits when none is left or the time is over.

use crate::lifecycle::stages::ShutdownStages;
use async_io::Timer;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Connections keep arriving for up to 0.4 s after SIGTERM; until a little later nothing changes for clients.
const ARRIVALS: Duration = Duration::from_millis(500);
/// Nothing changes for clients either for as long as there is this much time left for requests in flight. A client that
/// has a connection uses no other pooler while it lasts, so to close it early fails what it would have asked on it.
const CLOSING_TIME: Duration = Duration::from_millis(700);
/// For this long after idle connections are closed a late client is still accepted, served and closed.
const LATE_ARRIVALS: Duration = Duration::from_millis(250);
/// SIGKILL comes no earlier than after the longest deadline, counted as no more than this, and a grace.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// The grace between the longest deadline and SIGKILL.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// Requests that are in flight so long before SIGKILL get their final response at once.
const KILL_MARGIN: Duration = Duration::from_millis(400);
/// Short deadlines leave no more than this between the exit of the process and SIGKILL.
const MIN_KILL_MARGIN: Duration = Duration::from_millis(50);
/// The time in which those last responses are written.
const FLUSH_TIME: Duration = Duration::from_millis(150);
/// How often the connected clients are counted.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// When each stage of a shutdown begins, counted from SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Idle client connections are closed.
    pub closing_idle: Duration,
    /// No client connection is accepted any more.
    pub not_accepting: Duration,
    /// Requests in flight get their final response.
    pub terminating: Duration,
    /// The process exits.
    pub terminated: Duration,
}

impl Schedule {
    /// The schedule of a pooler whose clients have no longer deadline than this.
    #[must_use]
    pub fn new(longest_deadline: Duration) -> Self {
        let kill = Self::earliest_kill(longest_deadline);
        // Where time is short, accepting goes before the margin, and the last responses before accepting.
        let terminating = (kill - KILL_MARGIN).max(ARRIVALS).min(kill - FLUSH_TIME - MIN_KILL_MARGIN);
        let closing_idle = terminating.saturating_sub(CLOSING_TIME).max(ARRIVALS).min(terminating);
        let not_accepting = (closing_idle + LATE_ARRIVALS).min(terminating);
        Self { closing_idle, not_accepting, terminating, terminated: terminating + FLUSH_TIME }
    }

    /// The earliest SIGKILL, counted from SIGTERM.
    #[must_use]
    pub fn earliest_kill(longest_deadline: Duration) -> Duration {
        longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_GRACE
    }
}

/// Shuts the pooler down.
pub(crate) struct Shutdown {
    /// The stages to set.
    pub(crate) stages: Rc<ShutdownStages>,
    /// Counts the client connections.
    pub(crate) connected_clients: Box<dyn Fn() -> usize>,
    /// The longest deadline of any class.
    pub(crate) longest_deadline: Duration,
}

impl Shutdown {
    /// Goes through the stages.
    pub(crate) async fn run(self) {
        let started = Instant::now();
        let schedule = Schedule::new(self.longest_deadline);
        self.stages.draining.set();
        tracing::info!("draining with {} clients connected", (self.connected_clients)());
        Timer::at(started + schedule.closing_idle).await;
        self.stages.closing_idle.set();
        Timer::at(started + schedule.not_accepting).await;
        self.stages.not_accepting.set();
        self.no_clients_left(started + schedule.terminating).await;
        self.stages.terminating.set();
        self.no_clients_left(started + schedule.terminated).await;
        self.stages.terminated.set();
    }

    /// Waits until no client is connected, but no longer than until `limit`.
    async fn no_clients_left(&self, limit: Instant) {
        while (self.connected_clients)() > 0 && Instant::now() < limit {
            Timer::after(CHECK_INTERVAL).await;
        }
    }
}

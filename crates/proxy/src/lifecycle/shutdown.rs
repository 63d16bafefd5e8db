//! Graceful shutdown: the pooler keeps serving while there is time, then closes client connections as they
//! become idle, and exits when none is left or the time is over.

use crate::lifecycle::stages::ShutdownStages;
use async_io::Timer;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Connections keep arriving for up to 0.4 s after SIGTERM; until a little later nothing changes for clients.
const ARRIVALS: Duration = Duration::from_millis(500);
/// Idle connections are closed only this long before the remaining requests are terminated. A client uses no
/// other pooler while it has a connection, so closing one early fails the requests that it would have
/// carried.
const CLOSING_TIME: Duration = Duration::from_millis(700);
/// After the pooler has begun to close idle connections, late clients are still accepted and served for this
/// long.
const LATE_ARRIVALS: Duration = Duration::from_millis(250);
/// SIGKILL arrives no earlier than after the longest deadline, limited to this, plus a grace.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// The grace between the longest deadline and SIGKILL.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// Requests that are still in flight this long before SIGKILL are terminated.
const KILL_MARGIN: Duration = Duration::from_millis(400);
/// The least time between the exit of the process and SIGKILL, which short deadlines leave.
const MIN_KILL_MARGIN: Duration = Duration::from_millis(50);
/// The time for writing the responses to terminated requests.
const FLUSH_TIME: Duration = Duration::from_millis(150);
/// The interval at which the connected clients are counted.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The time from SIGTERM to each stage of the shutdown.
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
    /// The schedule for clients whose deadlines are no longer than this.
    #[must_use]
    pub fn new(longest_deadline: Duration) -> Self {
        let kill = Self::earliest_kill(longest_deadline);
        // If time is short, accepting late arrivals takes precedence over the margin, and the flush over
        // both.
        let terminating = (kill - KILL_MARGIN).max(ARRIVALS).min(kill - FLUSH_TIME - MIN_KILL_MARGIN);
        let closing_idle = terminating.saturating_sub(CLOSING_TIME).max(ARRIVALS).min(terminating);
        let not_accepting = (closing_idle + LATE_ARRIVALS).min(terminating);
        Self { closing_idle, not_accepting, terminating, terminated: terminating + FLUSH_TIME }
    }

    /// The time from SIGTERM to the earliest SIGKILL.
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

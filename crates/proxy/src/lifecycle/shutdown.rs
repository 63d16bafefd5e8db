//! Graceful shutdown: the pooler keeps serving for as long as possible, then closes client connections as
//! they become idle, and exits once no connection is left or its time has run out.

use crate::lifecycle::stages::ShutdownStages;
use async_io::Timer;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The time after SIGTERM during which nothing changes for clients. New connections arrive for up to 0.4 s
/// after SIGTERM.
const ARRIVAL_PERIOD: Duration = Duration::from_millis(500);
/// The time between the closing of idle connections and the termination of the remaining requests. A client
/// does not use another pooler while it has a connection here, so closing a connection early fails the
/// requests that the connection would have carried.
const IDLE_CLOSING_PERIOD: Duration = Duration::from_millis(700);
/// The time for which new clients are still accepted and served after the pooler has begun to close idle
/// connections.
const LATE_ARRIVAL_PERIOD: Duration = Duration::from_millis(250);
/// The upper limit of the deadline from which the earliest SIGKILL is computed: SIGKILL arrives no earlier
/// than after the longest deadline, limited to this value, plus [`KILL_GRACE`].
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// The time between the longest deadline, within its limit, and SIGKILL.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// How long before SIGKILL the requests that are still in flight are terminated.
const KILL_MARGIN: Duration = Duration::from_millis(400);
/// The minimum time between the exit of the process and SIGKILL, which is reached if deadlines are short.
const MIN_KILL_MARGIN: Duration = Duration::from_millis(50);
/// The time allowed for writing the responses to terminated requests.
const FLUSH_PERIOD: Duration = Duration::from_millis(150);
/// The interval at which the shutdown checks whether clients are still connected.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The time from SIGTERM to the start of each stage of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// Idle client connections are closed from this time on.
    pub closing_idle: Duration,
    /// No more client connections are accepted.
    pub not_accepting: Duration,
    /// Requests in flight are ended with a final response.
    pub terminating: Duration,
    /// The process exits.
    pub terminated: Duration,
}

impl ShutdownSchedule {
    /// The schedule for requests whose deadlines are at most `longest_deadline`.
    #[must_use]
    pub fn new(longest_deadline: Duration) -> Self {
        let kill = Self::earliest_kill(longest_deadline);
        // If time is short, serving clients that arrive takes precedence over the kill margin, and the flush
        // over both.
        let terminating = (kill - KILL_MARGIN).max(ARRIVAL_PERIOD).min(kill - FLUSH_PERIOD - MIN_KILL_MARGIN);
        let closing_idle =
            terminating.saturating_sub(IDLE_CLOSING_PERIOD).max(ARRIVAL_PERIOD).min(terminating);
        let not_accepting = (closing_idle + LATE_ARRIVAL_PERIOD).min(terminating);
        Self { closing_idle, not_accepting, terminating, terminated: terminating + FLUSH_PERIOD }
    }

    /// The time from SIGTERM to the earliest SIGKILL.
    #[must_use]
    pub fn earliest_kill(longest_deadline: Duration) -> Duration {
        longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_GRACE
    }
}

/// Runs the graceful shutdown.
pub(crate) struct Shutdown {
    /// The stages that are set as the shutdown progresses.
    pub(crate) stages: Rc<ShutdownStages>,
    /// Returns the number of open client connections.
    pub(crate) connected_clients: Box<dyn Fn() -> usize>,
    /// The longest deadline of any request class.
    pub(crate) longest_deadline: Duration,
}

impl Shutdown {
    /// Sets the stages one after another as scheduled, the last ones earlier if no client is connected.
    pub(crate) async fn run(self) {
        let started = Instant::now();
        let schedule = ShutdownSchedule::new(self.longest_deadline);
        self.stages.draining.set();
        tracing::info!("draining with {} clients connected", (self.connected_clients)());
        Timer::at(started + schedule.closing_idle).await;
        self.stages.closing_idle.set();
        Timer::at(started + schedule.not_accepting).await;
        self.stages.not_accepting.set();
        self.wait_until_no_clients(started + schedule.terminating).await;
        self.stages.terminating.set();
        self.wait_until_no_clients(started + schedule.terminated).await;
        self.stages.terminated.set();
    }

    /// Waits until no client is connected, at most until `limit`.
    async fn wait_until_no_clients(&self, limit: Instant) {
        while (self.connected_clients)() > 0 && Instant::now() < limit {
            Timer::after(CHECK_INTERVAL).await;
        }
    }
}

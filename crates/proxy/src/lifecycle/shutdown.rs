//! The planned end: the pooler serves on while there is time, then closes clients as they fall idle, and ends when none
//! is left or the time is over.

use crate::client::connection_slots::ConnectionSlots;
use crate::lifecycle::stages::Life;
use async_io::Timer;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Connections keep arriving for up to 0.4 s after SIGTERM; until a little later nothing changes for clients,
const ARRIVALS: Duration = Duration::from_millis(500);
/// and for as long as there is this much time left for what is under way. Who has a connection has no other
/// pooler while it lasts, so to close it early fails what would have been asked on it.
const PARTING: Duration = Duration::from_millis(700);
/// For this long after that a straggler is still accepted, served and closed.
const STRAGGLERS: Duration = Duration::from_millis(250);
/// SIGKILL comes no earlier than the longest deadline, counted as no more than this, and a grace.
const LONGEST_COUNTED: Duration = Duration::from_secs(3);
const KILL_GRACE: Duration = Duration::from_millis(700);
/// What is still open so long before SIGKILL is answered at once.
const MARGIN: Duration = Duration::from_millis(400);
/// Short deadlines leave no more than this between the end of the process and SIGKILL.
const LEAST_MARGIN: Duration = Duration::from_millis(50);
/// The time in which those last answers are written.
const FLUSH: Duration = Duration::from_millis(150);
const LOOK: Duration = Duration::from_millis(10);

/// When each stage of the end begins, counted from SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Idle clients are closed.
    pub closing: Duration,
    /// Nobody is accepted any more.
    pub not_accepting: Duration,
    /// What is open gets its answer.
    pub ending: Duration,
    /// The process ends.
    pub ended: Duration,
}

impl Schedule {
    /// The schedule of a pooler whose clients wait no longer than this.
    #[must_use]
    pub fn new(longest_deadline: Duration) -> Self {
        let kill = Self::earliest_kill(longest_deadline);
        // Accepting goes before the margin, the last answers before accepting.
        let ending = (kill - MARGIN).max(ARRIVALS).min(kill - FLUSH - LEAST_MARGIN);
        let closing = ending.saturating_sub(PARTING).max(ARRIVALS).min(ending);
        let not_accepting = (closing + STRAGGLERS).min(ending);
        Self { closing, not_accepting, ending, ended: ending + FLUSH }
    }

    /// The earliest SIGKILL.
    #[must_use]
    pub fn earliest_kill(longest_deadline: Duration) -> Duration {
        longest_deadline.min(LONGEST_COUNTED) + KILL_GRACE
    }
}

/// Ends the pooler.
pub(crate) struct Shutdown {
    /// How far the pooler's life has come.
    pub(crate) life: Rc<Life>,
    /// The clients' slots: who is still there.
    pub(crate) slots: Rc<ConnectionSlots>,
    /// The longest deadline of any class.
    pub(crate) longest_deadline: Duration,
}

impl Shutdown {
    /// Goes through the stages.
    pub(crate) async fn run(self) {
        let started = Instant::now();
        let schedule = Schedule::new(self.longest_deadline);
        self.life.draining.raise();
        tracing::info!("draining with {} clients connected", self.slots.in_use());
        Timer::at(started + schedule.closing).await;
        self.life.closing.raise();
        Timer::at(started + schedule.not_accepting).await;
        self.life.not_accepting.raise();
        self.clients_left(started + schedule.ending).await;
        self.life.ending.raise();
        self.clients_left(started + schedule.ended).await;
        self.life.ended.raise();
    }

    /// Waits until no client is left, or until then.
    async fn clients_left(&self, limit: Instant) {
        while self.slots.in_use() > 0 && Instant::now() < limit {
            Timer::after(LOOK).await;
        }
    }
}

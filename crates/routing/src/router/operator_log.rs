//! Log lines for the operators, at a limited rate.

use crate::{TimeDelta, Timestamp};

/// The shortest interval between two lines; lines in between are dropped.
const MIN_INTERVAL: TimeDelta = TimeDelta::from_millis(1_000);

/// The line that an event gave rise to, and when the last one was logged.
#[derive(Clone, Debug)]
pub(super) struct OperatorLog {
    pending: Option<String>,
    logged_at: Timestamp,
}

impl Default for OperatorLog {
    fn default() -> Self {
        Self { pending: None, logged_at: Timestamp::DISTANT_PAST }
    }
}

impl OperatorLog {
    /// Sets the line of this event; the last one counts.
    pub(super) fn set(&mut self, line: String) {
        self.pending = Some(line);
    }

    /// The line of this event, unless another one was logged a moment ago.
    pub(super) fn take(&mut self, now: Timestamp) -> Option<String> {
        let line = self.pending.take().filter(|_| now - self.logged_at >= MIN_INTERVAL)?;
        self.logged_at = now;
        Some(line)
    }
}

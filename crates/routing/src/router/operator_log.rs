//! Rate-limited log lines for the operators.

use crate::{TimeDelta, Timestamp};

/// The shortest interval between two log lines. Lines in between are dropped.
const MIN_INTERVAL: TimeDelta = TimeDelta::from_millis(1_000);

/// The log line of the current event, and the time of the last line that was logged.
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
    /// Sets the log line of the current event, replacing any line set before.
    pub(super) fn set(&mut self, line: String) {
        self.pending = Some(line);
    }

    /// Takes the log line of the current event. Returns `None` if there is none, or if it is dropped because
    /// the last line was logged less than [`MIN_INTERVAL`] ago.
    pub(super) fn take(&mut self, now: Timestamp) -> Option<String> {
        let line = self.pending.take().filter(|_| now - self.logged_at >= MIN_INTERVAL)?;
        self.logged_at = now;
        Some(line)
    }
}

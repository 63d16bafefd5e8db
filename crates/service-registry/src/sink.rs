//! Where a registry's reports go.

use pooler_routing::Timestamp;
use pooler_routing::membership::{MergeResult, WatchEvent};
use std::fmt;

/// Receives a registry's watch events, and provides a clock and a log.
pub trait EventSink {
    /// The time, Unix in microseconds, never running backwards.
    fn now(&self) -> Timestamp;
    /// Applies a watch event to the membership.
    fn apply(&self, event: WatchEvent) -> MergeResult;
    /// Logs a line for the operators.
    fn log(&self, line: &dyn fmt::Display);
}

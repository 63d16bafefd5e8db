//! The interface through which the watcher and the registrar reach the pooler.

use pooler_routing::Timestamp;
use pooler_routing::membership::{MergeResult, WatchEvent};
use std::fmt;

/// Receives the watch events of a registry, and provides the clock, the memory and the log of the pooler.
pub trait EventSink {
    /// The current Unix time in microseconds; never decreases.
    fn now(&self) -> Timestamp;
    /// Merges a watch event into the membership and returns the effect.
    fn apply(&self, event: WatchEvent) -> MergeResult;
    /// Changes the memory that is reserved for the digest and for the poll in progress, in bytes. Returns false,
    /// without a change, if there is not enough memory.
    fn reserve_memory(&self, size: usize) -> bool;
    /// Writes one line to the operators' log.
    fn log(&self, line: &dyn fmt::Display);
}

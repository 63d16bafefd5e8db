//! The stages of a graceful shutdown.

use crate::latch::Latch;

/// The stages of a graceful shutdown. Each is set once, in this order.
#[derive(Debug, Default)]
pub struct ShutdownStages {
    /// The shutdown was requested; the pooler keeps serving.
    pub draining: Latch,
    /// Idle client connections are closed.
    pub closing_idle: Latch,
    /// No more client connections are accepted.
    pub not_accepting: Latch,
    /// Requests in flight are ended with a final response.
    pub terminating: Latch,
    /// The process may exit.
    pub terminated: Latch,
}

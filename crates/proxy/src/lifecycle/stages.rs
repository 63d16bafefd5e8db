//! The stages of a graceful shutdown.

use crate::latch::Latch;

/// The stages of a graceful shutdown, set once each and in this order.
#[derive(Debug, Default)]
pub struct ShutdownStages {
    /// Shutdown was requested; the pooler keeps serving.
    pub draining: Latch,
    /// Idle client connections are closed.
    pub closing_idle: Latch,
    /// No client connection is accepted any more.
    pub not_accepting: Latch,
    /// Requests in flight are terminated with a final response.
    pub terminating: Latch,
    /// The process may exit.
    pub terminated: Latch,
}

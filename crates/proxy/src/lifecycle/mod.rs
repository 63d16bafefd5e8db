//! The lifecycle of the process: signal handling, configuration reload and graceful shutdown.

pub(crate) mod reload;
pub mod shutdown;
pub mod signals;
pub mod stages;

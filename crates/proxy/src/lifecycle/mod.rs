//! The lifecycle of the process: signals, reload of the configuration, and graceful shutdown.

pub(crate) mod reload;
pub mod shutdown;
pub mod signals;
pub mod stages;

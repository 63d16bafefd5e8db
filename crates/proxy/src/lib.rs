//! The proxy: executes the router's decisions on sockets. One executor on one thread runs all tasks.
//!
//! - [`client`] accepts connections and reads requests.
//! - [`request`] serves each request by executing the router's commands, received through [`router_handle`].
//! - [`server`] makes the attempts.
//! - [`discovery`] reports endpoint changes to the router.
//! - [`lifecycle`] handles signals, reloads and the shutdown.

mod assembly;
pub mod buffer;
pub mod client;
pub mod clock;
pub mod close_reason;
pub mod config;
pub mod discovery;
pub mod latch;
pub mod lifecycle;
pub mod memory_budget;
pub mod memory_report;
pub mod metrics;
mod pooler;
pub mod protocol;
pub mod request;
pub mod reserved_bytes;
pub mod resource_exhaustion;
pub mod router_handle;
pub mod server;
pub mod socket_budget;
pub mod startup_retry;

pub use assembly::StartError;
pub use pooler::Pooler;

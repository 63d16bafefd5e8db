//! A fake Eureka registry that implements the server side of Eureka's REST API. Several peers share one set
//! of registrations; each peer has its own replication lag and its own injected faults.

mod behavior;
mod encoding;
mod http;
mod peer;
mod registrations;

pub use behavior::ReadBehavior;
pub use peer::{ReceivedRequests, RegistryPeer};
pub use registrations::{ChangedBy, Registration, Registrations};

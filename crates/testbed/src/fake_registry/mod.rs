//! A fake Eureka registry: peers over one set of registrations, each with its own lag and its own way to fail. It does
//! the server's side of the published REST API.

mod behavior;
mod encoding;
mod http;
mod peer;
mod registrations;

pub use behavior::ReadBehavior;
pub use peer::{ReceivedRequests, RegistryPeer};
pub use registrations::{ChangedBy, Registration, Registrations};

//! Endpoints from a service registry that speaks Eureka's REST API.
//!
//! [`eureka`] is the protocol without I/O, [`client`] speaks it over HTTP. [`RegistryWatcher`] polls a registry and
//! applies what it reports to an [`EventSink`]; [`Registrar`] keeps the pooler's own registration.

pub mod client;
mod config;
mod counters;
pub mod eureka;
mod registrar;
mod sink;
mod timer;
mod watcher;

pub use config::{RegistryConfig, SelfRegistration};
pub use counters::RegistryCounters;
pub use registrar::{Registrar, RegistrationState};
pub use sink::EventSink;
pub use watcher::RegistryWatcher;

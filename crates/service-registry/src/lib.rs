//! Endpoint discovery through a service registry that implements Eureka's REST API.
//!
//! [`eureka`] implements the protocol without I/O, [`client`] is the HTTP client. [`RegistryWatcher`] polls a
//! registry and passes its reports to an [`EventSink`]; [`Registrar`] maintains the pooler's registration.

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

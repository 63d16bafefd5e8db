//! The client's side of Eureka's REST API without I/O: response bodies, instances, the claims that they make, when to
//! poll, and when to renew the pooler's own registration.

pub mod body;
pub mod decoder;
pub mod digest;
pub mod instance;
pub mod lease;
pub mod mapping;
pub mod networks;
pub mod poll_schedule;

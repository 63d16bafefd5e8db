//! The client side of Eureka's REST API without I/O: decoding response bodies and instances, mapping
//! instances to endpoint claims, scheduling polls, and scheduling the requests of the pooler's own
//! registration lease.

pub mod body;
pub mod decoder;
pub mod digest;
pub mod instance;
pub mod lease;
pub mod mapping;
pub mod networks;
pub mod poll_schedule;

//! The client side: accepts connections, limits their number, and runs a session on each.

pub mod accept;
pub mod accept_queue;
pub(crate) mod cancellation;
mod commands;
mod connection;
pub mod connection_slots;
pub(crate) mod context;
pub(crate) mod discarding;
mod errors;
pub mod in_doubt_writes;
pub mod open_request_ids;
pub(crate) mod read_ahead;
mod requests;
mod responses;
mod session;
mod startup;

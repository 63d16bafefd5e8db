//! The client side: accepting connections, the sessions on them, and what bounds their number.

pub mod accept;
pub mod connection_slots;
pub mod in_doubt_writes;
pub(crate) mod read_ahead;
mod session;
pub(crate) mod session_keys;

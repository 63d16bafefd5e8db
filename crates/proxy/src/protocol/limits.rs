//! The sizes of values and messages that are accepted.

/// The largest value that a client writes or a server returns, in bytes.
pub const MAX_VALUE_SIZE: usize = 64 * 1024;
/// The largest message accepted from a client, in bytes: a value doubles in size as hex digits in a statement.
pub const MAX_FRONTEND_MESSAGE_SIZE: usize = 2 * MAX_VALUE_SIZE + 4 * 1024;
/// The largest startup message, in bytes; the same limit as PostgreSQL's own.
pub const MAX_STARTUP_MESSAGE_SIZE: usize = 10_000;

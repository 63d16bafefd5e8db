//! Size limits of values and messages.

/// The largest value that a client may write or a server may return, in bytes.
pub const MAX_VALUE_SIZE: usize = 64 * 1024;
/// The largest length of a message accepted from a client, in bytes: a value is twice as large when it is
/// written as hexadecimal digits in a statement.
pub const MAX_FRONTEND_MESSAGE_SIZE: usize = 2 * MAX_VALUE_SIZE + 4 * 1024;
/// The largest startup message, in bytes; the limit is the same as in PostgreSQL.
pub const MAX_STARTUP_MESSAGE_SIZE: usize = 10_000;

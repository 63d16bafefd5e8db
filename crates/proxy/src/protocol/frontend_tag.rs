//! The message type bytes of the messages that a client sends.

/// Bind (extended query protocol).
pub const BIND: u8 = b'B';
/// Close (extended query protocol).
pub const CLOSE: u8 = b'C';
/// CopyData.
pub const COPY_DATA: u8 = b'd';
/// CopyDone.
pub const COPY_DONE: u8 = b'c';
/// CopyFail.
pub const COPY_FAIL: u8 = b'f';
/// Describe (extended query protocol).
pub const DESCRIBE: u8 = b'D';
/// Execute (extended query protocol).
pub const EXECUTE: u8 = b'E';
/// Flush (extended query protocol).
pub const FLUSH: u8 = b'H';
/// FunctionCall.
pub const FUNCTION_CALL: u8 = b'F';
/// Parse (extended query protocol).
pub const PARSE: u8 = b'P';
/// Query (simple query protocol).
pub const QUERY: u8 = b'Q';
/// Sync (extended query protocol).
pub const SYNC: u8 = b'S';
/// Terminate.
pub const TERMINATE: u8 = b'X';

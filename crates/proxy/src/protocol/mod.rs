//! The PostgreSQL frontend/backend protocol, version 3, as far as simple queries need it.
//!
//! Parsers and writers do no I/O: a parsed [`Message`] borrows from the buffer that it was read into. What the
//! operator's protocol calls by names of its own (the keys of a request's comment, the parameters that a server sends
//! beside a response) is mapped to this crate's terms here and nowhere else.

mod backend;
pub mod backend_tag;
mod error;
mod frontend;
pub mod frontend_tag;
mod message;
mod query_skipper;
mod response_parser;
mod server_status;
mod sql_state;
mod statement;
pub mod write;

pub use backend::{
    ErrorResponse, is_ready_for_query, parse_backend_message, parse_data_row, parse_error_response,
    parse_parameter_status,
};
pub use error::ProtocolError;
pub use frontend::{
    BackendKeyData, StartupMessage, parse_frontend_message, parse_query, parse_startup_message,
};
pub use message::{HEADER_SIZE, Message};
pub use query_skipper::QuerySkipper;
pub use response_parser::{ResponseParser, ResponsePart};
pub use server_status::{ServerStatus, parse_load_report};
pub use sql_state::{InvalidSqlState, SqlState};
pub use statement::{RequestComment, StatementKind, classify_statement, first_quoted_literal};

/// The largest value that a client writes or a server returns, in bytes.
pub const MAX_VALUE_SIZE: usize = 64 * 1024;
/// The largest message accepted from a client, in bytes: a value doubles in size as hex digits in a statement.
pub const MAX_FRONTEND_MESSAGE_SIZE: usize = 2 * MAX_VALUE_SIZE + 4 * 1024;
/// The largest startup message, in bytes; the same limit as PostgreSQL's own.
pub const MAX_STARTUP_MESSAGE_SIZE: usize = 10_000;

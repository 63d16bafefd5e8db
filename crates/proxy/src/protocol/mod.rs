//! The subset of the PostgreSQL frontend/backend protocol, version 3, that simple queries require.
//!
//! Parsers and writers do no I/O: a parsed [`Message`] borrows from the buffer that it was read into. The
//! operator-specific names in the protocol (the keys of a request comment, the parameters that a server sends
//! with a response) are mapped to this crate's terms only in this module.

mod backend;
pub mod backend_tag;
mod error;
mod error_field;
mod frontend;
pub mod frontend_tag;
mod limits;
mod message;
mod milliseconds;
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
pub use limits::{MAX_FRONTEND_MESSAGE_SIZE, MAX_STARTUP_MESSAGE_SIZE, MAX_VALUE_SIZE};
pub use message::{HEADER_SIZE, Message};
pub use query_skipper::QuerySkipper;
pub use response_parser::{ResponseParser, ResponsePart};
pub use server_status::{ServerStatus, parse_load_report};
pub use sql_state::{InvalidSqlState, SqlState};
pub use statement::{RequestComment, StatementKind, classify_statement, first_quoted_literal};

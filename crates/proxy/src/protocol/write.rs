//! Encoding of the messages that the pooler itself sends; each function appends to a buffer.

use super::frontend::BackendKeyData;
use super::message::{HEADER_SIZE, LENGTH_SIZE};
use super::sql_state::SqlState;
use super::{backend_tag, error_field, frontend_tag};

/// Protocol version 3.0 as encoded in a StartupMessage.
const PROTOCOL_VERSION: u32 = 3 << 16;
/// The transaction status in ReadyForQuery: not in a transaction.
const TRANSACTION_IDLE: u8 = b'I';
/// The authentication type of AuthenticationOk.
const AUTHENTICATION_OK: u32 = 0;

/// The parameters that are reported to a client when its session starts.
const SESSION_PARAMETERS: [(&str, &str); 6] = [
    ("server_version", "15.0 (linnetdeal)"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// The severity of an ErrorResponse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The query failed; the session continues.
    Error,
    /// The connection is closed after the error.
    Fatal,
}

impl Severity {
    const fn name(self) -> &'static str {
        match self {
            Self::Error => "ERROR",
            Self::Fatal => "FATAL",
        }
    }
}

/// Appends the response to a StartupMessage: AuthenticationOk, the ParameterStatus messages, BackendKeyData
/// and ReadyForQuery.
pub fn session_start(out: &mut Vec<u8>, key: BackendKeyData) {
    append_message(out, backend_tag::AUTHENTICATION, |out| {
        out.extend_from_slice(&AUTHENTICATION_OK.to_be_bytes());
    });
    for (name, value) in SESSION_PARAMETERS {
        parameter_status(out, name, value);
    }
    append_message(out, backend_tag::BACKEND_KEY_DATA, |out| {
        out.extend_from_slice(&key.process_id.to_be_bytes());
        out.extend_from_slice(&key.secret_key.to_be_bytes());
    });
    ready_for_query(out);
}

/// Appends a ParameterStatus.
fn parameter_status(out: &mut Vec<u8>, name: &str, value: &str) {
    append_message(out, backend_tag::PARAMETER_STATUS, |out| {
        append_c_string(out, name.as_bytes());
        append_c_string(out, value.as_bytes());
    });
}

/// Appends a ReadyForQuery with the status "not in a transaction".
pub fn ready_for_query(out: &mut Vec<u8>) {
    append_message(out, backend_tag::READY_FOR_QUERY, |out| out.push(TRANSACTION_IDLE));
}

/// Appends an EmptyQueryResponse.
pub fn empty_query_response(out: &mut Vec<u8>) {
    append_message(out, backend_tag::EMPTY_QUERY_RESPONSE, |_| {});
}

/// Appends a CommandComplete with the command's tag.
pub fn command_complete(out: &mut Vec<u8>, command_tag: &str) {
    append_message(out, backend_tag::COMMAND_COMPLETE, |out| append_c_string(out, command_tag.as_bytes()));
}

/// Appends an ErrorResponse with the severity, the code, the message and, if there is one, the detail.
pub fn error_response(
    out: &mut Vec<u8>,
    severity: Severity,
    sql_state: SqlState,
    message: &str,
    detail: Option<&str>,
) {
    let severity = severity.name().as_bytes();
    let fields = [
        (error_field::SEVERITY, severity),
        (error_field::SEVERITY_NON_LOCALIZED, severity),
        (error_field::CODE, &sql_state.0),
        (error_field::MESSAGE, message.as_bytes()),
    ];
    let detail = detail.map(|detail| (error_field::DETAIL, detail.as_bytes()));
    append_message(out, backend_tag::ERROR_RESPONSE, |out| {
        for (field, value) in fields.into_iter().chain(detail) {
            out.push(field);
            append_c_string(out, value);
        }
        out.push(0);
    });
}

/// Appends the StartupMessage that the pooler sends on a new connection to a server.
pub fn startup_message(out: &mut Vec<u8>, user: &str, database: &str) {
    append_with_length(out, |out| {
        out.extend_from_slice(&PROTOCOL_VERSION.to_be_bytes());
        for word in ["user", user, "database", database] {
            append_c_string(out, word.as_bytes());
        }
        out.push(0);
    });
}

/// Appends a Query with this statement.
pub fn query(out: &mut Vec<u8>, statement: &str) {
    append_message(out, frontend_tag::QUERY, |out| append_c_string(out, statement.as_bytes()));
}

/// The header of a Query whose statement is written separately; `statement_size` is in bytes and includes the
/// zero terminator.
#[must_use]
pub fn query_header(statement_size: usize) -> [u8; HEADER_SIZE] {
    let length = u32::try_from(statement_size + LENGTH_SIZE).unwrap_or(u32::MAX);
    let [a, b, c, d] = length.to_be_bytes();
    [frontend_tag::QUERY, a, b, c, d]
}

/// Appends a message with this tag and the body that `append_body` writes.
fn append_message(out: &mut Vec<u8>, tag: u8, append_body: impl FnOnce(&mut Vec<u8>)) {
    out.push(tag);
    append_with_length(out, append_body);
}

/// Appends a length word and the body that `append_body` writes; the length includes its own word.
fn append_with_length(out: &mut Vec<u8>, append_body: impl FnOnce(&mut Vec<u8>)) {
    let start = out.len();
    out.extend_from_slice(&[0; LENGTH_SIZE]);
    append_body(out);
    let length = u32::try_from(out.len() - start).unwrap_or(u32::MAX);
    out[start..start + LENGTH_SIZE].copy_from_slice(&length.to_be_bytes());
}

/// Appends a zero-terminated string; zero bytes in `string` are dropped.
fn append_c_string(out: &mut Vec<u8>, string: &[u8]) {
    out.extend(string.iter().filter(|byte| **byte != 0));
    out.push(0);
}

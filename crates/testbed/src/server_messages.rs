//! The messages that the fake servers write in the PostgreSQL protocol.

use pooler_proxy::protocol::{BackendKeyData, SqlState, write};

/// The BackendKeyData of every connection; the fake servers process no cancel requests.
const SERVER_KEY: BackendKeyData = BackendKeyData { process_id: 1, secret_key: 1 };

/// The state that a server reports with each response.
#[derive(Clone, Copy, Debug)]
pub struct ReportedState {
    /// Whether the server is the primary.
    pub is_primary: bool,
    /// The position up to which the server has applied the log, in Unix milliseconds.
    pub position_ms: i64,
}

fn push_message(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend_from_slice(&u32::try_from(body.len() + 4).unwrap_or(0).to_be_bytes());
    out.extend_from_slice(body);
}

/// Appends ParameterStatus messages with a server's role and position.
fn push_parameter_status(out: &mut Vec<u8>, state: ReportedState) {
    let role = if state.is_primary { "master" } else { "replica" };
    for (name, value) in [("part", role), ("caught_up_to", &state.position_ms.to_string())] {
        push_message(out, b'S', format!("{name}\0{value}\0").as_bytes());
    }
}

/// Appends a response with one value, without its ReadyForQuery.
pub fn push_row(out: &mut Vec<u8>, value: &[u8], state: ReportedState) {
    push_message(out, b'T', b"\0\x01content\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01");
    let mut row = vec![0, 1];
    row.extend_from_slice(&u32::try_from(value.len()).unwrap_or(0).to_be_bytes());
    row.extend_from_slice(value);
    push_message(out, b'D', &row);
    write::command_complete(out, "SELECT 1");
    push_parameter_status(out, state);
}

/// Appends a complete response with one value.
pub fn push_row_response(out: &mut Vec<u8>, value: &[u8], state: ReportedState) {
    push_row(out, value, state);
    write::ready_for_query(out);
}

/// Appends a complete error response, ReadyForQuery included.
pub fn push_error_response(out: &mut Vec<u8>, sql_state: SqlState, message: &str, state: ReportedState) {
    write::error_response(out, write::Severity::Error, sql_state, message, None);
    push_parameter_status(out, state);
    write::ready_for_query(out);
}

/// Appends the messages with which a server answers a startup message.
pub fn push_session_start(out: &mut Vec<u8>) {
    write::session_start(out, SERVER_KEY);
}

/// Appends the complete response to an empty query.
pub fn push_empty_response(out: &mut Vec<u8>) {
    write::empty_query_response(out);
    write::ready_for_query(out);
}

/// Appends the complete response to a health check: the position in seconds, and whether the server accepts
/// writes.
pub fn push_load_report(out: &mut Vec<u8>, accepts_writes: bool, state: ReportedState) {
    let seconds = state.position_ms as f64 / 1_000.0;
    let report = format!("x0={seconds:.3},x1={}", u8::from(accepts_writes));
    push_row_response(out, report.as_bytes(), state);
}

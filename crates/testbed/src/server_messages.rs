//! What a fake server writes in PostgreSQL's protocol.

use pooler_proxy::protocol::{BackendKeyData, SqlState, write};

/// The key of every connection; nobody cancels with it.
const SERVER_KEY: BackendKeyData = BackendKeyData { process_id: 1, secret_key: 1 };

/// The state of a server as it reports it beside each response.
#[derive(Clone, Copy, Debug)]
pub struct ReportedState {
    /// Whether it is the primary.
    pub is_primary: bool,
    /// Up to where it has applied the log, in Unix milliseconds.
    pub position_ms: i64,
}

fn push_message(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend_from_slice(&u32::try_from(body.len() + 4).unwrap_or(0).to_be_bytes());
    out.extend_from_slice(body);
}

/// ParameterStatus messages with a server's role and position.
fn push_state(out: &mut Vec<u8>, state: ReportedState) {
    let role = if state.is_primary { "master" } else { "replica" };
    for (name, value) in [("part", role), ("caught_up_to", &state.position_ms.to_string())] {
        push_message(out, b'S', format!("{name}\0{value}\0").as_bytes());
    }
}

/// A response with one value, but for ReadyForQuery.
pub fn push_row(out: &mut Vec<u8>, value: &[u8], state: ReportedState) {
    push_message(out, b'T', b"\0\x01content\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01");
    let mut row = vec![0, 1];
    row.extend_from_slice(&u32::try_from(value.len()).unwrap_or(0).to_be_bytes());
    row.extend_from_slice(value);
    push_message(out, b'D', &row);
    write::command_complete(out, "SELECT 1");
    push_state(out, state);
}

/// A whole response with one value.
pub fn push_row_response(out: &mut Vec<u8>, value: &[u8], state: ReportedState) {
    push_row(out, value, state);
    write::ready_for_query(out);
}

/// A whole error response.
pub fn push_error_response(out: &mut Vec<u8>, sql_state: SqlState, message: &str, state: ReportedState) {
    write::error_response(out, write::Severity::Error, sql_state, message, None);
    push_state(out, state);
    write::ready_for_query(out);
}

/// What a server writes once it has accepted a connection.
pub fn push_welcome(out: &mut Vec<u8>) {
    write::session_start(out, SERVER_KEY);
}

/// The whole response to an empty query.
pub fn push_empty_response(out: &mut Vec<u8>) {
    write::empty_query_response(out);
    write::ready_for_query(out);
}

/// The whole response to a health check: the position in seconds, and whether the server takes writes.
pub fn push_load_report(out: &mut Vec<u8>, takes_writes: bool, state: ReportedState) {
    let seconds = state.position_ms as f64 / 1_000.0;
    let report = format!("x0={seconds:.3},x1={}", u8::from(takes_writes));
    push_row_response(out, report.as_bytes(), state);
}

//! Parsing of the messages that a client sends.

use super::error::ProtocolError;
use super::limits::{MAX_FRONTEND_MESSAGE_SIZE, MAX_STARTUP_MESSAGE_SIZE};
use super::message::{self, LENGTH_SIZE, Message};

/// The only major protocol version that is supported.
const PROTOCOL_MAJOR_VERSION: u16 = 3;
/// The value in place of the major version that marks the minor version as a request code.
const REQUEST_CODE_MARKER: u16 = 1234;
const CANCEL_REQUEST_CODE: u16 = 5678;
const SSL_REQUEST_CODE: u16 = 5679;
const GSSENC_REQUEST_CODE: u16 = 5680;

/// The cancellation key of a session: the server sends it in BackendKeyData, and the client repeats it in a
/// CancelRequest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BackendKeyData {
    /// Identifies the session.
    pub process_id: u32,
    /// The secret that is known only to the session's client and the server.
    pub secret_key: u32,
}

/// The first message of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartupMessage {
    /// SSLRequest or GSSENCRequest: answered with one byte; the client then sends another startup message.
    EncryptionRequest,
    /// CancelRequest: cancels the query in flight of the session with this key; there is no response.
    CancelRequest(BackendKeyData),
    /// StartupMessage: starts a session.
    SessionStart,
}

/// Parses the client message at the start of `data`; `None` while the message is incomplete.
///
/// # Errors
///
/// When the length is smaller than its own word or exceeds [`MAX_FRONTEND_MESSAGE_SIZE`].
pub fn parse_frontend_message(data: &[u8]) -> Result<Option<Message<'_>>, ProtocolError> {
    message::parse_message(data, MAX_FRONTEND_MESSAGE_SIZE)
}

/// Parses the startup message at the start of `data`; also returns its size in bytes. `None` while the
/// message is incomplete.
///
/// # Errors
///
/// When the length is out of range, the protocol version is not supported, or the body is malformed.
pub fn parse_startup_message(data: &[u8]) -> Result<Option<(StartupMessage, usize)>, ProtocolError> {
    let Some(size) = message::parse_length(data, MAX_STARTUP_MESSAGE_SIZE)? else { return Ok(None) };
    let Some(body) = data.get(LENGTH_SIZE..size) else { return Ok(None) };
    let Some(&[a, b, c, d]) = body.first_chunk::<4>() else {
        return Err(ProtocolError::Malformed("startup message"));
    };
    let startup = match (u16::from_be_bytes([a, b]), u16::from_be_bytes([c, d])) {
        (REQUEST_CODE_MARKER, CANCEL_REQUEST_CODE) => {
            StartupMessage::CancelRequest(parse_cancel_request(body)?)
        }
        (REQUEST_CODE_MARKER, SSL_REQUEST_CODE | GSSENC_REQUEST_CODE) => StartupMessage::EncryptionRequest,
        (PROTOCOL_MAJOR_VERSION, _) => StartupMessage::SessionStart,
        (major, minor) => return Err(ProtocolError::UnsupportedVersion { major, minor }),
    };
    Ok(Some((startup, size)))
}

/// Parses the body of a CancelRequest, request code included.
fn parse_cancel_request(body: &[u8]) -> Result<BackendKeyData, ProtocolError> {
    let &[_, _, _, _, p, q, r, s, t, u, v, w] = body else {
        return Err(ProtocolError::Malformed("cancel request"));
    };
    Ok(BackendKeyData {
        process_id: u32::from_be_bytes([p, q, r, s]),
        secret_key: u32::from_be_bytes([t, u, v, w]),
    })
}

/// Parses the body of a Query and returns its statement.
///
/// # Errors
///
/// When the body is not a single zero-terminated UTF-8 string.
pub fn parse_query(body: &[u8]) -> Result<&str, ProtocolError> {
    message::parse_c_string(body, "query")
}

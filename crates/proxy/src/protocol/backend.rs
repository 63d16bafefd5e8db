//! Parsing of the messages that a server sends.

use super::error::ProtocolError;
use super::limits::MAX_VALUE_SIZE;
use super::message::{self, HEADER_SIZE, LENGTH_SIZE, Message};
use super::sql_state::SqlState;
use super::{backend_tag, error_field};

/// The largest length of an ErrorResponse, NoticeResponse or NotificationResponse, in bytes.
const MAX_NOTICE_LENGTH: usize = 8 * 1024;
/// The largest length of a ParameterStatus or RowDescription, in bytes.
const MAX_DESCRIPTION_LENGTH: usize = 1_024;
/// The largest length of an authentication message, BackendKeyData or CommandComplete, in bytes.
const MAX_STATUS_LENGTH: usize = 256;

/// The column count of a row with one column, as encoded in the message.
const ONE_COLUMN: [u8; 2] = [0, 1];
/// The part of a DataRow's length that is not the value of its only column, in bytes: the message length, the
/// column count and the value length.
const DATA_ROW_OVERHEAD: usize = LENGTH_SIZE + ONE_COLUMN.len() + 4;
/// The size of a column's description in a RowDescription without the column's name, in bytes.
const COLUMN_DESCRIPTION_SIZE: usize = 18;
/// The value length that denotes NULL in a DataRow.
const NULL_LENGTH: i32 = -1;

/// The fields of an ErrorResponse that determine how the query and its connection are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// The SQLSTATE code of the error.
    pub sql_state: SqlState,
    /// Whether the server closes the connection after the error.
    pub fatal: bool,
}

/// Parses the server message at the start of `data`; `None` while the message is incomplete. A message that
/// can't be part of a response is rejected by its header, before its body has arrived.
///
/// # Errors
///
/// When the message is of a type that no server sends to the pooler, or its length is invalid or exceeds the
/// limit of its type.
pub fn parse_backend_message(data: &[u8]) -> Result<Option<Message<'_>>, ProtocolError> {
    let Some(&tag) = data.first() else { return Ok(None) };
    let max_length = match tag {
        backend_tag::DATA_ROW => MAX_VALUE_SIZE + DATA_ROW_OVERHEAD,
        backend_tag::ERROR_RESPONSE | backend_tag::NOTICE_RESPONSE | backend_tag::NOTIFICATION_RESPONSE => {
            MAX_NOTICE_LENGTH
        }
        backend_tag::PARAMETER_STATUS | backend_tag::ROW_DESCRIPTION => MAX_DESCRIPTION_LENGTH,
        backend_tag::AUTHENTICATION | backend_tag::BACKEND_KEY_DATA | backend_tag::COMMAND_COMPLETE => {
            MAX_STATUS_LENGTH
        }
        backend_tag::READY_FOR_QUERY => HEADER_SIZE,
        backend_tag::EMPTY_QUERY_RESPONSE => LENGTH_SIZE,
        _ => return Err(ProtocolError::Malformed("message type")),
    };
    message::parse_message(data, max_length)
}

/// Parses the body of an ErrorResponse.
///
/// # Errors
///
/// When a field is not zero-terminated, or there is no SQLSTATE code of five bytes.
pub fn parse_error_response(body: &[u8]) -> Result<ErrorResponse, ProtocolError> {
    let malformed = ProtocolError::Malformed("error fields");
    let mut sql_state = None;
    let mut fatal = false;
    let mut rest = body;
    while let Some((&field, after)) = rest.split_first().filter(|(field, _)| **field != 0) {
        let end = after.iter().position(|byte| *byte == 0).ok_or(malformed)?;
        match (field, &after[..end]) {
            (error_field::CODE, code) => sql_state = SqlState::try_from(code).ok(),
            (error_field::SEVERITY | error_field::SEVERITY_NON_LOCALIZED, b"FATAL" | b"PANIC") => {
                fatal = true;
            }
            _ => {}
        }
        rest = &after[end + 1..];
    }
    let sql_state = sql_state.ok_or(malformed)?;
    Ok(ErrorResponse { sql_state, fatal })
}

/// Parses the body of a ParameterStatus into the parameter's name and value.
///
/// # Errors
///
/// When the body is not exactly two zero-terminated UTF-8 strings.
pub fn parse_parameter_status(body: &[u8]) -> Result<(&str, &str), ProtocolError> {
    let (name, rest) = message::split_c_string(body, "parameter")?;
    let value = message::parse_c_string(rest, "parameter")?;
    Ok((name, value))
}

/// Parses the body of a DataRow with one column and returns the column's value; `None` for NULL.
///
/// # Errors
///
/// When the body is not a row of exactly one column.
pub fn parse_data_row(body: &[u8]) -> Result<Option<&[u8]>, ProtocolError> {
    let malformed = ProtocolError::Malformed("row");
    let Some((&ONE_COLUMN, rest)) = body.split_first_chunk::<2>() else { return Err(malformed) };
    let Some((length, value)) = rest.split_first_chunk::<4>() else { return Err(malformed) };
    match i32::from_be_bytes(*length) {
        NULL_LENGTH if value.is_empty() => Ok(None),
        length if usize::try_from(length) == Ok(value.len()) => Ok(Some(value)),
        _ => Err(malformed),
    }
}

/// Whether `body` is a valid body of a ReadyForQuery: one byte with the transaction status.
#[must_use]
pub fn is_ready_for_query(body: &[u8]) -> bool {
    matches!(body, [b'I' | b'T' | b'E'])
}

/// Whether `body` is a valid body of a RowDescription of one column.
pub(super) fn is_single_column_description(body: &[u8]) -> bool {
    let Some((&ONE_COLUMN, rest)) = body.split_first_chunk::<2>() else { return false };
    message::split_c_string(rest, "column").is_ok_and(|(_, rest)| rest.len() == COLUMN_DESCRIPTION_SIZE)
}

/// Whether `body` is a valid body of a CommandComplete: a command tag of printable ASCII characters.
pub(super) fn is_command_complete(body: &[u8]) -> bool {
    let is_printable = |byte: u8| byte == b' ' || byte.is_ascii_graphic();
    message::parse_c_string(body, "tag").is_ok_and(|tag| !tag.is_empty() && tag.bytes().all(is_printable))
}

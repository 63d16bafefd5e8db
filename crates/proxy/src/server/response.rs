//! Reads a server's response to one query, up to and including ReadyForQuery.

use super::attempt::AttemptError;
use super::connection::Connection;
use super::sqlstate::statement_error_outcome;
use crate::protocol::{
    MAX_VALUE_SIZE, ProtocolError, ResponseParser, ResponsePart, ServerStatus, backend_tag,
    parse_backend_message,
};
use pooler_routing::AttemptOutcome;
use std::ops::Range;

/// The maximum size in bytes of a response, including notices.
const MAX_RESPONSE_SIZE: usize = 2 * MAX_VALUE_SIZE;

/// A response that was read up to ReadyForQuery, or until the server closed the connection. Its bytes are
/// still in the connection's buffer, to which all ranges refer.
pub(super) struct ServerResponse {
    /// The outcome of the attempt, as derived from the response.
    pub(super) outcome: AttemptOutcome,
    /// The state that the server reported along with the response.
    pub(super) server_status: ServerStatus,
    /// The messages to forward to the client.
    pub(super) messages: Vec<Range<usize>>,
    /// The value of the single column in the response's row.
    pub(super) value: Option<Range<usize>>,
    /// The size in bytes of all messages that were read.
    pub(super) size: usize,
    /// Whether ReadyForQuery was read, so that the connection can carry another query.
    pub(super) ready_for_query: bool,
}

/// Reads one response. A response that was complete when the connection was closed is accepted. After a
/// malformed or missing response, the query may have run.
///
/// # Errors
///
/// Fails if the connection is closed before the response is complete, or the server violates the protocol.
pub(super) async fn read(connection: &mut Connection) -> Result<ServerResponse, AttemptError> {
    let mut reader = ResponseReader::default();
    while !reader.read_buffered(connection.unread())? {
        // A larger response violates the protocol and must not exhaust the memory.
        if connection.unread().len() > MAX_RESPONSE_SIZE {
            return Err(AttemptError::ConnectionLost);
        }
        match connection.fill().await {
            Ok(1..) => {}
            Ok(0) | Err(_) if reader.parser.is_complete() => break,
            _ => return Err(AttemptError::ConnectionLost),
        }
    }
    Ok(reader.into_response())
}

/// The part of a response that has been read so far.
#[derive(Default)]
struct ResponseReader {
    parser: ResponseParser,
    messages: Vec<Range<usize>>,
    value: Option<Range<usize>>,
    /// The size in bytes of the messages that have been read.
    position: usize,
    ready_for_query: bool,
}

impl ResponseReader {
    /// Reads the complete messages in `data` from the current position on. Returns true at the end of the
    /// response.
    fn read_buffered(&mut self, data: &[u8]) -> Result<bool, ProtocolError> {
        while let Some(message) = parse_backend_message(&data[self.position..])? {
            let range = self.position..self.position + message.size;
            self.position = range.end;
            match self.parser.accept(&message)? {
                ResponsePart::Forward { value_size } => {
                    if message.tag == backend_tag::DATA_ROW {
                        self.value = Some(range.end - value_size..range.end);
                    }
                    self.add_message(range);
                }
                ResponsePart::Ignore => {}
                ResponsePart::Fatal => return Ok(true),
                ResponsePart::Ready => {
                    self.ready_for_query = true;
                    return Ok(true);
                }
            }
        }
        Ok(false)
    }

    /// Adds a message to those that are forwarded; adjacent messages share a range.
    fn add_message(&mut self, range: Range<usize>) {
        match self.messages.last_mut().filter(|last| last.end == range.start) {
            Some(last) => last.end = range.end,
            None => self.messages.push(range),
        }
    }

    fn into_response(self) -> ServerResponse {
        ServerResponse {
            outcome: self.parser.error_code().map_or(AttemptOutcome::Ok, statement_error_outcome),
            server_status: self.parser.into_server_status(),
            messages: self.messages,
            value: self.value,
            size: self.position,
            ready_for_query: self.ready_for_query,
        }
    }
}

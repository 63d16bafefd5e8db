//! Takes a client's command out of the read buffer and classifies it.

use crate::buffer::ReadBuffer;
use crate::client::context::ClientContext;
use crate::client::errors::ErrorReply;
use crate::client::requests::{BufferedRequest, RoutableRequest};
use crate::protocol::{
    HEADER_SIZE, ProtocolError, StatementKind, classify_statement, frontend_tag, parse_query,
};

/// A classified command of a client.
pub(super) enum Command<'a> {
    /// A request to route.
    Request(RoutableRequest<'a>),
    /// An empty query.
    EmptyQuery,
    /// A command that changes only the session's own state, which has no effect in the pooler; the command
    /// tag of the response.
    SessionSetting(&'static str),
    /// Sync, which ends the skipping of messages after an error in the extended query protocol.
    Sync,
    /// A copy message; no copy is ever in progress, so the message gets no response.
    Ignored,
    /// A command that is not served; the error that the client receives.
    Rejected(ErrorReply),
    /// Terminate: the client ends the session.
    Terminate,
}

/// Takes the complete command with this tag, of `size` bytes, from the start of the buffer.
///
/// # Errors
///
/// When the command violates the protocol. The stream can't be parsed any further after it.
pub(super) fn take_command<'a>(
    context: &'a ClientContext,
    buffer: &mut ReadBuffer,
    tag: u8,
    size: usize,
) -> Result<Command<'a>, ProtocolError> {
    let command = match tag {
        frontend_tag::QUERY => return take_query(context, buffer, size),
        frontend_tag::TERMINATE => return Ok(Command::Terminate),
        frontend_tag::SYNC => Command::Sync,
        frontend_tag::PARSE
        | frontend_tag::BIND
        | frontend_tag::EXECUTE
        | frontend_tag::DESCRIBE
        | frontend_tag::CLOSE
        | frontend_tag::FLUSH
        | frontend_tag::FUNCTION_CALL => Command::Rejected(ErrorReply::OnlySimpleQueries),
        frontend_tag::COPY_DATA | frontend_tag::COPY_DONE | frontend_tag::COPY_FAIL => Command::Ignored,
        _ => return Err(ProtocolError::Malformed("message type")),
    };
    buffer.consume(size);
    Ok(command)
}

fn take_query<'a>(
    context: &'a ClientContext,
    buffer: &mut ReadBuffer,
    size: usize,
) -> Result<Command<'a>, ProtocolError> {
    let statement = parse_query(&buffer.data()[HEADER_SIZE..size])?;
    let command = match classify_statement(statement) {
        Ok(StatementKind::Request(comment)) => {
            let arrival_time = buffer.arrival_time(size);
            match BufferedRequest::new(context, statement, &comment, arrival_time) {
                Ok(request) => return Ok(Command::Request(request.take_statement(buffer, size))),
                Err(error) => Command::Rejected(error),
            }
        }
        Ok(StatementKind::Empty) => Command::EmptyQuery,
        Ok(StatementKind::SessionCommand(command_tag)) => Command::SessionSetting(command_tag),
        Ok(StatementKind::Unsupported) => Command::Rejected(ErrorReply::NotARequest),
        Err(error) => Command::Rejected(ErrorReply::MalformedRequest(error)),
    };
    buffer.consume(size);
    Ok(command)
}

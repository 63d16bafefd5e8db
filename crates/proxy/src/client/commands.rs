//! Taking a command out of the buffer, and telling what it asks for.

use crate::buffer::ReadBuffer;
use crate::client::context::ClientContext;
use crate::client::errors::ErrorReply;
use crate::client::requests::{RoutedRequest, UnsentRequest};
use crate::protocol::{
    HEADER_SIZE, ProtocolError, StatementKind, classify_statement, frontend_tag, parse_query,
};

/// A command of a client.
pub(super) enum Command<'a> {
    /// A request to route.
    Request(RoutedRequest<'a>),
    /// An empty query.
    EmptyQuery,
    /// A change of the session's own state, which has no effect; its command tag.
    SessionSetting(&'static str),
    /// Sync.
    Sync,
    /// A part of a copy that was never begun, which gets no response.
    Ignored,
    /// A command that is not served.
    Rejected(ErrorReply),
    /// The end of the session.
    Terminate,
}

/// Takes the complete command with this tag, of `size` bytes, at the front of the buffer.
///
/// # Errors
///
/// When it violates the protocol, after which the stream can't be followed any further.
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
            if let Some(request) = UnsentRequest::new(context, statement, &comment, arrival_time) {
                return Ok(Command::Request(request.take_statement(buffer, size)));
            }
            Command::Rejected(ErrorReply::UnknownClassOrIdInUse)
        }
        Ok(StatementKind::Empty) => Command::EmptyQuery,
        Ok(StatementKind::SessionCommand(command_tag)) => Command::SessionSetting(command_tag),
        Ok(StatementKind::Unsupported) => Command::Rejected(ErrorReply::NotARequest),
        Err(error) => Command::Rejected(ErrorReply::MalformedRequest(error)),
    };
    buffer.consume(size);
    Ok(command)
}

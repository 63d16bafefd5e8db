//! Validation of the response to one simple query, message by message.

use super::backend::{
    ErrorResponse, is_command_complete, is_ready_for_query, is_single_column_description, parse_data_row,
    parse_error_response, parse_parameter_status,
};
use super::backend_tag;
use super::error::ProtocolError;
use super::message::Message;
use super::server_status::ServerStatus;
use super::sql_state::SqlState;

/// The parser of one response. A response is either RowDescription of one column, one DataRow and
/// CommandComplete, or an ErrorResponse; ReadyForQuery ends both. Any other sequence of messages is an error,
/// and such a response is discarded as a whole.
#[derive(Clone, Debug, Default)]
pub struct ResponseParser {
    state: ResponseState,
    server_status: ServerStatus,
}

/// The last message that was accepted as a part of the value or the error.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ResponseState {
    #[default]
    Start,
    RowDescription,
    DataRow,
    CommandComplete,
    Error(ErrorResponse),
}

/// The role of a message in its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// The message is forwarded to the client.
    Forward {
        /// The size of the row's value at the end of the message, in bytes; 0 in messages other than DataRow.
        value_size: usize,
    },
    /// The message is not forwarded.
    Ignore,
    /// The server closes the connection after the message.
    Fatal,
    /// The response is complete, and the connection is ready for the next query.
    Ready,
}

impl ResponseParser {
    /// Validates the next message of the response.
    ///
    /// # Errors
    ///
    /// When the message is malformed or not allowed at this point; the response is then invalid.
    pub fn accept(&mut self, message: &Message<'_>) -> Result<ResponsePart, ProtocolError> {
        let body = message.body;
        match (self.state, message.tag) {
            (ResponseState::Start, backend_tag::ROW_DESCRIPTION) if is_single_column_description(body) => {
                self.state = ResponseState::RowDescription;
                Ok(ResponsePart::Forward { value_size: 0 })
            }
            (ResponseState::RowDescription, backend_tag::DATA_ROW) => {
                let value = parse_data_row(body)?.ok_or(ProtocolError::Malformed("row"))?;
                self.state = ResponseState::DataRow;
                Ok(ResponsePart::Forward { value_size: value.len() })
            }
            (ResponseState::DataRow, backend_tag::COMMAND_COMPLETE) if is_command_complete(body) => {
                self.state = ResponseState::CommandComplete;
                Ok(ResponsePart::Forward { value_size: 0 })
            }
            (ResponseState::Start, backend_tag::ERROR_RESPONSE) => {
                let error = parse_error_response(body)?;
                self.state = ResponseState::Error(error);
                Ok(if error.fatal { ResponsePart::Fatal } else { ResponsePart::Ignore })
            }
            (ResponseState::CommandComplete | ResponseState::Error(_), backend_tag::READY_FOR_QUERY)
                if is_ready_for_query(body) =>
            {
                Ok(ResponsePart::Ready)
            }
            (_, backend_tag::PARAMETER_STATUS) => {
                let (name, value) = parse_parameter_status(body)?;
                self.server_status.set_parameter(name, value);
                Ok(ResponsePart::Ignore)
            }
            (_, backend_tag::NOTICE_RESPONSE | backend_tag::NOTIFICATION_RESPONSE) => {
                Ok(ResponsePart::Ignore)
            }
            _ => Err(ProtocolError::Malformed("answer")),
        }
    }

    /// Whether the value or the error is complete; ReadyForQuery may still be outstanding.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        matches!(self.state, ResponseState::CommandComplete | ResponseState::Error(_))
    }

    /// The SQLSTATE code of an error response; `None` for a value or an incomplete response.
    #[must_use]
    pub fn error_code(&self) -> Option<SqlState> {
        match self.state {
            ResponseState::Error(error) => Some(error.sql_state),
            _ => None,
        }
    }

    /// The status that the server reported in ParameterStatus messages during the response.
    #[must_use]
    pub fn into_server_status(self) -> ServerStatus {
        self.server_status
    }
}

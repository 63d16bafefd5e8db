//! The response to one simple query, checked message by message.

use super::backend::{
    ErrorResponse, describes_one_column, is_command_complete, is_ready_for_query, parse_data_row,
    parse_error_response, parse_parameter_status,
};
use super::backend_tag;
use super::error::ProtocolError;
use super::message::Message;
use super::server_status::ServerStatus;
use super::sql_state::SqlState;

/// The state of one response: RowDescription of one column, one DataRow and CommandComplete, or an ErrorResponse;
/// ReadyForQuery ends both. Any other sequence is an error, and nothing of such a response counts.
#[derive(Clone, Debug, Default)]
pub struct ResponseParser {
    state: ResponseState,
    server_status: ServerStatus,
}

/// The last message of the response that was accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ResponseState {
    #[default]
    Start,
    RowDescription,
    DataRow,
    CommandComplete,
    Error(ErrorResponse),
}

/// What a message means for the response that it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// The message is forwarded to the client.
    Forward {
        /// The size of the row's value, which ends the message; 0 in messages other than DataRow.
        value_size: usize,
    },
    /// The message is not forwarded.
    Ignore,
    /// The server closes the connection after the message.
    Fatal,
    /// The response has ended.
    Ready,
}

impl ResponseParser {
    /// Accepts the next message.
    ///
    /// # Errors
    ///
    /// When the message may not come at this point or is malformed; the response is invalid then.
    pub fn accept(&mut self, message: &Message<'_>) -> Result<ResponsePart, ProtocolError> {
        let body = message.body;
        match (self.state, message.tag) {
            (ResponseState::Start, backend_tag::ROW_DESCRIPTION) if describes_one_column(body) => {
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

    /// Whether the value, or the error, has arrived completely.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        matches!(self.state, ResponseState::CommandComplete | ResponseState::Error(_))
    }

    /// The code of the error that the response is; `None` for a value.
    #[must_use]
    pub fn error_code(&self) -> Option<SqlState> {
        match self.state {
            ResponseState::Error(error) => Some(error.sql_state),
            _ => None,
        }
    }

    /// What the server reported of itself beside the response.
    #[must_use]
    pub fn into_server_status(self) -> ServerStatus {
        self.server_status
    }
}

//! Errors that end a client's connection, and errors that clients receive.

use crate::close_reason::CloseReason;
use crate::protocol::write::{self, Severity};
use crate::protocol::{ProtocolError, SqlState};
use pooler_routing::TimeDelta;
use std::io;

const MICROS_PER_MILLI: u64 = 1_000;

/// An error that ends a client's connection.
#[derive(Debug, thiserror::Error)]
pub(super) enum ClientError {
    /// Reading from or writing to the connection failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The client violated the protocol.
    #[error("{0}")]
    Protocol(#[from] ProtocolError),
    /// The client did not read a response within the time limit, or while its memory was needed for others.
    #[error("the client did not read a response in time")]
    WriteTimedOut,
    /// There is no memory for the rest of a command, or the memory of its first part is needed for others.
    #[error("no memory for the command")]
    OutOfMemory,
    /// No connection slot is free for the client.
    #[error("no connection slot is free")]
    NoSlot,
    /// The client sent too many commands that were rejected; holds the error of the last one.
    #[error("too many rejected commands: {0}")]
    TooManyRejections(ErrorReply),
}

impl ClientError {
    /// The reason for which the connection is closed.
    pub(super) fn close_reason(&self) -> CloseReason {
        match self {
            Self::Io(_) => CloseReason::ConnectionError,
            Self::Protocol(_) => CloseReason::ProtocolViolation,
            Self::WriteTimedOut => CloseReason::UnreadResponse,
            Self::OutOfMemory => CloseReason::OutOfMemory,
            Self::NoSlot => CloseReason::NoSlot,
            Self::TooManyRejections(_) => CloseReason::TooManyRejections,
        }
    }

    /// The fatal error that the client receives; `None` if the connection can't be used any further. `retry_after`
    /// is the time after which a client that lacked memory or a slot should retry.
    pub(super) fn reply(&self, retry_after: Option<TimeDelta>) -> Option<ErrorReply> {
        match self {
            Self::Io(_) | Self::WriteTimedOut => None,
            Self::Protocol(error) => Some(ErrorReply::ProtocolViolation(*error)),
            Self::OutOfMemory => Some(ErrorReply::OutOfMemory { retry_after }),
            Self::NoSlot => Some(ErrorReply::TooManyClients { retry_after }),
            Self::TooManyRejections(reply) => Some(*reply),
        }
    }
}

/// An error that a client receives in an ErrorResponse.
#[derive(Clone, Copy, Debug, thiserror::Error)]
pub(super) enum ErrorReply {
    /// No connection slot is free for the client.
    #[error("too many clients")]
    TooManyClients {
        /// The time after which the client should retry; `None` if the client is given none.
        retry_after: Option<TimeDelta>,
    },
    /// The pooler closes the connection while a command is incomplete.
    #[error("the connection ends before the command was read")]
    ConnectionClosing,
    /// There is no memory for the rest of a command.
    #[error("out of memory for the command, which has not run")]
    OutOfMemory {
        /// The time after which the client should retry; `None` if the client is given none.
        retry_after: Option<TimeDelta>,
    },
    /// The client sent more commands ahead than the pooler buffers.
    #[error("too many commands sent ahead")]
    TooManyCommandsAhead,
    /// The request's class is not configured, or another request with its id is in flight.
    #[error("no class of this site, or an id in use")]
    UnknownClassOrIdInUse,
    /// The statement has no request comment.
    #[error("only requests with their comment are routed")]
    NotARequest,
    /// The command belongs to a part of the protocol other than simple queries.
    #[error("only simple queries are spoken here")]
    OnlySimpleQueries,
    /// The statement's request comment is malformed.
    #[error("{0}")]
    MalformedRequest(ProtocolError),
    /// The client violated the protocol.
    #[error("{0}")]
    ProtocolViolation(ProtocolError),
    /// The request was rejected and has certainly not run.
    #[error("refused, nothing is harmed by a retry")]
    RequestRejected {
        /// The time after which the client should retry; `None` if the client is given none.
        retry_after: Option<TimeDelta>,
    },
    /// The request failed and may have run.
    #[error("no answer; it may have been carried out")]
    RequestFailed,
    /// The client cancelled the request.
    #[error("canceled by its client")]
    RequestCancelled,
}

impl ErrorReply {
    const fn sql_state(self) -> SqlState {
        match self {
            Self::TooManyClients { .. }
            | Self::OutOfMemory { .. }
            | Self::TooManyCommandsAhead
            | Self::RequestRejected { .. } => SqlState::TOO_MANY_CONNECTIONS,
            Self::ConnectionClosing => SqlState::CANNOT_CONNECT_NOW,
            Self::UnknownClassOrIdInUse | Self::MalformedRequest(_) => SqlState::SYNTAX_ERROR,
            Self::NotARequest | Self::OnlySimpleQueries => SqlState::FEATURE_NOT_SUPPORTED,
            Self::ProtocolViolation(_) => SqlState::PROTOCOL_VIOLATION,
            Self::RequestFailed => SqlState::TRANSACTION_RESOLUTION_UNKNOWN,
            Self::RequestCancelled => SqlState::QUERY_CANCELED,
        }
    }

    /// The detail field: the retry-after in milliseconds.
    fn detail(self) -> Option<String> {
        match self {
            Self::TooManyClients { retry_after }
            | Self::OutOfMemory { retry_after }
            | Self::RequestRejected { retry_after } => retry_after.map(format_millis),
            _ => None,
        }
    }

    /// Appends the error as an ErrorResponse.
    pub(super) fn write(self, out: &mut Vec<u8>, severity: Severity) {
        let detail = self.detail();
        write::error_response(out, severity, self.sql_state(), &self.to_string(), detail.as_deref());
    }
}

/// Formats a time span in whole milliseconds, rounded up; a negative span counts as 0.
fn format_millis(span: TimeDelta) -> String {
    let micros = span.0.max(0).unsigned_abs();
    micros.div_ceil(MICROS_PER_MILLI).to_string()
}

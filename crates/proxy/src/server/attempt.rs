//! The progress of an attempt, the errors that end one, and the outcomes that the router is told for them.

use super::sqlstate::connection_error_outcome;
use crate::protocol::{ProtocolError, SqlState};
use crate::resource_exhaustion::is_resource_exhaustion;
use pooler_routing::AttemptOutcome;
use std::io;

/// The progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptStage {
    /// Waiting for the resources of a new connection.
    Waiting,
    /// Opening a connection, or validating an idle one.
    Connecting,
    /// Writing the query.
    Writing,
    /// The query is written completely: it may run.
    Sent,
}

impl AttemptStage {
    /// The outcome of an attempt whose timeout expired at this stage.
    pub(super) fn timeout_outcome(self) -> AttemptOutcome {
        match self {
            // Nothing was sent, and nothing is known about the endpoint.
            Self::Waiting => AttemptOutcome::NotSent,
            // Nothing was sent, and less than the connect timeout has passed: it may be this connection alone.
            Self::Connecting => AttemptOutcome::ConnectionLostBeforeSend,
            // The server accepted the connection, but not all bytes of the query: it never ran.
            Self::Writing => AttemptOutcome::ConnectionRefused,
            Self::Sent => AttemptOutcome::Timeout,
        }
    }
}

/// An error that ends an attempt without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum AttemptError {
    /// This machine is out of descriptors, ports or memory; the endpoint is not to blame.
    #[error("this machine is out of descriptors, ports or memory")]
    ResourceExhausted,
    /// The endpoint refused the connection, or has no address.
    #[error("connection refused")]
    ConnectionRefused,
    /// The endpoint did not respond in time.
    #[error("timed out")]
    TimedOut,
    /// The connection broke, or the server violated the protocol.
    #[error("connection lost")]
    ConnectionLost,
    /// The router sends no new work to the endpoint any more.
    #[error("the endpoint accepts no new work")]
    EndpointWithdrawn,
    /// The endpoint's data has become too stale for the request.
    #[error("the endpoint is not eligible any more")]
    NoLongerEligible,
    /// The timeout had expired before the query was written.
    #[error("deadline expired before the query was written")]
    DeadlineExpired,
    /// The server rejected the connection with an error.
    #[error("server error {0:?}")]
    ServerError(SqlState),
}

impl AttemptError {
    /// The outcome of an attempt that failed with this error at this stage.
    pub(super) fn outcome(self, stage: AttemptStage) -> AttemptOutcome {
        match self {
            Self::ServerError(code) => connection_error_outcome(code),
            // Nothing was sent, and nothing is known about the endpoint.
            Self::EndpointWithdrawn | Self::NoLongerEligible | Self::DeadlineExpired => {
                AttemptOutcome::NotSent
            }
            _ if stage == AttemptStage::Sent => AttemptOutcome::ConnectionReset,
            Self::ConnectionRefused => AttemptOutcome::ConnectionRefused,
            Self::TimedOut => AttemptOutcome::ConnectTimeout,
            Self::ResourceExhausted | Self::ConnectionLost => AttemptOutcome::ConnectionLostBeforeSend,
        }
    }
}

impl From<io::Error> for AttemptError {
    fn from(error: io::Error) -> Self {
        if is_resource_exhaustion(&error) { Self::ResourceExhausted } else { Self::ConnectionLost }
    }
}

impl From<ProtocolError> for AttemptError {
    fn from(_: ProtocolError) -> Self {
        Self::ConnectionLost
    }
}

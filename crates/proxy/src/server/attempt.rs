//! How far an attempt has come, why it ended without a response, and the outcome that the router is told.

use super::sqlstate::connection_error_outcome;
use crate::protocol::{ProtocolError, SqlState};
use crate::resource_exhaustion::is_resource_exhaustion;
use pooler_routing::AttemptOutcome;
use std::io;

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptStage {
    /// It waits for the resources of a new connection.
    Waiting,
    /// Its connection is being opened, or a kept one validated.
    Connecting,
    /// Its query is being written.
    Writing,
    /// All of its query is written: it may run.
    Sent,
}

impl AttemptStage {
    /// The outcome of an attempt whose timeout expired at this stage.
    pub(super) fn timeout_outcome(self) -> AttemptOutcome {
        match self {
            // Nothing was sent, and nothing is known of the endpoint.
            Self::Waiting => AttemptOutcome::NotSent,
            // Silence for less than the connect timeout: nothing was sent, and it may be this connection's alone.
            Self::Connecting => AttemptOutcome::ConnectionLostBeforeSend,
            Self::Writing => AttemptOutcome::ConnectionRefused,
            Self::Sent => AttemptOutcome::Timeout,
        }
    }
}

/// Why an attempt ended without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum AttemptError {
    /// This machine is out of descriptors, ports or memory, which says nothing of the endpoint.
    #[error("this machine is out of descriptors, ports or memory")]
    ResourceExhausted,
    /// Nobody listens at the endpoint's address, or it has none.
    #[error("connection refused")]
    ConnectionRefused,
    /// The endpoint is silent.
    #[error("timed out")]
    TimedOut,
    /// The connection broke, or what came on it made no sense.
    #[error("connection lost")]
    ConnectionLost,
    /// The router sends the endpoint nothing new any more.
    #[error("the endpoint accepts no new work")]
    EndpointWithdrawn,
    /// The endpoint's data has become too old for the request.
    #[error("the endpoint is not eligible any more")]
    NoLongerEligible,
    /// The attempt's time was over before its query was written.
    #[error("deadline expired before the query was written")]
    DeadlineExpired,
    /// The server turned the connection away.
    #[error("server error {0:?}")]
    ServerError(SqlState),
}

impl AttemptError {
    /// The outcome of an attempt that failed with this error at this stage.
    pub(super) fn outcome(self, stage: AttemptStage) -> AttemptOutcome {
        match self {
            Self::ServerError(code) => connection_error_outcome(code),
            // Nothing was sent, and nothing is known of the endpoint.
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

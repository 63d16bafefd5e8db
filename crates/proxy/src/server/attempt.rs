//! The stages of an attempt, the errors that end one, and the outcomes that are reported to the router for
//! them.

use super::sqlstate::connection_error_outcome;
use crate::protocol::{ProtocolError, SqlState};
use crate::resource_exhaustion::is_resource_exhaustion;
use pooler_routing::AttemptOutcome;
use std::io;

/// How far an attempt has progressed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptStage {
    /// Waiting for a connection permit, or for descriptors, ports or memory of this machine.
    AwaitingResources,
    /// Opening a connection, or validating an idle one.
    Connecting,
    /// Writing the query.
    Writing,
    /// The query has been written completely; the server may run it.
    Sent,
}

impl AttemptStage {
    /// The outcome of an attempt whose timeout expired at this stage.
    pub(super) fn timeout_outcome(self) -> AttemptOutcome {
        match self {
            // Nothing was sent, and the timeout says nothing about the endpoint.
            Self::AwaitingResources => AttemptOutcome::NotSent,
            // Nothing was sent. Less than the connect timeout has passed, so the fault may be limited to this
            // connection.
            Self::Connecting => AttemptOutcome::ConnectionLostBeforeSend,
            // The server accepted the connection but not all bytes of the query, so the query never ran.
            Self::Writing => AttemptOutcome::ConnectionRefused,
            Self::Sent => AttemptOutcome::Timeout,
        }
    }
}

/// An error that ends an attempt without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum AttemptError {
    /// This machine is out of descriptors, ports or memory; this is no failure of the endpoint.
    #[error("this machine is out of descriptors, ports or memory")]
    ResourceExhausted,
    /// The endpoint refused the connection, or its address is unknown.
    #[error("endpoint refused the connection or has no known address")]
    ConnectionRefused,
    /// The endpoint did not respond in time.
    #[error("endpoint did not respond in time")]
    TimedOut,
    /// The connection broke, or the server violated the protocol.
    #[error("connection to the endpoint was lost, or the server violated the protocol")]
    ConnectionLost,
    /// The router no longer sends new work to the endpoint.
    #[error("endpoint no longer accepts new work")]
    EndpointNotAccepting,
    /// The endpoint's data has become too stale for the request.
    #[error("endpoint is no longer eligible for the request")]
    NoLongerEligible,
    /// The attempt's deadline expired before the query was written.
    #[error("deadline expired before the query was written")]
    DeadlineExpired,
    /// The server rejected the connection with an ErrorResponse of this code.
    #[error("server rejected the connection with error {0:?}")]
    ServerError(SqlState),
}

impl AttemptError {
    /// The outcome of an attempt that failed with this error at `stage`.
    pub(super) fn outcome(self, stage: AttemptStage) -> AttemptOutcome {
        match self {
            Self::ServerError(code) => connection_error_outcome(code),
            // Nothing was sent, and the error says nothing about the endpoint.
            Self::EndpointNotAccepting | Self::NoLongerEligible | Self::DeadlineExpired => {
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

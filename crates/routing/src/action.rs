//! What a host does for the router.

use crate::{AttemptNumber, EndpointId, RequestId, TimeDelta, Timestamp};

/// Something for the host to do. Actions are carried out in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to send it.
        endpoint: EndpointId,
        /// How long to wait for its response.
        timeout: TimeDelta,
    },
    /// Final response: rejected; the client may safely retry.
    Reject {
        /// The request.
        request: RequestId,
        /// When the client should retry.
        retry_after: Option<TimeDelta>,
    },
    /// Final response: failed; the request may have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Request the load report of an endpoint.
    HealthCheck {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Report [`Event::TimerFired`](crate::Event::TimerFired) at this time. It replaces a timer set before.
    SetTimer {
        /// When the timer fires.
        at: Timestamp,
    },
    /// Subscribe to the endpoint list, or poll it.
    Subscribe,
    /// A log line for the operators.
    Log {
        /// The text, one line.
        line: String,
    },
}

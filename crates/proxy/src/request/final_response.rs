//! The final response to a request.

use pooler_routing::{EndpointId, TimeDelta};

/// The one final response to a request.
#[derive(Debug)]
pub enum FinalResponse<R> {
    /// An endpoint's response.
    Served(R),
    /// The request is rejected: it did not run, and a retry is safe. Holds when to retry, if clients are told.
    Rejected(Option<TimeDelta>),
    /// The request has failed; it may or may not have run.
    Failed {
        /// The last endpoint that may have run it.
        in_doubt_at: Option<EndpointId>,
    },
    /// The client has cancelled the request.
    Cancelled {
        /// The last endpoint that may have run it.
        in_doubt_at: Option<EndpointId>,
    },
    /// The client has closed its connection, or its side of it.
    ClientDisconnected {
        /// The last endpoint that may have run it.
        in_doubt_at: Option<EndpointId>,
    },
}

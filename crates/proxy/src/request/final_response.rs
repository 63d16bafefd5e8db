//! The final response to a request.

use pooler_routing::{EndpointId, TimeDelta};

/// The one final response to a request.
#[derive(Debug)]
pub enum FinalResponse<R> {
    /// The request was served; holds the endpoint's response.
    Served(R),
    /// The request was rejected: it did not run, and a retry is safe. Holds the retry-after delay;
    /// `None` if clients are given none.
    Rejected(Option<TimeDelta>),
    /// The request failed; it may or may not have run.
    Failed {
        /// The last endpoint that may have run the request; `None` if none can have.
        in_doubt_endpoint: Option<EndpointId>,
    },
    /// The client cancelled the request.
    Cancelled {
        /// The last endpoint that may have run the request; `None` if none can have.
        in_doubt_endpoint: Option<EndpointId>,
    },
    /// The client closed its connection, or its sending side of it.
    ClientDisconnected {
        /// The last endpoint that may have run the request; `None` if none can have.
        in_doubt_endpoint: Option<EndpointId>,
    },
}

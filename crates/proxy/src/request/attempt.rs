//! One attempt of a request: the interface of the transport that makes it, and its result.

use pooler_routing::{AttemptOutcome, EndpointId, ResponseMetadata};
use std::cell::Cell;
use std::time::Duration;

/// Sends attempts to endpoints and reads their responses.
pub trait AttemptTransport {
    /// A client's query in the form that is forwarded to an endpoint.
    type Query;
    /// An endpoint's response to a query.
    type Response;

    /// Makes one attempt and waits up to `timeout` for its result. The transport never retries on its own.
    /// Once the future has completed or has been dropped, no part of the attempt is in flight.
    fn attempt(
        &self,
        endpoint: &EndpointId,
        query: &Self::Query,
        timeout: Duration,
        context: &AttemptContext<'_>,
    ) -> impl Future<Output = AttemptResult<Self::Response>>;
}

/// Links an attempt to its request. The transport checks through the context that the attempt is still
/// eligible before writing it, and records that it has been written.
pub struct AttemptContext<'a> {
    still_eligible: &'a dyn Fn() -> bool,
    sent: Cell<bool>,
}

impl<'a> AttemptContext<'a> {
    /// The context of an attempt that has not been written yet. `still_eligible` asks the router whether it
    /// may still be written.
    #[must_use]
    pub fn new(still_eligible: &'a dyn Fn() -> bool) -> Self {
        Self { still_eligible, sent: Cell::new(false) }
    }

    /// Whether the router still allows the attempt to be written. To be checked once the connection is
    /// available.
    #[must_use]
    pub fn still_eligible(&self) -> bool {
        (self.still_eligible)()
    }

    /// Records that the attempt has been written completely, so the endpoint may run it from now on.
    pub fn mark_sent(&self) {
        self.sent.set(true);
    }

    /// Whether the attempt has been written completely.
    #[must_use]
    pub fn is_sent(&self) -> bool {
        self.sent.get()
    }
}

/// The result of an attempt.
#[derive(Debug)]
pub struct AttemptResult<R> {
    /// The outcome that is reported to the router.
    pub outcome: AttemptOutcome,
    /// The metadata that the endpoint sent about itself along with the response.
    pub metadata: Option<ResponseMetadata>,
    /// The values of the endpoint's load report, if it sent a valid one.
    pub load_report: Option<Vec<f64>>,
    /// The response, if the outcome is [`AttemptOutcome::Ok`].
    pub response: Option<R>,
}

impl<R> AttemptResult<R> {
    /// A result that consists of its outcome only.
    #[must_use]
    pub fn without_response(outcome: AttemptOutcome) -> Self {
        Self { outcome, metadata: None, load_report: None, response: None }
    }
}

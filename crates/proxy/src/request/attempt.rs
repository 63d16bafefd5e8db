//! One attempt of a request: the transport that carries it, and its result.

use pooler_routing::{AttemptOutcome, EndpointId, ResponseMetadata};
use std::cell::Cell;
use std::time::Duration;

/// Carries attempts to endpoints.
pub trait AttemptTransport {
    /// A client's query, ready to be forwarded.
    type Query;
    /// An endpoint's response to it.
    type Response;

    /// Makes one attempt and waits up to `timeout` for its result. The transport never retries by itself. Once the
    /// future has completed or was dropped, nothing of the attempt is in flight any more.
    fn attempt(
        &self,
        endpoint: &EndpointId,
        query: &Self::Query,
        timeout: Duration,
        context: &AttemptContext<'_>,
    ) -> impl Future<Output = AttemptResult<Self::Response>>;
}

/// Connects a transport with the request that it serves: the transport checks the request's eligibility before it writes
/// an attempt, and records afterwards that it was written.
pub struct AttemptContext<'a> {
    still_eligible: &'a dyn Fn() -> bool,
    sent: Cell<bool>,
}

impl<'a> AttemptContext<'a> {
    /// The context of an attempt that is not written yet. `still_eligible` asks the router whether it may be.
    #[must_use]
    pub fn new(still_eligible: &'a dyn Fn() -> bool) -> Self {
        Self { still_eligible, sent: Cell::new(false) }
    }

    /// Whether the attempt may still be written, now that its connection is there.
    #[must_use]
    pub fn still_eligible(&self) -> bool {
        (self.still_eligible)()
    }

    /// Records that all of the attempt is written: from now on it may run.
    pub fn mark_sent(&self) {
        self.sent.set(true);
    }

    /// Whether all of the attempt is written.
    #[must_use]
    pub fn is_sent(&self) -> bool {
        self.sent.get()
    }
}

/// The result of an attempt.
#[derive(Debug)]
pub struct AttemptResult<R> {
    /// The outcome.
    pub outcome: AttemptOutcome,
    /// What the endpoint reported about itself beside the response.
    pub metadata: Option<ResponseMetadata>,
    /// The endpoint's load report.
    pub load_report: Option<Vec<f64>>,
    /// The response, if the outcome is [`AttemptOutcome::Ok`].
    pub response: Option<R>,
}

impl<R> AttemptResult<R> {
    /// A result with nothing but its outcome.
    #[must_use]
    pub fn without_response(outcome: AttemptOutcome) -> Self {
        Self { outcome, metadata: None, load_report: None, response: None }
    }
}

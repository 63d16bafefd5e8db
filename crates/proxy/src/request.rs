//! The life of a request, from when it is handed to the router to its one final response. The protocol is the
//! [`AttemptTransport`]'s concern.

use crate::router_handle::{RequestCommand, RequestHandle, RouterHandle};
use crate::time_conversion::to_duration;
use futures_lite::future::{or, poll_fn};
use pooler_routing::{
    AttemptCompletion, AttemptNumber, AttemptOutcome, ClassId, EndpointId, Event, GroupId, Request,
    ResponseMetadata, SessionKey, TimeDelta, Timestamp,
};
use std::cell::Cell;
use std::future::Future;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

/// Carries attempts to endpoints.
pub trait AttemptTransport {
    /// What the client asks, ready to be sent on.
    type Query;
    /// What an endpoint responds to it.
    type Response;

    /// Makes one attempt and waits for its result for `timeout` at most. It is never sent twice on its own account.
    /// Once the future has ended or is dropped, nothing of the attempt is in flight any more.
    fn attempt(
        &self,
        endpoint: &EndpointId,
        query: &Self::Query,
        timeout: Duration,
        context: &AttemptContext<'_>,
    ) -> impl Future<Output = AttemptResult<Self::Response>>;
}

/// What a transport asks before it writes an attempt, and reports once it has.
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

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptResult<R> {
    /// The outcome.
    pub outcome: AttemptOutcome,
    /// What the endpoint said of itself beside the response.
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

/// A request as the client side hands it in.
#[derive(Debug)]
pub struct ClientRequest<Q> {
    /// Its class.
    pub class: ClassId,
    /// Its session, in classes that have sessions.
    pub session: Option<SessionKey>,
    /// Its group.
    pub group: GroupId,
    /// When the client gives up.
    pub deadline: Timestamp,
    /// When its session last committed, where clients say so.
    pub last_write: Option<Timestamp>,
    /// What is sent to an endpoint.
    pub query: Q,
}

/// Why a request ends before the router has ended it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbortReason {
    /// Its client has disconnected.
    ClientDisconnected,
    /// Its client has asked to cancel it.
    CancelRequested,
    /// The process exits before the request's deadline.
    Shutdown,
}

/// The one final response to a request. `in_doubt_at` names the last endpoint that may have run it, if one may.
#[derive(Debug)]
pub enum FinalResponse<R> {
    /// An endpoint's response.
    Served(R),
    /// The request is rejected: it did not run, and a retry does no harm. With it goes when to retry, if that is told.
    Rejected(Option<TimeDelta>),
    /// The request has failed; nothing is promised.
    Failed {
        /// Where it may have run.
        in_doubt_at: Option<EndpointId>,
    },
    /// The client has cancelled the request.
    Cancelled {
        /// Where it may have run.
        in_doubt_at: Option<EndpointId>,
    },
    /// The client has closed its connection, or its side of it.
    ClientDisconnected {
        /// Where it may have run.
        in_doubt_at: Option<EndpointId>,
    },
}

/// What ends a wait for the router, or for an attempt, from outside.
enum Interruption {
    Command(RequestCommand),
    Aborted(AbortReason),
}

/// What ends the wait for an attempt.
enum AttemptEvent<R> {
    Completed(AttemptResult<R>),
    Interrupted(Interruption),
}

/// Serves one request: hands it to the router, and makes the attempts that the router commands, until the router or
/// `aborted` ends it.
pub async fn serve<T: AttemptTransport>(
    router: &Rc<RouterHandle>,
    transport: &T,
    request: &ClientRequest<T::Query>,
    aborted: impl Future<Output = AbortReason>,
) -> FinalResponse<T::Response> {
    let mut aborted = pin!(aborted);
    let mut active = ActiveRequest::start(router, request);
    loop {
        // Commands come first: what the router has decided holds.
        let command = async { Interruption::Command(active.handle.next_command().await) };
        let abort = async { Interruption::Aborted(aborted.as_mut().await) };
        let (endpoint, timeout) = match or(command, abort).await {
            Interruption::Command(RequestCommand::Send { endpoint, timeout }) => (endpoint, timeout),
            Interruption::Command(RequestCommand::Reject { retry_after }) => {
                return reject(router, retry_after);
            }
            Interruption::Command(RequestCommand::Fail) => return active.fail(),
            // Its attempt has ended by itself.
            Interruption::Command(RequestCommand::CancelAttempt) => continue,
            Interruption::Aborted(reason) => {
                active.report_abandoned();
                return active.abort(reason);
            }
        };
        let last = active.attempt(transport, &request.query, endpoint, timeout, aborted.as_mut()).await;
        if let Some(response) = last {
            return response;
        }
    }
}

/// A request that the router knows, and that has no final response yet.
struct ActiveRequest<'a> {
    router: &'a RouterHandle,
    handle: RequestHandle,
    /// How many attempts have ended.
    attempts: u32,
    /// The last endpoint that may have run it.
    in_doubt_at: Option<EndpointId>,
}

impl<'a> ActiveRequest<'a> {
    fn start<Q>(router: &'a Rc<RouterHandle>, request: &ClientRequest<Q>) -> Self {
        let handle = router.start_request(|id, now| Request {
            id,
            class: request.class,
            tenant: None,
            session: request.session,
            time_remaining: request.deadline - now,
            group: request.group,
            since_last_write: request.last_write.map(|at| now - at),
            expected_work: None,
        });
        Self { router, handle, attempts: 0, in_doubt_at: None }
    }

    /// Makes one attempt and reports its end to the router. Gives the final response, if the request ends with it.
    async fn attempt<T: AttemptTransport>(
        &mut self,
        transport: &T,
        query: &T::Query,
        endpoint: EndpointId,
        timeout: TimeDelta,
        aborted: Pin<&mut impl Future<Output = AbortReason>>,
    ) -> Option<FinalResponse<T::Response>> {
        self.router.counters().attempts.increment();
        let started = self.router.now();
        let still_eligible = || self.router.still_eligible(self.handle.id(), &endpoint);
        let context = AttemptContext::new(&still_eligible);
        // The attempt is over, with its connection if it was given up, before the router is told.
        let event = {
            let attempt = transport.attempt(&endpoint, query, to_duration(timeout), &context);
            wait_for_attempt(attempt, self.handle.next_command(), aborted, &context).await
        };
        let (result, interruption) = match event {
            AttemptEvent::Completed(result) => (result, None),
            AttemptEvent::Interrupted(interruption) => {
                // What was given up before all of it was written never ran.
                let sent = context.is_sent();
                let outcome = if sent { AttemptOutcome::Cancelled } else { AttemptOutcome::NotSent };
                (AttemptResult::without_response(outcome), Some(interruption))
            }
        };
        let response = self.report_completed(endpoint, started, result, interruption.as_ref());
        self.final_response(response, interruption)
    }

    /// Reports the end of an attempt to the router, after the end of the request if its client gave it up.
    fn report_completed<R>(
        &mut self,
        endpoint: EndpointId,
        started: Timestamp,
        result: AttemptResult<R>,
        interruption: Option<&Interruption>,
    ) -> Option<R> {
        let AttemptResult { outcome, metadata, load_report, response } = result;
        if !outcome.never_ran() {
            self.in_doubt_at = Some(endpoint.clone());
        }
        if matches!(interruption, Some(Interruption::Aborted(_))) {
            self.report_abandoned();
        }
        let request_open =
            matches!(interruption, None | Some(Interruption::Command(RequestCommand::CancelAttempt)));
        self.router.counters().record_outcome(outcome);
        self.router.dispatch(Event::AttemptCompleted(AttemptCompletion {
            request: self.handle.id(),
            attempt: AttemptNumber(self.attempts),
            endpoint,
            outcome,
            metadata,
            elapsed: self.router.now() - started,
            request_closed: response.is_some() || !request_open,
            load_report,
        }));
        self.attempts += 1;
        response
    }

    /// The final response after an attempt; `None` if the router has been asked again.
    fn final_response<R>(
        &self,
        response: Option<R>,
        interruption: Option<Interruption>,
    ) -> Option<FinalResponse<R>> {
        if let Some(response) = response {
            self.router.counters().served.increment();
            return Some(FinalResponse::Served(response));
        }
        match interruption? {
            Interruption::Command(RequestCommand::Reject { retry_after }) => {
                Some(reject(self.router, retry_after))
            }
            Interruption::Command(RequestCommand::Fail) => Some(self.fail()),
            Interruption::Command(RequestCommand::Send { .. } | RequestCommand::CancelAttempt) => None,
            Interruption::Aborted(reason) => Some(self.abort(reason)),
        }
    }

    fn report_abandoned(&self) {
        self.router.dispatch(Event::RequestAbandoned(self.handle.id()));
    }

    fn fail<R>(&self) -> FinalResponse<R> {
        self.router.counters().failed.increment();
        FinalResponse::Failed { in_doubt_at: self.in_doubt_at.clone() }
    }

    /// The response to a request that was aborted. At the exit of the process a rejection is honest only for what
    /// can't have run.
    fn abort<R>(&self, reason: AbortReason) -> FinalResponse<R> {
        let in_doubt_at = self.in_doubt_at.clone();
        match reason {
            AbortReason::ClientDisconnected => {
                self.router.counters().client_disconnects.increment();
                FinalResponse::ClientDisconnected { in_doubt_at }
            }
            AbortReason::CancelRequested => {
                self.router.counters().cancelled.increment();
                FinalResponse::Cancelled { in_doubt_at }
            }
            AbortReason::Shutdown if in_doubt_at.is_some() => self.fail(),
            AbortReason::Shutdown => reject(self.router, None),
        }
    }
}

fn reject<R>(router: &RouterHandle, retry_after: Option<TimeDelta>) -> FinalResponse<R> {
    router.counters().rejected.increment();
    FinalResponse::Rejected(retry_after)
}

/// Waits for the end of an attempt, for a command of the router, or for what aborts the request. Until the attempt is
/// written it is polled last: nothing is begun for a client that has disconnected. Once it is written, a response that
/// is there goes before the router's command, and both before the client's disconnect.
async fn wait_for_attempt<R>(
    attempt: impl Future<Output = AttemptResult<R>>,
    command: impl Future<Output = RequestCommand>,
    mut aborted: Pin<&mut impl Future<Output = AbortReason>>,
    context: &AttemptContext<'_>,
) -> AttemptEvent<R> {
    let interrupted_by_command = |command| AttemptEvent::Interrupted(Interruption::Command(command));
    let interrupted_by_abort = |reason| AttemptEvent::Interrupted(Interruption::Aborted(reason));
    let (mut attempt, mut command) = (pin!(attempt), pin!(command));
    poll_fn(|task| {
        if !context.is_sent() {
            if let Poll::Ready(reason) = aborted.as_mut().poll(task) {
                return Poll::Ready(interrupted_by_abort(reason));
            }
            if let Poll::Ready(command) = command.as_mut().poll(task) {
                return Poll::Ready(interrupted_by_command(command));
            }
            return attempt.as_mut().poll(task).map(AttemptEvent::Completed);
        }
        if let Poll::Ready(result) = attempt.as_mut().poll(task) {
            return Poll::Ready(AttemptEvent::Completed(result));
        }
        if let Poll::Ready(command) = command.as_mut().poll(task) {
            return Poll::Ready(interrupted_by_command(command));
        }
        aborted.as_mut().poll(task).map(interrupted_by_abort)
    })
    .await
}

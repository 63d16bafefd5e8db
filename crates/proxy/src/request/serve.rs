//! Serves a request: carries out the router's commands until a command or an abort ends the request.

use super::attempt::{AttemptContext, AttemptResult, AttemptTransport};
use super::client_request::{AbortReason, ClientRequest};
use super::final_response::FinalResponse;
use crate::router_handle::{RequestCommand, RequestHandle, RouterHandle};
use futures_lite::future::{or, poll_fn};
use pooler_routing::{
    AttemptCompletion, AttemptNumber, AttemptOutcome, EndpointId, Event, Request, TimeDelta, Timestamp,
};
use std::future::Future;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::Poll;

/// An event that ends the wait for an attempt before the attempt has completed.
enum Interruption {
    Command(RequestCommand),
    Aborted(AbortReason),
}

/// The event that ends the wait for an attempt.
enum AttemptEvent<R> {
    Completed(AttemptResult<R>),
    Interrupted(Interruption),
}

/// Serves one request: submits it to the router and makes the attempts that the router commands, until the
/// router ends the request or `aborted` completes.
pub async fn serve<T: AttemptTransport>(
    router: &Rc<RouterHandle>,
    transport: &T,
    request: &ClientRequest<T::Query>,
    aborted: impl Future<Output = AbortReason>,
) -> FinalResponse<T::Response> {
    let mut aborted = pin!(aborted);
    let mut active = ActiveRequest::start(router, request);
    loop {
        // A pending command takes precedence over an abort, since the router has already decided.
        let command = async { Interruption::Command(active.handle.next_command().await) };
        let abort = async { Interruption::Aborted(aborted.as_mut().await) };
        let (endpoint, timeout) = match or(command, abort).await {
            Interruption::Command(RequestCommand::Send { endpoint, timeout }) => (endpoint, timeout),
            Interruption::Command(RequestCommand::Reject { retry_after }) => {
                return reject(router, retry_after);
            }
            Interruption::Command(RequestCommand::Fail) => return active.fail(),
            // The attempt that was to be cancelled has already completed.
            Interruption::Command(RequestCommand::CancelAttempt) => continue,
            Interruption::Aborted(reason) => {
                active.report_abandoned();
                return active.abort(reason);
            }
        };
        let final_response =
            active.attempt(transport, &request.query, endpoint, timeout, aborted.as_mut()).await;
        if let Some(response) = final_response {
            return response;
        }
    }
}

/// A request that was submitted to the router and has no final response yet.
struct ActiveRequest<'a> {
    router: &'a RouterHandle,
    handle: RequestHandle,
    /// The number of attempts that have ended.
    attempts: u32,
    /// The last endpoint that may have run the request.
    in_doubt_endpoint: Option<EndpointId>,
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
        Self { router, handle, attempts: 0, in_doubt_endpoint: None }
    }

    /// Makes one attempt and reports its completion to the router. Returns the final response if the request
    /// ends here.
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
        // The block drops the attempt, and with it the connection of an interrupted one, before the router is
        // notified.
        let event = {
            let attempt = transport.attempt(&endpoint, query, timeout.to_duration(), &context);
            wait_for_attempt(attempt, self.handle.next_command(), aborted, &context).await
        };
        let (result, interruption) = match event {
            AttemptEvent::Completed(result) => (result, None),
            AttemptEvent::Interrupted(interruption) => {
                // An attempt that was interrupted before it was written completely never ran.
                let sent = context.is_sent();
                let outcome = if sent { AttemptOutcome::Cancelled } else { AttemptOutcome::NotSent };
                (AttemptResult::without_response(outcome), Some(interruption))
            }
        };
        let response = self.report_completed(endpoint, started, result, interruption.as_ref());
        self.final_response(response, interruption)
    }

    /// Reports the completion of an attempt to the router; if the request was aborted, reports that first.
    fn report_completed<R>(
        &mut self,
        endpoint: EndpointId,
        started: Timestamp,
        result: AttemptResult<R>,
        interruption: Option<&Interruption>,
    ) -> Option<R> {
        let AttemptResult { outcome, metadata, load_report, response } = result;
        if !outcome.never_ran() {
            self.in_doubt_endpoint = Some(endpoint.clone());
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

    /// The final response after an attempt; `None` if the request stays open.
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
        FinalResponse::Failed { in_doubt_endpoint: self.in_doubt_endpoint.clone() }
    }

    /// The final response to an aborted request. At shutdown a request is rejected only if it can't have run,
    /// since a rejection guarantees that a retry is safe.
    fn abort<R>(&self, reason: AbortReason) -> FinalResponse<R> {
        let in_doubt_endpoint = self.in_doubt_endpoint.clone();
        match reason {
            AbortReason::ClientDisconnected => {
                self.router.counters().client_disconnects.increment();
                FinalResponse::ClientDisconnected { in_doubt_endpoint }
            }
            AbortReason::CancelRequested => {
                self.router.counters().cancelled.increment();
                FinalResponse::Cancelled { in_doubt_endpoint }
            }
            AbortReason::Shutdown if in_doubt_endpoint.is_some() => self.fail(),
            AbortReason::Shutdown => reject(self.router, None),
        }
    }
}

fn reject<R>(router: &RouterHandle, retry_after: Option<TimeDelta>) -> FinalResponse<R> {
    router.counters().rejected.increment();
    FinalResponse::Rejected(retry_after)
}

/// Waits until the attempt completes, the router sends a command or the request is aborted. The attempt is
/// polled last until it is written, so that no query is written for a client that has disconnected. Once it
/// is written, a response that has arrived takes precedence over a command, and both take precedence over the
/// client's disconnect.
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

//! Tests of the precedence between a client's disconnect and the attempt in progress.

use futures_lite::future::{block_on, poll_fn, poll_once};
use pooler_proxy::metrics::Counters;
use pooler_proxy::request::{
    AbortReason, AttemptContext, AttemptResult, AttemptTransport, ClientRequest, FinalResponse, serve,
};
use pooler_proxy::router_handle::RouterHandle;
use pooler_routing::{
    AttemptOutcome, ClassId, Consistency, EndpointEntry, EndpointId, EndpointUpdate, Event, GroupId,
    Idempotency, Lifecycle, Operation, RequestClass, Router, Settings, TimeDelta,
};
use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

/// A transport whose connection is established at the second poll, in which it also writes the query.
#[derive(Default)]
struct ConnectsAtSecondPoll {
    polls: Cell<u32>,
    written: Cell<bool>,
}

impl AttemptTransport for ConnectsAtSecondPoll {
    type Query = ();
    type Response = ();

    async fn attempt(
        &self,
        _: &EndpointId,
        _: &(),
        _: Duration,
        context: &AttemptContext<'_>,
    ) -> AttemptResult<()> {
        poll_fn(|_| {
            self.polls.set(self.polls.get() + 1);
            if self.polls.get() < 2 {
                return Poll::Pending;
            }
            context.mark_sent();
            self.written.set(true);
            Poll::Pending
        })
        .await
    }
}

/// A transport that writes the query at the first poll, and completes with a response once `responded` is
/// set.
#[derive(Default)]
struct WritesAtFirstPoll {
    responded: Cell<bool>,
}

impl AttemptTransport for WritesAtFirstPoll {
    type Query = ();
    type Response = &'static str;

    async fn attempt(
        &self,
        _: &EndpointId,
        _: &(),
        _: Duration,
        context: &AttemptContext<'_>,
    ) -> AttemptResult<&'static str> {
        context.mark_sent();
        poll_fn(|_| if self.responded.get() { Poll::Ready(()) } else { Poll::Pending }).await;
        let empty = AttemptResult::without_response(AttemptOutcome::Ok);
        AttemptResult { response: Some("row"), ..empty }
    }
}

fn router_with_one_endpoint() -> Rc<RouterHandle> {
    let class = RequestClass {
        name: "any".into(),
        idempotency: Idempotency::Idempotent,
        operation: Operation::Read(Consistency::Eventual),
        latency_objective: TimeDelta::from_millis(500),
        objective_work_multiple: 0.0,
        priority_weight: 1.0,
        late_weight: 0.0,
    };
    let settings = Settings { classes: vec![class], max_attempts: 4, ..Settings::default() };
    let (health_checks, _) = async_channel::unbounded();
    let router = RouterHandle::new(Router::new(1, settings), Rc::new(Counters::default()), health_checks);
    router.dispatch(Event::EndpointUpdate(EndpointUpdate::Snapshot(vec![EndpointEntry {
        endpoint: EndpointId(Arc::from("s-1")),
        group: GroupId(0),
        lifecycle: Lifecycle::Active,
        primary: false,
        started_at: None,
        zone: String::new(),
    }])));
    Rc::new(router)
}

fn request(router: &RouterHandle) -> ClientRequest<()> {
    ClientRequest {
        class: ClassId(0),
        session: None,
        group: GroupId(0),
        deadline: router.now() + TimeDelta::from_millis(1_000),
        last_write: None,
        query: (),
    }
}

/// Completes with an abort once `disconnected` is set.
fn aborted_once(disconnected: &Cell<bool>) -> impl Future<Output = AbortReason> + '_ {
    poll_fn(|_| match disconnected.get() {
        true => Poll::Ready(AbortReason::ClientDisconnected),
        false => Poll::Pending,
    })
}

#[test]
fn no_query_is_written_once_the_client_is_known_to_have_disconnected() {
    block_on(async {
        let router = router_with_one_endpoint();
        let (transport, disconnected) = (ConnectsAtSecondPoll::default(), Cell::new(false));
        let request = request(&router);
        let aborted = aborted_once(&disconnected);
        let mut serving = pin!(serve(&router, &transport, &request, aborted));
        assert!(poll_once(serving.as_mut()).await.is_none());
        assert_eq!(transport.polls.get(), 1, "the connection is still being opened");
        // At the next poll both the connection and the disconnect are ready, as after a stall of the process.
        disconnected.set(true);
        let response = poll_once(serving.as_mut()).await;
        assert!(
            matches!(response, Some(FinalResponse::ClientDisconnected { in_doubt_endpoint: None })),
            "{response:?}"
        );
        assert!(!transport.written.get(), "a query was written for a client that had disconnected");
    });
}

#[test]
fn a_response_that_has_arrived_takes_precedence_over_a_disconnect() {
    block_on(async {
        let router = router_with_one_endpoint();
        let (transport, disconnected) = (WritesAtFirstPoll::default(), Cell::new(false));
        let request = request(&router);
        let mut serving = pin!(serve(&router, &transport, &request, aborted_once(&disconnected)));
        assert!(poll_once(serving.as_mut()).await.is_none());
        transport.responded.set(true);
        disconnected.set(true);
        let response = poll_once(serving.as_mut()).await;
        assert!(matches!(response, Some(FinalResponse::Served("row"))), "{response:?}");
    });
}

#[test]
fn a_written_request_is_in_doubt_after_its_client_disconnects() {
    block_on(async {
        let router = router_with_one_endpoint();
        let (transport, disconnected) = (WritesAtFirstPoll::default(), Cell::new(false));
        let request = request(&router);
        let mut serving = pin!(serve(&router, &transport, &request, aborted_once(&disconnected)));
        assert!(poll_once(serving.as_mut()).await.is_none());
        disconnected.set(true);
        let response = poll_once(serving.as_mut()).await;
        let Some(FinalResponse::ClientDisconnected { in_doubt_endpoint: Some(endpoint) }) = response else {
            panic!("{response:?}")
        };
        assert_eq!(&*endpoint.0, "s-1");
    });
}

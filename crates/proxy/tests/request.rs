//! A request whose client disconnects in the moment in which an attempt could be written.

use futures_lite::future::{block_on, poll_fn, poll_once};
use pooler_proxy::metrics::Counters;
use pooler_proxy::request::{
    AbortReason, AttemptContext, AttemptResult, AttemptTransport, ClientRequest, FinalResponse, serve,
};
use pooler_proxy::router_handle::RouterHandle;
use pooler_routing::*;
use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

/// A transport whose connection comes up at the second poll, and which writes at once then.
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

fn router_with_one_endpoint() -> Rc<RouterHandle> {
    let class = RequestClass {
        name: "any".into(),
        idempotency: Idempotency::Idempotent,
        operation: Operation::Read(Consistency::Eventual),
        latency_objective: TimeDelta::from_millis(500),
        objective_stretch: 0.0,
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

#[test]
fn nothing_is_written_once_the_client_is_known_to_have_disconnected() {
    block_on(async {
        let router = router_with_one_endpoint();
        let (transport, disconnected) = (ConnectsAtSecondPoll::default(), Cell::new(false));
        let request = ClientRequest {
            class: ClassId(0),
            session: None,
            group: GroupId(0),
            deadline: router.now() + TimeDelta::from_millis(1_000),
            last_write: None,
            query: (),
        };
        let aborted = poll_fn(|_| match disconnected.get() {
            true => Poll::Ready(AbortReason::ClientDisconnected),
            false => Poll::Pending,
        });
        let mut serving = pin!(serve(&router, &transport, &request, aborted));
        assert!(poll_once(serving.as_mut()).await.is_none());
        assert_eq!(transport.polls.get(), 1, "its connection is being opened");
        // Both are ready at the next poll, as after the process was held up.
        disconnected.set(true);
        let response = poll_once(serving.as_mut()).await;
        assert!(
            matches!(response, Some(FinalResponse::ClientDisconnected { in_doubt_at: None })),
            "{response:?}"
        );
        assert!(!transport.written.get(), "nothing is begun for a client that has disconnected");
    });
}

//! What becomes of a request whose client leaves in the moment in which an attempt could be written.

use futures_lite::future::{block_on, poll_fn, poll_once};
use pooler_proxy::metrics::Counters;
use pooler_proxy::request::{Asked, Carrier, Cut, Ended, Final, Sending, serve};
use pooler_proxy::router_handle::Driver;
use pooler_routing::*;
use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

/// A carrier whose connection comes up at the second look, and which writes at once then.
#[derive(Default)]
struct SecondLook {
    looks: Cell<u32>,
    written: Cell<bool>,
}

impl Carrier for SecondLook {
    type Query = ();
    type Reply = ();

    async fn attempt(&self, _: &EndpointId, _: &(), _: Duration, sending: &Sending<'_>) -> Ended<()> {
        poll_fn(|_| {
            self.looks.set(self.looks.get() + 1);
            if self.looks.get() < 2 {
                return Poll::Pending;
            }
            sending.sent.set(true);
            self.written.set(true);
            Poll::Pending
        })
        .await
    }
}

fn driver() -> Rc<Driver> {
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
    let (probes, _) = async_channel::unbounded();
    let driver = Driver::new(Router::new(1, settings), Rc::new(Counters::default()), probes);
    driver.feed(Event::EndpointUpdate(EndpointUpdate::Snapshot(vec![EndpointEntry {
        endpoint: EndpointId(Arc::from("s-1")),
        group: GroupId(0),
        lifecycle: Lifecycle::Active,
        primary: false,
        started_at: None,
        zone: String::new(),
    }])));
    Rc::new(driver)
}

#[test]
fn nothing_is_written_once_the_client_is_known_to_have_left() {
    block_on(async {
        let (driver, carrier, left) = (driver(), SecondLook::default(), Cell::new(false));
        let asked = Asked {
            class: ClassId(0),
            session: None,
            group: GroupId(0),
            deadline: driver.clock.now() + TimeDelta::from_millis(1_000),
            last_write: None,
            query: (),
        };
        let cut = poll_fn(|_| if left.get() { Poll::Ready(Cut::ClientLeft) } else { Poll::Pending });
        let mut serving = pin!(serve(&driver, &carrier, &asked, cut));
        assert!(poll_once(serving.as_mut()).await.is_none());
        assert_eq!(carrier.looks.get(), 1, "its connection is being opened");
        // Both are there by the next look, as after the process was held up.
        left.set(true);
        let answer = poll_once(serving.as_mut()).await;
        assert!(matches!(answer, Some(Final::Gone { at: None })), "{answer:?}");
        assert!(!carrier.written.get(), "nothing is begun for who has gone");
    });
}

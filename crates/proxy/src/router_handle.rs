//! Connects the router to the tasks of the proxy. Events are dispatched to the router, and each resulting
//! action is forwarded to the task that carries it out: the request concerned, the health checker or the
//! timer. No routing decision is made here.

use crate::clock::Clock;
use crate::metrics::Counters;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future::{or, yield_now};
use pooler_routing::{Action, EndpointId, Event, Request, RequestId, Router, TimeDelta, Timestamp};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// If a timer fires more than this after it was due, the process is taken to have been suspended.
const SUSPENSION_THRESHOLD: TimeDelta = TimeDelta::from_millis(5);
/// The delay of a timer after a suspension: long enough for the reactor to poll once and wake the tasks whose
/// sockets are ready.
const REACTOR_POLL_DELAY: Duration = Duration::from_millis(1);

/// A command of the router to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestCommand {
    /// Start an attempt.
    Send {
        /// The endpoint that the attempt is sent to.
        endpoint: EndpointId,
        /// How long to wait for the response.
        timeout: TimeDelta,
    },
    /// Respond that the request is rejected.
    Reject {
        /// The delay after which the client should retry; `None` if clients are given none.
        retry_after: Option<TimeDelta>,
    },
    /// Respond that the request has failed.
    Fail,
    /// Cancel the attempt in flight.
    CancelAttempt,
}

/// The router, together with its clock and the channels to the tasks that carry out its actions.
pub struct RouterHandle {
    clock: Clock,
    counters: Rc<Counters>,
    router: RefCell<Router>,
    /// The buffer for the router's actions: empty between events, and kept so that its allocation is reused.
    actions: RefCell<Vec<Action>>,
    command_channels: RefCell<HashMap<RequestId, Sender<RequestCommand>>>,
    last_request_id: Cell<u64>,
    timer_sender: Sender<Timestamp>,
    timer_receiver: Receiver<Timestamp>,
    health_checks: Sender<EndpointId>,
}

impl RouterHandle {
    /// Creates the handle of `router`. The endpoints that the router wants checked are sent to
    /// `health_checks`.
    #[must_use]
    pub fn new(router: Router, counters: Rc<Counters>, health_checks: Sender<EndpointId>) -> Self {
        let (timer_sender, timer_receiver) = async_channel::unbounded();
        Self {
            clock: Clock::start(),
            counters,
            router: RefCell::new(router),
            actions: RefCell::default(),
            command_channels: RefCell::default(),
            last_request_id: Cell::new(0),
            timer_sender,
            timer_receiver,
            health_checks,
        }
    }

    /// The current time on the router's clock: Unix time in microseconds.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// The counters that this handle and other tasks of the proxy increment.
    #[must_use]
    pub fn counters(&self) -> &Rc<Counters> {
        &self.counters
    }

    /// Dispatches an event to the router, and forwards the resulting actions.
    pub fn dispatch(&self, event: Event) {
        let mut actions = self.actions.take();
        self.router.borrow_mut().handle(self.clock.now(), event, &mut actions);
        for action in actions.drain(..) {
            self.forward(action);
        }
        self.actions.replace(actions);
    }

    fn forward(&self, action: Action) {
        match action {
            Action::Send { request, endpoint, timeout } => {
                self.send_command(request, RequestCommand::Send { endpoint, timeout });
            }
            Action::Reject { request, retry_after } => {
                self.send_command(request, RequestCommand::Reject { retry_after });
            }
            Action::Fail { request } => self.send_command(request, RequestCommand::Fail),
            Action::Cancel { request, .. } => self.send_command(request, RequestCommand::CancelAttempt),
            // Sending can't fail: both channels are unbounded, and their receivers live as long as the
            // process.
            Action::HealthCheck { endpoint } => drop(self.health_checks.try_send(endpoint)),
            Action::SetTimer { at } => drop(self.timer_sender.try_send(at)),
            // Nothing to start: discovery is watched all the time.
            Action::Subscribe => {}
            Action::Log { line } => tracing::info!(target: "decisions", "{line}"),
        }
    }

    /// Sends a command to a request. Commands to a request that has ended are dropped, since its channel is
    /// gone.
    fn send_command(&self, request: RequestId, command: RequestCommand) {
        if let Some(channel) = self.command_channels.borrow().get(&request) {
            drop(channel.try_send(command));
        }
    }

    /// Assigns an id and a command channel to a new request, and dispatches the request that `build` returns
    /// for them.
    pub fn start_request(
        self: &Rc<Self>,
        build: impl FnOnce(RequestId, Timestamp) -> Request,
    ) -> RequestHandle {
        let id = RequestId(self.last_request_id.get() + 1);
        self.last_request_id.set(id.0);
        let (sender, commands) = async_channel::unbounded();
        self.command_channels.borrow_mut().insert(id, sender);
        self.counters.requests.increment();
        self.dispatch(Event::Request(build(id, self.clock.now())));
        RequestHandle { router: self.clone(), id, commands }
    }

    /// Whether the router still allows an attempt of this request to be written to this endpoint.
    pub fn still_eligible(&self, request: RequestId, endpoint: &EndpointId) -> bool {
        self.router.borrow().still_eligible(self.clock.now(), request, endpoint)
    }

    /// Whether the router sends new work to an endpoint.
    pub fn accepts_new_work(&self, endpoint: &EndpointId) -> bool {
        self.router.borrow().accepts_new_work(endpoint)
    }

    /// Runs the router's timer; never returns. A newly set timer replaces the pending one: the router sets a
    /// timer only if it is due sooner than the pending one, or if that one has fired.
    pub async fn run_timer(&self) {
        let mut timer: Option<Timestamp> = None;
        loop {
            let reset = async { self.timer_receiver.recv().await.ok() };
            let fired = async {
                match timer {
                    Some(at) => drop(Timer::at(self.clock.instant(at)).await),
                    None => std::future::pending().await,
                }
                None
            };
            let next = or(reset, fired).await;
            if next.is_none() {
                self.fire_timer(timer).await;
            }
            timer = next;
        }
    }

    /// Dispatches a fired timer, but first lets requests whose responses have already arrived read them; the
    /// router would count those as overdue. Yielding runs the tasks that the same poll of the reactor woke.
    /// After a suspension of the process, the reactor is given time to poll once more and wake them.
    async fn fire_timer(&self, timer: Option<Timestamp>) {
        let lateness = timer.map_or(TimeDelta::ZERO, |at| self.clock.now() - at);
        self.counters.record_timer_lateness(lateness);
        if lateness > SUSPENSION_THRESHOLD {
            Timer::after(REACTOR_POLL_DELAY).await;
        }
        yield_now().await;
        self.dispatch(Event::TimerFired);
    }
}

/// The receiving end of a request's command channel. Dropping the handle closes the channel.
pub struct RequestHandle {
    router: Rc<RouterHandle>,
    id: RequestId,
    commands: Receiver<RequestCommand>,
}

impl RequestHandle {
    /// The id that the router knows the request by.
    #[must_use]
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// Waits for the router's next command to this request.
    pub async fn next_command(&self) -> RequestCommand {
        // The sender is dropped only when this handle is dropped.
        self.commands.recv().await.unwrap_or(RequestCommand::Fail)
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        self.router.command_channels.borrow_mut().remove(&self.id);
    }
}

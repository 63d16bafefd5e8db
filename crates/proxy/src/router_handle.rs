//! The handle of the router. It dispatches events to the router, and forwards each resulting action to the task that
//! carries it out: the request concerned, the health checker or the timer. It makes no decisions.

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

/// A timer that fires later than this shows that the process was suspended.
const LATE_TIMER: TimeDelta = TimeDelta::from_millis(5);
/// Long enough for one turn of the reactor.
const REACTOR_TURN: Duration = Duration::from_millis(1);

/// A command of the router to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestCommand {
    /// Start an attempt.
    Send {
        /// Where to.
        endpoint: EndpointId,
        /// How long to wait for its response.
        timeout: TimeDelta,
    },
    /// Respond that the request is rejected.
    Reject {
        /// When the client should retry.
        retry_after: Option<TimeDelta>,
    },
    /// Respond that the request has failed.
    Fail,
    /// Give up the attempt in flight.
    CancelAttempt,
}

/// The router, with its clock and the channels to the tasks that carry out its actions.
pub struct RouterHandle {
    clock: Clock,
    counters: Rc<Counters>,
    router: RefCell<Router>,
    /// Empty between events; kept for its allocation.
    actions: RefCell<Vec<Action>>,
    command_channels: RefCell<HashMap<RequestId, Sender<RequestCommand>>>,
    last_request_id: Cell<u64>,
    timer_sender: Sender<Timestamp>,
    timer_receiver: Receiver<Timestamp>,
    health_checks: Sender<EndpointId>,
}

impl RouterHandle {
    /// A handle of `router`; endpoints to check go to `health_checks`.
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

    /// The current time on the clock of all the router's timestamps.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// The counters.
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
                self.command(request, RequestCommand::Send { endpoint, timeout });
            }
            Action::Reject { request, retry_after } => {
                self.command(request, RequestCommand::Reject { retry_after });
            }
            Action::Fail { request } => self.command(request, RequestCommand::Fail),
            Action::Cancel { request, .. } => self.command(request, RequestCommand::CancelAttempt),
            // Both channels are unbounded, and their receivers live as long as the process.
            Action::HealthCheck { endpoint } => drop(self.health_checks.try_send(endpoint)),
            Action::SetTimer { at } => drop(self.timer_sender.try_send(at)),
            // Discovery is watched permanently.
            Action::Subscribe => {}
            Action::Log { line } => tracing::info!(target: "decisions", "{line}"),
        }
    }

    /// Sends a command to a request. A request that has ended has no channel any more, and its commands are dropped.
    fn command(&self, request: RequestId, command: RequestCommand) {
        if let Some(channel) = self.command_channels.borrow().get(&request) {
            drop(channel.try_send(command));
        }
    }

    /// Assigns a new id and a command channel to a request, and dispatches the request that `describe` builds.
    pub fn start_request(
        self: &Rc<Self>,
        describe: impl FnOnce(RequestId, Timestamp) -> Request,
    ) -> RequestHandle {
        let id = RequestId(self.last_request_id.get() + 1);
        self.last_request_id.set(id.0);
        let (sender, commands) = async_channel::unbounded();
        self.command_channels.borrow_mut().insert(id, sender);
        self.counters.requests.increment();
        self.dispatch(Event::Request(describe(id, self.clock.now())));
        RequestHandle { router: self.clone(), id, commands }
    }

    /// Whether the router still wants this attempt to be written.
    pub fn still_eligible(&self, request: RequestId, endpoint: &EndpointId) -> bool {
        self.router.borrow().still_eligible(self.clock.now(), request, endpoint)
    }

    /// Whether the router sends new work to an endpoint.
    pub fn accepts_new_work(&self, endpoint: &EndpointId) -> bool {
        self.router.borrow().accepts_new_work(endpoint)
    }

    /// Runs the router's timer, for ever. A newly set timer replaces the one before: the router sets one only if it is
    /// sooner, or the earlier has fired.
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

    /// Dispatches a fired timer, after the requests whose responses have arrived had the chance to read them: the router
    /// would count those as overdue. Tasks that the same turn of the reactor woke run first; if the process was
    /// suspended, the reactor gets another turn to wake them.
    async fn fire_timer(&self, timer: Option<Timestamp>) {
        if timer.is_some_and(|at| self.clock.now() - at > LATE_TIMER) {
            Timer::after(REACTOR_TURN).await;
        }
        yield_now().await;
        self.dispatch(Event::TimerFired);
    }
}

/// The receiving side of a request's command channel, which is closed on drop.
pub struct RequestHandle {
    router: Rc<RouterHandle>,
    id: RequestId,
    commands: Receiver<RequestCommand>,
}

impl RequestHandle {
    /// The request's id.
    #[must_use]
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// Waits for the next command.
    pub async fn next_command(&self) -> RequestCommand {
        // The sender is dropped only with this handle.
        self.commands.recv().await.unwrap_or(RequestCommand::Fail)
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        self.router.command_channels.borrow_mut().remove(&self.id);
    }
}

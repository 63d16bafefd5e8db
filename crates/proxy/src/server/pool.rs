//! The pool of connections to servers: idle ones are kept per endpoint, and new ones opened within a limit.

use super::attempt::{AttemptError, AttemptStage};
use super::connection::Connection;
use super::connection_limit::{ConnectionLimit, ConnectionPermit};
use crate::config::ProxySettings;
use crate::discovery::endpoint_directory::EndpointDirectory;
use crate::metrics::Counters;
use crate::router_handle::RouterHandle;
use async_io::Timer;
use futures_lite::future::or;
use pooler_routing::{EndpointId, LoadReportField};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// The fraction of the servers' idle timeout after which the pool closes an idle connection: a server that closes it
/// while a request is on its way loses that request.
const IDLE_FRACTION: f64 = 2.0 / 3.0;
/// The interval at which idle connections that can't be reused are closed.
const EVICTION_INTERVAL: Duration = Duration::from_millis(500);
/// The longest wait for a resource before it is tried again.
const RESOURCE_RETRY_DELAY: Duration = Duration::from_millis(20);
/// A connection is not reused for this long after a response while there are others: surplus messages of a server arrive
/// right after its response, and must not be taken for the next one.
const REST_AFTER_RESPONSE: Duration = Duration::from_millis(20);
/// The number of idle connections that may fail the validation before a new one is opened.
const MAX_VALIDATIONS: usize = 2;
/// The time limit of a validation, ten times what the farthest servers take. After a timeout a new connection is opened
/// at once.
const VALIDATION_TIMEOUT: Duration = Duration::from_millis(25);

/// The connections to all servers.
pub struct Pool {
    router: Rc<RouterHandle>,
    directory: Rc<EndpointDirectory>,
    counters: Rc<Counters>,
    settings: ProxySettings,
    limit: Rc<ConnectionLimit>,
    /// The idle connections of each endpoint, the most recently used last.
    idle: RefCell<HashMap<EndpointId, VecDeque<Connection>>>,
}

impl Pool {
    /// A pool of at most `max_connections`.
    #[must_use]
    pub fn new(
        router: Rc<RouterHandle>,
        directory: Rc<EndpointDirectory>,
        settings: ProxySettings,
        max_connections: usize,
    ) -> Self {
        let counters = router.counters().clone();
        let limit = Rc::new(ConnectionLimit::new(max_connections));
        Self { router, directory, counters, settings, limit, idle: RefCell::default() }
    }

    /// Closes idle connections that can't be reused, for ever.
    pub async fn run_idle_eviction(&self) {
        loop {
            Timer::after(EVICTION_INTERVAL).await;
            self.evict_idle();
        }
    }

    fn evict_idle(&self) {
        let max_idle = self.max_idle();
        self.idle.borrow_mut().retain(|endpoint, connections| {
            let address = self.directory.address(endpoint).filter(|_| self.accepts_new_work(endpoint));
            connections.retain(|connection| connection.is_reusable(address, max_idle));
            !connections.is_empty()
        });
    }

    /// Closes the longest idle connection; false if there is none.
    pub fn close_one_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle
            .values_mut()
            .filter(|connections| !connections.is_empty())
            .min_by_key(|connections| connections[0].idle_since());
        oldest.is_some_and(|connections| connections.pop_front().is_some())
    }

    /// Whether the router sends new work to an endpoint.
    pub(super) fn accepts_new_work(&self, endpoint: &EndpointId) -> bool {
        self.router.accepts_new_work(endpoint)
    }

    /// The fields of the servers' load reports, by name.
    pub(super) fn load_report_fields(&self) -> &[(String, LoadReportField)] {
        &self.settings.load_report_fields
    }

    fn max_idle(&self) -> Duration {
        self.settings.server_idle_timeout.mul_f64(IDLE_FRACTION)
    }

    /// A connection to an endpoint: an idle one that passes the validation, or else a new one. It waits while this
    /// machine is out of resources, which must not look like a failure of the endpoint.
    ///
    /// # Errors
    ///
    /// When a new connection can't be opened.
    pub(super) async fn acquire(
        &self,
        endpoint: &EndpointId,
        stage: &Cell<AttemptStage>,
    ) -> Result<Connection, AttemptError> {
        loop {
            if let Some(connection) = self.reuse(endpoint, stage).await {
                return Ok(connection);
            }
            stage.set(AttemptStage::Waiting);
            let permit = self.permit().await;
            stage.set(AttemptStage::Connecting);
            match with_timeout(self.settings.connect_timeout, self.connect(endpoint, permit)).await {
                // The system has run out before the limit is reached: closing an idle connection may help.
                Err(AttemptError::ResourceExhausted) => {
                    stage.set(AttemptStage::Waiting);
                    self.counters.resource_waits.increment();
                    self.close_one_idle();
                    Timer::after(RESOURCE_RETRY_DELAY).await;
                }
                other => return other,
            }
        }
    }

    /// Returns a connection at ReadyForQuery to the pool. It is closed if it has unread bytes, or the endpoint accepts no
    /// new work.
    pub(super) fn release(&self, endpoint: &EndpointId, mut connection: Connection) {
        if connection.has_unread() || !self.accepts_new_work(endpoint) {
            return;
        }
        connection.mark_idle();
        self.idle.borrow_mut().entry(endpoint.clone()).or_default().push_back(connection);
    }

    /// An idle connection that passes the validation. Those that fail it are closed; nothing of a request was sent on
    /// them.
    async fn reuse(&self, endpoint: &EndpointId, stage: &Cell<AttemptStage>) -> Option<Connection> {
        for _ in 0..MAX_VALIDATIONS {
            let mut connection = self.take_idle(endpoint)?;
            stage.set(AttemptStage::Connecting);
            match with_timeout(VALIDATION_TIMEOUT, connection.validate()).await {
                Ok(()) => return Some(connection),
                Err(error) => {
                    self.counters.failed_validations.increment();
                    if error == AttemptError::TimedOut {
                        return None;
                    }
                }
            }
        }
        None
    }

    /// The most recently used idle connection, so that the others reach their idle limit; one that has just brought a
    /// response only if there is no other.
    fn take_idle(&self, endpoint: &EndpointId) -> Option<Connection> {
        let address = self.directory.address(endpoint);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(endpoint)?;
        loop {
            let last = connections.len().checked_sub(1)?;
            let rested =
                connections.iter().rposition(|connection| connection.idle_for() >= REST_AFTER_RESPONSE);
            let connection = connections.remove(rested.unwrap_or(last))?;
            if connection.is_reusable(address, self.max_idle()) {
                return Some(connection);
            }
        }
    }

    /// The permit for one more connection. While the limit is reached it closes an idle one, or waits.
    async fn permit(&self) -> ConnectionPermit {
        while self.limit.is_reached() && !self.close_one_idle() {
            self.counters.resource_waits.increment();
            self.limit.wait_for_release(RESOURCE_RETRY_DELAY).await;
        }
        self.limit.acquire()
    }

    async fn connect(
        &self,
        endpoint: &EndpointId,
        permit: ConnectionPermit,
    ) -> Result<Connection, AttemptError> {
        let address = self.directory.address(endpoint).ok_or(AttemptError::ConnectionRefused)?;
        self.counters.server_connections_opened.increment();
        Connection::open(address, permit).await
    }
}

/// The result of `work`, unless it takes longer than `timeout`.
async fn with_timeout<T>(
    timeout: Duration,
    work: impl Future<Output = Result<T, AttemptError>>,
) -> Result<T, AttemptError> {
    let expired = async {
        Timer::after(timeout).await;
        Err(AttemptError::TimedOut)
    };
    or(work, expired).await
}

//! The pool of connections to servers. Idle connections are kept per endpoint; new ones are opened within a
//! limit.

use super::attempt::{AttemptError, AttemptStage};
use super::connection::Connection;
use super::connection_limit::{ConnectionLimit, ConnectionPermit};
use crate::config::ProxySettings;
use crate::discovery::endpoint_directory::EndpointDirectory;
use crate::memory_budget::MemoryBudget;
use crate::metrics::Counters;
use crate::router_handle::RouterHandle;
use async_io::Timer;
use futures_lite::future::or;
use pooler_routing::{EndpointId, LoadReportField};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// The fraction of the servers' idle timeout after which the pool closes an idle connection. A request that
/// is in transit when the server closes the connection is lost.
const MAX_IDLE_FRACTION: f64 = 2.0 / 3.0;
/// The interval at which idle connections that can't be reused are closed.
const EVICTION_INTERVAL: Duration = Duration::from_millis(500);
/// The longest wait for a connection permit or a resource of this machine before it is tried again.
const RESOURCE_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The time after a response during which a connection is not reused if another idle one is available.
/// Surplus messages of a server arrive directly after its response and must not be taken for the next
/// response.
const REUSE_DELAY: Duration = Duration::from_millis(20);
/// The number of idle connections that may fail validation before a new one is opened.
const MAX_VALIDATIONS: usize = 2;
/// The time limit of a validation, which is ten times as long as the most distant servers take. After a
/// timeout, a new connection is opened at once.
const VALIDATION_TIMEOUT: Duration = Duration::from_millis(25);

/// The connections to all servers.
pub struct Pool {
    router: Rc<RouterHandle>,
    directory: Rc<EndpointDirectory>,
    counters: Rc<Counters>,
    settings: ProxySettings,
    limit: Rc<ConnectionLimit>,
    memory: Rc<MemoryBudget>,
    /// The idle connections of each endpoint, with the most recently used one last.
    idle: RefCell<HashMap<EndpointId, VecDeque<Connection>>>,
}

impl Pool {
    /// A pool that opens at most `max_connections` connections in total. The responses that are read from them
    /// are counted in `memory`.
    #[must_use]
    pub fn new(
        router: Rc<RouterHandle>,
        directory: Rc<EndpointDirectory>,
        settings: ProxySettings,
        max_connections: usize,
        memory: Rc<MemoryBudget>,
    ) -> Self {
        let counters = router.counters().clone();
        let limit = Rc::new(ConnectionLimit::new(max_connections));
        Self { router, directory, counters, settings, limit, memory, idle: RefCell::default() }
    }

    /// Periodically closes idle connections that can't be reused; never returns.
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

    /// Closes the connection that has been idle the longest. Returns false if there is no idle connection.
    pub fn close_one_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle
            .values_mut()
            .filter(|connections| !connections.is_empty())
            .min_by_key(|connections| connections[0].idle_since());
        oldest.is_some_and(|connections| connections.pop_front().is_some())
    }

    /// The number of connections that are open or being opened.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.limit.open()
    }

    /// Whether the router still sends new work to an endpoint.
    pub(super) fn accepts_new_work(&self, endpoint: &EndpointId) -> bool {
        self.router.accepts_new_work(endpoint)
    }

    /// The names and kinds of the fields in the servers' load reports.
    pub(super) fn load_report_fields(&self) -> &[(String, LoadReportField)] {
        &self.settings.load_report_fields
    }

    fn max_idle(&self) -> Duration {
        self.settings.server_idle_timeout.mul_f64(MAX_IDLE_FRACTION)
    }

    /// Returns an idle connection that passes validation, or else a new one. Waits while this machine is out
    /// of resources, since that must not count as a failure of the endpoint.
    ///
    /// # Errors
    ///
    /// Fails if a new connection can't be opened.
    pub(super) async fn acquire(
        &self,
        endpoint: &EndpointId,
        stage: &Cell<AttemptStage>,
    ) -> Result<Connection, AttemptError> {
        loop {
            if let Some(connection) = self.reuse_idle(endpoint, stage).await {
                return Ok(connection);
            }
            stage.set(AttemptStage::AwaitingResources);
            let permit = self.acquire_permit().await;
            stage.set(AttemptStage::Connecting);
            match with_timeout(self.settings.connect_timeout, self.connect(endpoint, permit)).await {
                // The system ran out of resources below the connection limit; closing an idle connection may
                // free some.
                Err(AttemptError::ResourceExhausted) => {
                    stage.set(AttemptStage::AwaitingResources);
                    self.counters.resource_waits.increment();
                    self.close_one_idle();
                    Timer::after(RESOURCE_RETRY_DELAY).await;
                }
                other => return other,
            }
        }
    }

    /// Returns a connection to the pool after ReadyForQuery was read from it. The connection is closed
    /// instead if it has unread bytes or its endpoint accepts no new work.
    pub(super) fn release(&self, endpoint: &EndpointId, mut connection: Connection) {
        if connection.has_unread() || !self.accepts_new_work(endpoint) {
            return;
        }
        connection.mark_idle();
        self.idle.borrow_mut().entry(endpoint.clone()).or_default().push_back(connection);
    }

    /// Returns an idle connection that passes validation. Connections that fail it are closed; no part of a
    /// request has been sent on them.
    async fn reuse_idle(&self, endpoint: &EndpointId, stage: &Cell<AttemptStage>) -> Option<Connection> {
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

    /// Removes the most recently used idle connection, so that the others reach their idle limit. A
    /// connection within the reuse delay after a response is taken only if there is no other.
    fn take_idle(&self, endpoint: &EndpointId) -> Option<Connection> {
        let address = self.directory.address(endpoint);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(endpoint)?;
        loop {
            let last = connections.len().checked_sub(1)?;
            let past_delay = connections.iter().rposition(|connection| connection.idle_for() >= REUSE_DELAY);
            let connection = connections.remove(past_delay.unwrap_or(last))?;
            if connection.is_reusable(address, self.max_idle()) {
                return Some(connection);
            }
        }
    }

    /// Returns a permit for one more connection. While the limit is reached, closes an idle connection or
    /// waits.
    async fn acquire_permit(&self) -> ConnectionPermit {
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
        Connection::open(address, permit, self.memory.clone()).await
    }
}

/// Returns the result of `work`, or [`AttemptError::TimedOut`] if it takes longer than `timeout`.
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

//! Assembles a pooler: creates its components from the configuration, connects them, and starts their tasks.

use crate::client::accept;
use crate::client::cancellation::CancellationKeys;
use crate::client::connection_slots::{ConnectionSlots, SlotLimits};
use crate::client::context::{ClientContext, RequestClass};
use crate::client::discarding::Discarder;
use crate::client::in_doubt_writes::InDoubtWrites;
use crate::client::open_request_ids::OpenRequestIds;
use crate::config::Config;
use crate::discovery::address::DiscoveryAddress;
use crate::discovery::backoff::Backoff;
use crate::discovery::endpoint_directory::{EndpointDirectory, EndpointUpdates};
use crate::discovery::watch::Watcher;
use crate::lifecycle::reload::Reloader;
use crate::lifecycle::shutdown::Shutdown;
use crate::lifecycle::signals::SignalHandler;
use crate::lifecycle::stages::ShutdownStages;
use crate::memory_budget::{MemoryBudget, MemoryLimits, Reservation};
use crate::memory_report::MemoryReport;
use crate::metrics::{Counters, StatusReport};
use crate::router_handle::RouterHandle;
use crate::server::health_checks;
use crate::server::pool::Pool;
use crate::socket_budget::SocketBudget;
use crate::startup_retry::retry_transient;
use async_executor::LocalExecutor;
use async_io::Async;
use pooler_routing::{EndpointId, Router, Settings, TimeDelta};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;

/// The retry-after for clients rejected for lack of a free slot: by then other clients have been served.
const NO_SLOT_RETRY_AFTER: TimeDelta = TimeDelta::from_millis(250);

/// The reason why a pooler can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The listening socket for clients can't be opened.
    #[error("listening on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// The signal handlers can't be installed.
    #[error("installing signal handlers: {0}")]
    Signals(std::io::Error),
}

/// The components that the pooler keeps once its tasks are started.
pub(crate) struct Assembly {
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) stages: Rc<ShutdownStages>,
    pub(crate) status_report: Rc<StatusReport>,
    pub(crate) updates: EndpointUpdates,
    pub(crate) memory: Rc<MemoryBudget>,
    pub(crate) listening: SocketAddr,
}

impl Assembly {
    /// Creates the components, listens for clients and signals, and starts all tasks.
    pub(crate) fn start(config: &Config, config_file: PathBuf) -> Result<Self, StartError> {
        let (components, health_checks) = Components::new(config);
        let watcher = components.watcher(config);
        // The configured endpoint list is applied before discovery reports: the pooler serves from it while
        // discovery is down.
        watcher.apply(config.known_endpoints.clone());
        let listener = retry_transient(|| accept::listen(config.listen))
            .map_err(|error| StartError::Listen(config.listen, error))?;
        let listening = listener.get_ref().local_addr().unwrap_or(config.listen);
        components.signal_handler(config, config_file).start().map_err(StartError::Signals)?;
        components.spawn_tasks(components.client_context(config), health_checks, watcher, listener);
        let Components { executor, stages, status_report, updates, memory, .. } = components;
        Ok(Self { executor, stages, status_report, updates, memory, listening })
    }
}

/// The components that several tasks share.
struct Components {
    executor: Rc<LocalExecutor<'static>>,
    counters: Rc<Counters>,
    status_report: Rc<StatusReport>,
    stages: Rc<ShutdownStages>,
    router: Rc<RouterHandle>,
    pool: Rc<Pool>,
    slots: Rc<ConnectionSlots>,
    memory: Rc<MemoryBudget>,
    memory_report: Rc<MemoryReport>,
    in_doubt_writes: Rc<InDoubtWrites>,
    discovery: Rc<DiscoveryAddress>,
    updates: EndpointUpdates,
}

impl Components {
    /// Creates the components; also returns the receiver of the endpoints that need a health check.
    fn new(config: &Config) -> (Self, async_channel::Receiver<EndpointId>) {
        let counters = Rc::new(Counters::default());
        let (health_checks, requested_health_checks) = async_channel::unbounded();
        let router = Router::new(config.seed, config.settings.clone());
        let router = Rc::new(RouterHandle::new(router, counters.clone(), health_checks));
        let memory_limits = MemoryLimits::new(config.max_memory, config.max_descriptors);
        let directory = Rc::new(EndpointDirectory::new(memory_limits.endpoints));
        let memory = Rc::new(MemoryBudget::new(memory_limits.counted, counters.clone()));
        let budget = SocketBudget::new(memory_limits.descriptors);
        let (proxy, max_servers) = (config.proxy.clone(), budget.servers);
        let pool = Pool::new(router.clone(), directory.clone(), proxy, max_servers, memory.clone());
        let slot_limits = SlotLimits {
            clients: budget.clients,
            rejected: budget.rejected_clients,
            established: budget.established_clients,
        };
        let (pool, slots) = (Rc::new(pool), Rc::new(ConnectionSlots::new(slot_limits, counters.clone())));
        let memory_report = Rc::new(MemoryReport::new(
            config.max_memory,
            counters.clone(),
            memory.clone(),
            slots.clone(),
            pool.clone(),
            directory.clone(),
        ));
        let in_doubt_writes = Rc::new(InDoubtWrites::default());
        let status_report = Rc::new(StatusReport::new(counters.clone()));
        status_report.add_section(memory_report.clone());
        status_report.add_section(in_doubt_writes.clone());
        let components = Self {
            executor: Rc::new(LocalExecutor::new()),
            counters,
            status_report,
            stages: Rc::new(ShutdownStages::default()),
            updates: EndpointUpdates::new(directory, router.clone()),
            router,
            pool,
            slots,
            memory,
            memory_report,
            in_doubt_writes,
            discovery: Rc::new(DiscoveryAddress::new(config.discovery_address)),
        };
        (components, requested_health_checks)
    }

    fn watcher(&self, config: &Config) -> Watcher {
        let backoff = Backoff::new(config.seed, config.settings.router_count, config.proxy.shared_discovery);
        Watcher::new(
            self.discovery.clone(),
            self.updates.clone(),
            self.counters.clone(),
            backoff,
            self.memory.clone(),
        )
    }

    fn signal_handler(&self, config: &Config, config_file: PathBuf) -> SignalHandler {
        let slots = self.slots.clone();
        SignalHandler {
            executor: self.executor.clone(),
            status_report: self.status_report.clone(),
            reloader: Rc::new(Reloader::new(config_file, self.discovery.clone(), self.counters.clone())),
            shutdown: Shutdown {
                stages: self.stages.clone(),
                connected_clients: Box::new(move || slots.open_connections()),
                longest_deadline: config.proxy.longest_deadline,
            },
        }
    }

    fn client_context(&self, config: &Config) -> ClientContext {
        let classes = &config.settings.classes;
        ClientContext {
            executor: self.executor.clone(),
            router: self.router.clone(),
            pool: self.pool.clone(),
            counters: self.counters.clone(),
            shutdown_stages: self.stages.clone(),
            slots: self.slots.clone(),
            classes: classes.iter().map(request_class).collect(),
            in_doubt_writes: self.in_doubt_writes.clone(),
            longest_deadline: config.proxy.longest_deadline,
            open_request_ids: OpenRequestIds::new(Reservation::new(self.memory.clone())),
            cancellation_keys: CancellationKeys::default(),
            no_slot_retry_after: no_slot_retry_after(&config.settings),
            discarder: Rc::new(Discarder::new()),
            memory: self.memory.clone(),
        }
    }

    fn spawn_tasks(
        &self,
        client_context: ClientContext,
        health_checks: async_channel::Receiver<EndpointId>,
        watcher: Watcher,
        listener: Async<TcpListener>,
    ) {
        let Self { executor, router, pool, .. } = self;
        let (timer, idle_eviction) = (router.clone(), pool.clone());
        executor.spawn(async move { timer.run_timer().await }).detach();
        executor.spawn(async move { idle_eviction.run_idle_eviction().await }).detach();
        let memory_report = self.memory_report.clone();
        executor.spawn(async move { memory_report.run().await }).detach();
        let health_checker =
            health_checks::run(executor.clone(), router.clone(), pool.clone(), health_checks);
        executor.spawn(health_checker).detach();
        executor.spawn(watcher.run()).detach();
        executor.spawn(accept::run(Rc::new(client_context), listener)).detach();
    }
}

/// Reduces a request class to the properties that the client side uses.
fn request_class(class: &pooler_routing::RequestClass) -> RequestClass {
    RequestClass { name: class.name.clone(), operation: class.operation, idempotency: class.idempotency }
}

/// The retry-after for clients rejected for lack of a free slot; `None` if the settings don't allow a
/// retry-after.
fn no_slot_retry_after(settings: &Settings) -> Option<TimeDelta> {
    settings.retry_after_allowed.then(|| NO_SLOT_RETRY_AFTER.min(settings.max_retry_after))
}

//! The daemon: the decisions on real sockets. One executor on one thread carries all tasks.

pub mod buffer;
pub mod client;
pub mod clock;
pub mod config;
pub mod discovery;
pub mod latch;
pub mod lifecycle;
pub mod metrics;
pub mod protocol;
pub mod request;
pub mod resource_exhaustion;
pub mod router_handle;
pub mod server;
pub mod startup_retry;
pub mod time_conversion;

use crate::config::Config;
use async_executor::LocalExecutor;
use client::connection_slots::Slots;
use client::in_doubt_writes::Doubts;
use client::{accept, read_ahead, session_keys};
use discovery::endpoint_directory::{EndpointDirectory, EndpointUpdates};
use discovery::watch::{self, Follower, Pauses, Source};
use lifecycle::reload::Reloader;
use lifecycle::shutdown::Shutdown;
use lifecycle::signals;
use lifecycle::stages::ShutdownStages;
use metrics::{Counters, StatusReport};
use pooler_routing::{Router, TimeDelta};
use router_handle::RouterHandle;
use server::health_checks;
use server::pool::Pool;
use std::cell::RefCell;
use std::fmt::Display;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

/// Bytes that nobody wants are read so many at a time.
const SCRATCH: usize = 64 * 1024;

/// When a client comes back for which there was no room: by then others have been answered.
const FULL_RETRY_AFTER: TimeDelta = TimeDelta::from_millis(250);

/// Why the daemon ended.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// Clients can't be listened for.
    #[error("listening on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// Signals can't be had.
    #[error("signals: {0}")]
    Signals(std::io::Error),
}

/// A pooler that listens, with nothing served yet. Further sources of members are put beside it before it runs.
pub struct Pooler {
    executor: Rc<LocalExecutor<'static>>,
    stages: Rc<ShutdownStages>,
    status_report: Rc<StatusReport>,
    updates: EndpointUpdates,
    name: String,
    listening: SocketAddr,
}

impl Pooler {
    /// Opens all that a pooler needs. `config_file` is where `config` was read, and is read again on SIGHUP.
    ///
    /// # Errors
    ///
    /// When it can't listen, or signals can't be had.
    pub fn new(config: Config, config_file: PathBuf) -> Result<Self, RunError> {
        let counters = Rc::new(Counters::default());
        let status_report = Rc::new(StatusReport::new(counters.clone()));
        let stages = Rc::new(ShutdownStages::default());
        let members = Rc::new(EndpointDirectory::default());
        let executor = Rc::new(LocalExecutor::new());
        let (probes, wanted) = async_channel::unbounded();
        let classes =
            config.settings.classes.iter().map(|class| (class.name.clone(), class.operation)).collect();
        let pauses = Pauses::new(config.seed, config.settings.router_count, config.host.shared_discovery);
        let full_retry_after = config
            .settings
            .retry_after_allowed
            .then(|| FULL_RETRY_AFTER.min(config.settings.max_retry_after));
        let router = Router::new(config.seed, config.settings);
        let router = Rc::new(RouterHandle::new(router, counters.clone(), probes));
        let longest_deadline = config.host.longest_deadline;
        // Of the descriptors some are kept for the process itself and for clients that are told to go away.
        let reserve = (config.sockets / 4).min(40);
        let shared = config.sockets - reserve;
        let (spare_clients, most_upstream) = ((shared / 24).max(8).min(shared / 4), shared * 3 / 8);
        let pool = Rc::new(Pool::new(router.clone(), members.clone(), config.host, most_upstream));
        let source = Rc::new(Source::new(config.discovery));
        let updates = EndpointUpdates::new(members, router.clone());
        let slots = Slots::new(shared - most_upstream - spare_clients, spare_clients, config.sockets / 4);
        let slots = Rc::new(slots);
        let doubts = Rc::new(Doubts::default());
        status_report.add_section(doubts.clone());
        let reloader = Rc::new(Reloader::new(config_file, source.clone(), counters.clone()));
        let connected = slots.clone();
        let shutdown = Shutdown {
            stages: stages.clone(),
            connected_clients: Box::new(move || connected.taken()),
            longest_deadline,
        };
        let handler = signals::Handler {
            executor: executor.clone(),
            status_report: status_report.clone(),
            reloader,
            shutdown,
        };
        let frontend = accept::Frontend {
            executor: executor.clone(),
            router: router.clone(),
            pool: pool.clone(),
            counters: counters.clone(),
            stages: stages.clone(),
            slots,
            classes,
            doubts,
            longest_deadline,
            open_ids: RefCell::default(),
            sessions: session_keys::Sessions::default(),
            full_retry_after,
            ahead: Rc::new(read_ahead::Shared::new(SCRATCH)),
        };

        // The list last held comes first: a pooler serves from it while discovery is down.
        let follower = Follower::new(source, updates.clone(), counters);
        follower.take(&config.known, true);
        let listener = startup_retry::retry_transient(|| accept::listen(config.listen))
            .map_err(|error| RunError::Listen(config.listen, error))?;
        let listening = listener.get_ref().local_addr().unwrap_or(config.listen);
        signals::listen(handler).map_err(RunError::Signals)?;
        let (a, b) = (router.clone(), pool.clone());
        executor.spawn(async move { a.run_timer().await }).detach();
        executor.spawn(async move { b.run_idle_eviction().await }).detach();
        executor.spawn(health_checks::run(executor.clone(), router, pool, wanted)).detach();
        executor.spawn(watch::run(follower, config.known.generation, pauses)).detach();
        executor.spawn(accept::run(Rc::new(frontend), listener)).detach();
        Ok(Self { executor, stages, status_report, updates, name: config.name, listening })
    }

    /// The way in for what a further source of members tells.
    #[must_use]
    pub fn endpoint_updates(&self) -> EndpointUpdates {
        self.updates.clone()
    }

    /// Where it listens.
    #[must_use]
    pub fn listening(&self) -> SocketAddr {
        self.listening
    }

    /// How far its life has come.
    #[must_use]
    pub fn shutdown_stages(&self) -> Rc<ShutdownStages> {
        self.stages.clone()
    }

    /// Has a task run beside the others, for as long as the pooler does.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Has this status_report beside the counters, on request and at the end.
    pub fn add_to_status_report(&self, section: Rc<dyn Display>) {
        self.status_report.add_section(section);
    }

    /// Serves until it has drained after a signal, and then does the `last` thing.
    pub fn run(self, last: impl Future<Output = ()>) {
        tracing::info!("{} listening on {}", self.name, self.listening);
        async_io::block_on(self.executor.run(async {
            self.stages.terminated.wait().await;
            last.await;
        }));
        self.status_report.log();
    }
}

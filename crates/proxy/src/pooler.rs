//! The pooler's public interface: construction, extension points and the main loop.

use crate::assembly::{Assembly, StartError};
use crate::config::Config;
use crate::discovery::endpoint_directory::EndpointUpdates;
use crate::lifecycle::stages::ShutdownStages;
use crate::memory_budget::Reservation;
use std::fmt::Display;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

/// A pooler whose sockets are open; it serves clients once [`run`](Self::run) is called. Further sources of
/// endpoints are added before that.
pub struct Pooler {
    name: String,
    assembly: Assembly,
}

impl Pooler {
    /// Creates a pooler and opens its sockets. `config_file` is the file that `config` was loaded from; it is
    /// read again on SIGHUP.
    ///
    /// # Errors
    ///
    /// When the listening socket can't be opened, or the signal handlers can't be installed.
    pub fn new(config: Config, config_file: PathBuf) -> Result<Self, StartError> {
        Ok(Self { assembly: Assembly::start(&config, config_file)?, name: config.name })
    }

    /// The interface through which a further source of endpoints reports its updates.
    #[must_use]
    pub fn endpoint_updates(&self) -> EndpointUpdates {
        self.assembly.updates.clone()
    }

    /// An empty reservation in the pooler's memory budget, for what a further source of endpoints holds.
    #[must_use]
    pub fn memory_reservation(&self) -> Reservation {
        Reservation::new(self.assembly.memory.clone())
    }

    /// The address on which the pooler listens for clients.
    #[must_use]
    pub fn listening(&self) -> SocketAddr {
        self.assembly.listening
    }

    /// The stages of the graceful shutdown.
    #[must_use]
    pub fn shutdown_stages(&self) -> Rc<ShutdownStages> {
        self.assembly.stages.clone()
    }

    /// Runs an additional task on the pooler's executor for as long as the pooler runs.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.assembly.executor.spawn(task).detach();
    }

    /// Adds a section to the status report, which is logged on SIGUSR1 and at exit.
    pub fn add_to_status_report(&self, section: Rc<dyn Display>) {
        self.assembly.status_report.add_section(section);
    }

    /// Serves clients until a signal has shut the pooler down, then awaits `last` and logs the status report.
    pub fn run(self, last: impl Future<Output = ()>) {
        let Assembly { executor, stages, status_report, listening, .. } = self.assembly;
        tracing::info!("{} listening on {listening}", self.name);
        async_io::block_on(executor.run(async {
            stages.terminated.wait().await;
            last.await;
        }));
        status_report.log();
        tracing::info!("{} ends after its shutdown", self.name);
    }
}

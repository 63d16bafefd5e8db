//! The pooler, as the program uses it.

use crate::assembly::{Assembly, StartError};
use crate::config::Config;
use crate::discovery::endpoint_directory::EndpointUpdates;
use crate::lifecycle::stages::ShutdownStages;
use std::fmt::Display;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

/// A pooler that listens, and serves nothing until it runs. Further sources of endpoints are added before that.
pub struct Pooler {
    name: String,
    assembly: Assembly,
}

impl Pooler {
    /// Creates a pooler and opens its sockets. `config_file` is the file of `config`, which is read again on SIGHUP.
    ///
    /// # Errors
    ///
    /// When it can't listen, or signals can't be handled.
    pub fn new(config: Config, config_file: PathBuf) -> Result<Self, StartError> {
        Ok(Self { assembly: Assembly::start(&config, config_file)?, name: config.name })
    }

    /// Accepts what a further source of endpoints reports.
    #[must_use]
    pub fn endpoint_updates(&self) -> EndpointUpdates {
        self.assembly.updates.clone()
    }

    /// The address that it listens on.
    #[must_use]
    pub fn listening(&self) -> SocketAddr {
        self.assembly.listening
    }

    /// The stages of its shutdown.
    #[must_use]
    pub fn shutdown_stages(&self) -> Rc<ShutdownStages> {
        self.assembly.stages.clone()
    }

    /// Runs a task beside the others, for as long as the pooler runs.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.assembly.executor.spawn(task).detach();
    }

    /// Adds a section to the report that is logged on request and at exit.
    pub fn add_to_status_report(&self, section: Rc<dyn Display>) {
        self.assembly.status_report.add_section(section);
    }

    /// Serves until a signal has shut it down, and then awaits `last`.
    pub fn run(self, last: impl Future<Output = ()>) {
        let Assembly { executor, stages, status_report, listening, .. } = self.assembly;
        tracing::info!("{} listening on {listening}", self.name);
        async_io::block_on(executor.run(async {
            stages.terminated.wait().await;
            last.await;
        }));
        status_report.log();
    }
}

//! Signals: SIGTERM and SIGINT shut the pooler down, SIGHUP reads the configuration again, SIGUSR1 logs the
//! status report.

use crate::lifecycle::reload::Reloader;
use crate::lifecycle::shutdown::Shutdown;
use crate::metrics::StatusReport;
use crate::startup_retry::retry_transient;
use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use futures_lite::future::or;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// The interval at which the flags are checked. The signal pipe wakes the task at once, but the handler's
/// write to it can fail.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The pause after an error of the pipe, so that one that persists is not retried in a busy loop.
const ERROR_DELAY: Duration = Duration::from_millis(1);

/// What a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Log the status report.
    LogStatus,
    /// Read the configuration again.
    Reload,
    /// Shut down.
    ShutDown,
}

/// The commands that signals have requested and that were not taken yet. Only a signal can set one.
#[derive(Debug, Default)]
pub struct PendingCommands {
    log_status: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
    shut_down: Arc<AtomicBool>,
}

impl PendingCommands {
    /// Registers handlers for the process's signals.
    ///
    /// # Errors
    ///
    /// When a handler can't be set.
    pub fn register() -> io::Result<Self> {
        let pending = Self::default();
        let flags = [
            (SIGUSR1, &pending.log_status),
            (SIGHUP, &pending.reload),
            (SIGTERM, &pending.shut_down),
            (SIGINT, &pending.shut_down),
        ];
        for (signal, flag) in flags {
            signal_hook::flag::register(signal, flag.clone())?;
        }
        Ok(pending)
    }

    /// Takes the commands that are pending, each once; the shutdown comes last.
    pub fn take(&self) -> impl Iterator<Item = Command> {
        let flags = [
            (&self.log_status, Command::LogStatus),
            (&self.reload, Command::Reload),
            (&self.shut_down, Command::ShutDown),
        ];
        flags.into_iter().filter_map(|(flag, command)| flag.swap(false, Ordering::SeqCst).then_some(command))
    }
}

/// Carries out what signals request.
pub(crate) struct SignalHandler {
    /// Runs reloads and the shutdown.
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    /// Logged on request.
    pub(crate) status_report: Rc<StatusReport>,
    /// Reads the configuration again.
    pub(crate) reloader: Rc<Reloader>,
    /// Shuts the pooler down.
    pub(crate) shutdown: Shutdown,
}

impl SignalHandler {
    /// Handles signals from now on, in a task of the executor.
    ///
    /// # Errors
    ///
    /// When a handler can't be set.
    pub(crate) fn start(self) -> io::Result<()> {
        // The flags are registered first: they are set by the time that the pipe wakes.
        let pending = PendingCommands::register()?;
        let signals =
            retry_transient(|| Signals::new([Signal::Term, Signal::Int, Signal::Hup, Signal::Usr1]))?;
        let executor = self.executor.clone();
        executor.spawn(self.run(pending, signals)).detach();
        Ok(())
    }

    async fn run(self, pending: PendingCommands, mut signals: Signals) {
        let Self { executor, status_report, reloader, shutdown } = self;
        let mut shutdown = Some(shutdown);
        loop {
            for command in pending.take() {
                match command {
                    Command::LogStatus => status_report.log(),
                    Command::Reload => executor.spawn(reloader.clone().reload()).detach(),
                    // Repeated requests change nothing.
                    Command::ShutDown => {
                        if let Some(shutdown) = shutdown.take() {
                            executor.spawn(shutdown.run()).detach();
                        }
                    }
                }
            }
            wait_for_signal(&mut signals).await;
        }
    }
}

/// Waits until a signal may have arrived.
async fn wait_for_signal(signals: &mut Signals) {
    let arrived = async {
        if !matches!(signals.next().await, Some(Ok(_))) {
            Timer::after(ERROR_DELAY).await;
        }
    };
    let interval = async {
        Timer::after(CHECK_INTERVAL).await;
    };
    or(arrived, interval).await;
}

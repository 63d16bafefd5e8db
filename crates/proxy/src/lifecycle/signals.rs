//! Signal handling: SIGTERM and SIGINT shut the pooler down, SIGHUP reloads the configuration, SIGUSR1 logs
//! the status report.

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

/// The interval at which the flags are checked in any case. The signal pipe wakes the task at once, but the
/// signal handler's write to the pipe can fail.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The delay after an error of the signal pipe, so that a persistent error does not cause a busy loop.
const ERROR_DELAY: Duration = Duration::from_millis(1);

/// A command that the pooler carries out on a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalCommand {
    /// Log the status report (SIGUSR1).
    LogStatus,
    /// Reload the configuration (SIGHUP).
    Reload,
    /// Shut the pooler down gracefully (SIGTERM or SIGINT).
    ShutDown,
}

/// The commands that signals have requested and that have not been taken yet. Only a signal can set one.
#[derive(Debug, Default)]
pub struct PendingCommands {
    log_status: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
    shut_down: Arc<AtomicBool>,
}

impl PendingCommands {
    /// Registers handlers for the signals that request a command.
    ///
    /// # Errors
    ///
    /// Fails if a signal handler can't be registered.
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

    /// Takes the pending commands, each once, with the shutdown last.
    pub fn take(&self) -> impl Iterator<Item = SignalCommand> {
        let flags = [
            (&self.log_status, SignalCommand::LogStatus),
            (&self.reload, SignalCommand::Reload),
            (&self.shut_down, SignalCommand::ShutDown),
        ];
        flags.into_iter().filter_map(|(flag, command)| flag.swap(false, Ordering::SeqCst).then_some(command))
    }
}

/// Carries out the commands that signals request.
pub(crate) struct SignalHandler {
    /// Runs the signal task, the reloads and the shutdown.
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    /// The report that is logged on SIGUSR1.
    pub(crate) status_report: Rc<StatusReport>,
    /// Reloads the configuration on SIGHUP.
    pub(crate) reloader: Rc<Reloader>,
    /// Runs on the first SIGTERM or SIGINT.
    pub(crate) shutdown: Shutdown,
}

impl SignalHandler {
    /// Starts a task of the executor that handles signals from now on.
    ///
    /// # Errors
    ///
    /// Fails if a signal handler can't be registered.
    pub(crate) fn start(self) -> io::Result<()> {
        // The flags are registered before the pipe, so that a flag is set by the time the pipe wakes the
        // task.
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
                    SignalCommand::LogStatus => status_report.log(),
                    SignalCommand::Reload => executor.spawn(reloader.clone().reload()).detach(),
                    // Only the first request starts the shutdown.
                    SignalCommand::ShutDown => {
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

/// Waits until a signal has arrived or the check interval has passed.
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

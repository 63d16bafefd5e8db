//! Signals: SIGTERM or SIGINT drains the pooler, SIGHUP reads the configuration again, SIGUSR1 prints the counters.

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

/// How often the flags are looked at. The pipe tells at once, but a write to it from the handler can fail, and nobody
/// would send the signal again.
const LOOK: Duration = Duration::from_millis(100);
/// The pause after an error of the pipe, which must not spin should it last.
const ERROR_PAUSE: Duration = Duration::from_millis(1);

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Print the counters.
    Report,
    /// Read the configuration again.
    Reload,
    /// Drain, and end.
    End,
}

/// What has been asked for by signals and not yet been taken. Only a signal can raise it.
#[derive(Debug, Default)]
pub struct Requests {
    report: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
    end: Arc<AtomicBool>,
}

impl Requests {
    /// Requests that the process's signals raise from now on.
    ///
    /// # Errors
    ///
    /// When a handler can't be set.
    pub fn register() -> io::Result<Self> {
        let requests = Self::default();
        let flags = [
            (SIGUSR1, &requests.report),
            (SIGHUP, &requests.reload),
            (SIGTERM, &requests.end),
            (SIGINT, &requests.end),
        ];
        for (signal, flag) in flags {
            signal_hook::flag::register(signal, flag.clone())?;
        }
        Ok(requests)
    }

    /// Takes what has been asked for, each once; the end comes last.
    pub fn take(&self) -> impl Iterator<Item = Command> {
        let flags =
            [(&self.report, Command::Report), (&self.reload, Command::Reload), (&self.end, Command::End)];
        flags.into_iter().filter_map(|(flag, command)| flag.swap(false, Ordering::SeqCst).then_some(command))
    }
}

/// What signals act on.
pub(crate) struct Handler {
    /// What carries the tasks.
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    /// What is counted.
    pub(crate) status_report: Rc<StatusReport>,
    /// Reads the configuration again.
    pub(crate) reloader: Rc<Reloader>,
    /// Ends the pooler.
    pub(crate) shutdown: Shutdown,
}

/// Handles signals until the pooler has drained.
///
/// # Errors
///
/// When signals can't be had.
pub(crate) fn listen(handler: Handler) -> io::Result<()> {
    // The flags come first: whatever the pipe tells is raised by then.
    let requests = Requests::register()?;
    let signals = retry_transient(|| Signals::new([Signal::Term, Signal::Int, Signal::Hup, Signal::Usr1]))?;
    let executor = handler.executor.clone();
    executor.spawn(run(handler, requests, signals)).detach();
    Ok(())
}

async fn run(handler: Handler, requests: Requests, mut signals: Signals) {
    let Handler { executor, status_report, reloader, shutdown } = handler;
    let mut shutdown = Some(shutdown);
    loop {
        for command in requests.take() {
            match command {
                Command::Report => status_report.log(),
                Command::Reload => executor.spawn(reloader.clone().reload()).detach(),
                // Once is enough.
                Command::End => {
                    if let Some(shutdown) = shutdown.take() {
                        executor.spawn(shutdown.run()).detach();
                    }
                }
            }
        }
        wait(&mut signals).await;
    }
}

/// Waits until a signal may have come.
async fn wait(signals: &mut Signals) {
    let told = async {
        if !matches!(signals.next().await, Some(Ok(_))) {
            Timer::after(ERROR_PAUSE).await;
        }
    };
    let look = async {
        Timer::after(LOOK).await;
    };
    or(told, look).await;
}

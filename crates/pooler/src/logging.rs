//! Logging to standard error, as text or as one JSON object per line.

use pooler_operator_config::{LogFormat, LogLevel, LogSettings};
use std::io::{self, Write};
use tracing::Level;

/// A writer to standard error that drops all output it can't write, since standard error may be closed.
struct LossyStderr;

impl Write for LossyStderr {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = io::stderr().write_all(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Logs each panic, which ends the process, before the standard report of it.
fn log_panics() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        tracing::error!("the process ends: {panic}");
        report(panic);
    }));
}

/// Installs the process-wide `tracing` subscriber, and logs panics to it; must be called only once.
pub fn init(settings: &LogSettings) {
    let level = match settings.level {
        LogLevel::Error => Level::ERROR,
        LogLevel::Warn => Level::WARN,
        LogLevel::Info => Level::INFO,
        LogLevel::Debug => Level::DEBUG,
    };
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(|| LossyStderr)
        .with_ansi(false)
        // By default, the subscriber's own errors go to standard error and end the process if it is closed.
        .log_internal_errors(false);
    match settings.format {
        LogFormat::Text => subscriber.with_target(false).init(),
        LogFormat::Json => subscriber.json().flatten_event(true).init(),
    }
    log_panics();
}

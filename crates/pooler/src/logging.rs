//! The log on standard error: text, or one JSON object a line.

use pooler_operator_config::{LogFormat, LogLevel, LogSettings};
use std::io::{self, Write};
use tracing::Level;

/// Standard error, which may be closed: what can't be written is dropped.
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

/// Installs the log for the rest of the process.
pub fn start(settings: &LogSettings) {
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
        // The subscriber would report its own errors to standard error, and end the process where that is closed.
        .log_internal_errors(false);
    match settings.format {
        LogFormat::Text => subscriber.with_target(false).init(),
        LogFormat::Json => subscriber.json().flatten_event(true).init(),
    }
}

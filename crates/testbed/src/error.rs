//! Errors that prevent a run of the testbed from completing.

use crate::scenario::ScenarioError;
use std::process::ExitStatus;

/// An error that prevents a run from completing. Faults of the pooler in a run are not errors, but part of
/// the run's outcome.
#[derive(Debug, thiserror::Error)]
pub enum TestbedError {
    /// An operation on a socket, a file or a process failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The pooler's log line about its listen address does not end with an address.
    #[error("the pooler's log line does not end with a listen address: '{line}'")]
    NoListenAddress {
        /// The log line.
        line: String,
    },
    /// The pooler exited before it logged an expected line.
    #[error("the pooler exited with {status}; its log:\n{log}")]
    PoolerExited {
        /// The exit status of the pooler.
        status: ExitStatus,
        /// The complete log of the pooler.
        log: String,
    },
    /// The pooler did not log an expected line within [`WAIT_TIMEOUT`](crate::WAIT_TIMEOUT).
    #[error("the pooler logged no line containing '{text}'; its log:\n{log}")]
    NoLogLine {
        /// The text that the line must contain.
        text: String,
        /// The complete log of the pooler.
        log: String,
    },
    /// The pooler did not exit within [`WAIT_TIMEOUT`](crate::WAIT_TIMEOUT).
    #[error("the pooler did not exit in time")]
    PoolerDidNotExit,
    /// A condition was not met within [`WAIT_TIMEOUT`](crate::WAIT_TIMEOUT).
    #[error("timed out waiting for: {0}")]
    TimedOut(&'static str),
    /// The operating system does not report a statistic of a process, such as its memory use.
    #[error("cannot determine {0} of the process")]
    MissingProcessStatistic(&'static str),
    /// A scenario file cannot be read or parsed.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
}

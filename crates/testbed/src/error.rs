//! What can keep a run of the testbed from being played.

use crate::scenario::ScenarioError;
use std::process::ExitStatus;

/// Why a run could not be played. What the pooler does wrong in a run is no error, but part of the run's outcome.
#[derive(Debug, thiserror::Error)]
pub enum TestbedError {
    /// A socket, file or process could not be had.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The pooler's first log line does not end with its address.
    #[error("no address in '{line}'")]
    NoListenAddress {
        /// The line.
        line: String,
    },
    /// The pooler ended while a log line was waited for.
    #[error("the pooler ended with {status}:\n{log}")]
    PoolerEnded {
        /// How it ended.
        status: ExitStatus,
        /// All that it logged.
        log: String,
    },
    /// The pooler did not log what was waited for.
    #[error("no line with '{text}':\n{log}")]
    NoLogLine {
        /// What the line had to hold.
        text: String,
        /// All that it logged.
        log: String,
    },
    /// The pooler did not end when it was told to.
    #[error("the pooler does not end")]
    PoolerDoesNotEnd,
    /// Something did not happen in time.
    #[error("waited in vain: {0}")]
    TimedOut(&'static str),
    /// The system does not give a figure of a process.
    #[error("no {0} of the process")]
    NoProcessFigure(&'static str),
    /// A file of scenarios is of no use.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
}

//! Why the adapter stopped.

use pooler_routing::settings::SettingsError;
use std::io;

/// Why the adapter stopped.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdapterError {
    /// Reading or writing failed.
    #[error("input or output: {0}")]
    Io(#[from] io::Error),
    /// A line could not be understood.
    #[error("line {number}: {error}")]
    Line {
        /// Its number, from 1.
        number: u64,
        /// What is wrong.
        error: LineError,
    },
    /// The input ended inside a batch.
    #[error("line {line_number}: the input ended inside a batch, before 'commit'")]
    UnfinishedBatch {
        /// The last line's number.
        line_number: u64,
    },
}

/// Why a line could not be understood. Fields are called as the simulator's protocol calls them.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LineError {
    /// The line ends before a field that its message has.
    #[error("{0} is missing")]
    MissingField(&'static str),
    /// A field that can't be empty is.
    #[error("{0} is empty")]
    EmptyField(&'static str),
    /// An unsigned integer was expected.
    #[error("{field}: '{text}' is no whole number")]
    NotAnInteger {
        /// The field.
        field: &'static str,
        /// Its text.
        text: String,
    },
    /// A number was expected.
    #[error("{field}: '{text}' is no number")]
    NotANumber {
        /// The field.
        field: &'static str,
        /// Its text.
        text: String,
    },
    /// A comma-separated row of numbers was expected.
    #[error("{field}: '{text}' is no row of numbers")]
    NotNumbers {
        /// The field.
        field: &'static str,
        /// Its text.
        text: String,
    },
    /// A word is none of those that the field accepts.
    #[error("unknown {field} '{word}'")]
    UnknownWord {
        /// The field.
        field: &'static str,
        /// The word.
        word: String,
    },
    /// A message other than an entry came before an endpoint list was complete.
    #[error("'{0}' where a list line 'm' is due")]
    EntryExpected(String),
    /// A message other than the begin of a batch came outside of one.
    #[error("'{0}' outside a batch")]
    OutsideBatch(String),
    /// A message is for an instance that does not run.
    #[error("instance {0} is not running")]
    UnknownInstance(u64),
    /// An endpoint list was never sent.
    #[error("list {0} was never sent")]
    UnknownList(u64),
    /// The settings of an instance are wrong.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

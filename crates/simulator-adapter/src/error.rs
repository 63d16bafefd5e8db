//! Errors that stop the adapter.

use pooler_routing::settings::SettingsError;
use std::io;

/// An error that stops the adapter.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdapterError {
    /// Reading the input or writing the output failed.
    #[error("input or output failed: {0}")]
    Io(#[from] io::Error),
    /// A line of the input is invalid.
    #[error("line {number}: {error}")]
    Line {
        /// The number of the line, from 1.
        number: u64,
        /// The fault in the line.
        error: LineError,
    },
    /// The input ended inside a batch.
    #[error("line {line_number}: the input ended inside a batch, before 'commit'")]
    UnfinishedBatch {
        /// The number of the last line of the input.
        line_number: u64,
    },
}

/// A fault in a line of the input. Fields have the names that the simulator's protocol gives them.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LineError {
    /// The line ends before a field that its message requires.
    #[error("field {0} is missing")]
    MissingField(&'static str),
    /// A field that must not be empty is empty.
    #[error("field {0} is empty")]
    EmptyField(&'static str),
    /// A field is not an unsigned integer.
    #[error("field {field}: '{text}' is not an unsigned integer")]
    NotAnInteger {
        /// The name of the field.
        field: &'static str,
        /// The text of the field.
        text: String,
    },
    /// A field is not a valid number.
    #[error("field {field}: '{text}' is not a valid number")]
    NotANumber {
        /// The name of the field.
        field: &'static str,
        /// The text of the field.
        text: String,
    },
    /// A field is not a comma-separated list of numbers.
    #[error("field {field}: '{text}' is not a comma-separated list of numbers")]
    NotNumbers {
        /// The name of the field.
        field: &'static str,
        /// The text of the field.
        text: String,
    },
    /// A field is not one of the words that the protocol defines for it.
    #[error("unknown {field} '{word}'")]
    UnknownWord {
        /// The name of the field.
        field: &'static str,
        /// The text of the field.
        word: String,
    },
    /// Another message arrived before the entries of an endpoint list were complete.
    #[error("message '{0}' instead of an endpoint list entry 'm'")]
    EntryExpected(String),
    /// A message that does not start a batch arrived outside of a batch.
    #[error("message '{0}' outside a batch")]
    OutsideBatch(String),
    /// A message is addressed to an instance that is not running.
    #[error("instance {0} is not running")]
    UnknownInstance(u64),
    /// A message refers to an endpoint list that the simulator has not sent.
    #[error("endpoint list {0} was never sent")]
    UnknownList(u64),
    /// The settings of an instance cannot be decoded.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

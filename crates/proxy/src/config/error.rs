//! Why a configuration can't be used.

use pooler_routing::settings::SettingsError;

/// Why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("configuration {path}: {error}")]
    Read {
        /// The file's path.
        path: String,
        /// The system's error.
        error: std::io::Error,
    },
    /// The file is not the expected JSON; the error names the line and column.
    #[error("configuration: {0}")]
    Json(#[from] serde_json::Error),
    /// Something is wrong with the content of a file.
    #[error("{path}: {error}")]
    InFile {
        /// The file's path.
        path: String,
        /// What is wrong.
        error: Box<ConfigError>,
    },
    /// A setting is missing or unreadable.
    #[error("configuration: {0}")]
    Settings(#[from] SettingsError),
    /// The process may open fewer descriptors than a pooler needs.
    #[error("configuration: limits.sockets is {given}, and at least {needed} are needed")]
    TooFewSockets {
        /// The configured number of descriptors.
        given: usize,
        /// The number of descriptors that a pooler needs.
        needed: usize,
    },
    /// The seed is not a hexadecimal number.
    #[error("configuration: seed '{0}' is no hexadecimal number")]
    Seed(String),
}

impl ConfigError {
    /// Whether the file may be usable shortly afterwards: it could not be read, or is truncated like one that is just
    /// being written. Errors in a complete file are permanent.
    #[must_use]
    pub fn is_transient(&self) -> bool {
        match self {
            Self::Read { .. } => true,
            Self::Json(error) => error.is_eof() || error.is_syntax(),
            Self::InFile { error, .. } => error.is_transient(),
            Self::Settings(_) | Self::TooFewSockets { .. } | Self::Seed(_) => false,
        }
    }
}

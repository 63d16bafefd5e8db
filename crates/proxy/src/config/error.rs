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
    /// It is not the JSON that was expected; the error has the line and column.
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
    /// The process may hold fewer descriptors than a pooler needs.
    #[error("configuration: limits.sockets is {given}, and at least {needed} are needed")]
    TooFewSockets {
        /// The descriptors that it may hold.
        given: usize,
        /// The descriptors that it needs.
        needed: usize,
    },
    /// The seed is no hexadecimal number.
    #[error("configuration: seed '{0}' is no hexadecimal number")]
    Seed(String),
}

impl ConfigError {
    /// Whether the file may be usable a moment later: it could not be read, or breaks off as one does that is just being
    /// written. What is wrong with a complete file stays wrong.
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

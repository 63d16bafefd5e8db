//! Errors of loading and decoding a configuration.

use pooler_routing::settings::SettingsError;

/// The reason why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("configuration {path}: {error}")]
    Read {
        /// The file's path.
        path: String,
        /// The I/O error.
        error: std::io::Error,
    },
    /// The file is not JSON, or doesn't have the expected structure; the error names the line and column.
    #[error("configuration: {0}")]
    Json(#[from] serde_json::Error),
    /// The content of a file is invalid.
    #[error("{path}: {error}")]
    InFile {
        /// The file's path.
        path: String,
        /// The error in the content.
        error: Box<ConfigError>,
    },
    /// A setting is missing or invalid.
    #[error("configuration: {0}")]
    Settings(#[from] SettingsError),
    /// The process may open fewer file descriptors than a pooler requires.
    #[error("configuration: limits.sockets is {configured}, but at least {required} are required")]
    TooFewDescriptors {
        /// The configured number of file descriptors.
        configured: usize,
        /// The least number of file descriptors that a pooler requires.
        required: usize,
    },
    /// The process may use less memory than a pooler requires.
    #[error("configuration: limits.memory_mb is {configured}, but at least {required} are required")]
    TooLittleMemory {
        /// The configured memory in MiB.
        configured: f64,
        /// The least memory that a pooler requires, in MiB.
        required: f64,
    },
    /// The seed is not a hexadecimal number.
    #[error("configuration: seed '{0}' is not a hexadecimal number")]
    Seed(String),
}

impl ConfigError {
    /// Whether another read shortly afterwards may succeed: the file could not be read, or its JSON is
    /// truncated or malformed, as it is while the file is being written. Errors in a complete file are
    /// permanent.
    #[must_use]
    pub fn is_transient(&self) -> bool {
        match self {
            Self::Read { .. } => true,
            Self::Json(error) => error.is_eof() || error.is_syntax(),
            Self::InFile { error, .. } => error.is_transient(),
            Self::Settings(_)
            | Self::TooFewDescriptors { .. }
            | Self::TooLittleMemory { .. }
            | Self::Seed(_) => false,
        }
    }
}

//! The operator's file: the settings of an installation that the platform's own configuration does not hold.
//!
//! The file is written in a strict subset of CUE and unified with a schema that is part of the program. Each
//! error is reported with its position, and a file with any error is rejected as a whole.
//!
//! The stages are the parser (text to syntax tree), the resolver (syntax tree to values), unification (of the
//! file with the schema), the export (to concrete values, with defaults filled in) and the decoder (to
//! settings, with the checks that a schema can't express). Only the errors of the first stage that fails are
//! reported.

mod decode;
mod diagnostic;
mod evaluate;
mod export;
mod parser;
mod resolve;
mod settings;
mod suggestion;
mod syntax;
mod unify;
mod value;

pub use diagnostic::{Diagnostic, DiagnosticKind, OperatorConfigError, Position, SettingError};
pub use settings::{
    ClientIdentitySettings, FetchMode, LogFormat, LogLevel, LogSettings, MetadataKeys, NetworkSettings,
    OperatorConfig, RegistrationSettings, RegistrySettings, ServerSettings, UserSettings,
};

use diagnostic::Diagnostics;
use std::path::Path;

/// The CUE schema of the operator's file, which `pooler check --schema` prints.
pub const SCHEMA: &str = include_str!("schema.cue");

/// The maximum size of an operator's file in bytes; a longer file is rejected.
pub const MAX_FILE_BYTES: usize = 256 * 1024;

impl OperatorConfig {
    /// Reads and decodes the file at `path`.
    ///
    /// # Errors
    ///
    /// When the file can't be read or is invalid.
    pub fn load(path: &Path) -> Result<Self, OperatorConfigError> {
        let name = path.display().to_string();
        match std::fs::read(path) {
            Ok(bytes) => Self::decode(&name, &bytes),
            Err(error) => {
                let diagnostic = Diagnostic::of_file(DiagnosticKind::Io(error));
                Err(OperatorConfigError::new(&name, diagnostic.into()))
            }
        }
    }

    /// Decodes the contents of a file; errors show the file's `name`.
    ///
    /// # Errors
    ///
    /// When the contents are too long, are not UTF-8, or are invalid.
    pub fn decode(name: &str, bytes: &[u8]) -> Result<Self, OperatorConfigError> {
        decode_file(bytes).map_err(|diagnostics| OperatorConfigError::new(name, diagnostics))
    }
}

fn decode_file(bytes: &[u8]) -> Result<OperatorConfig, Diagnostics> {
    if bytes.len() > MAX_FILE_BYTES {
        return Err(Diagnostic::of_file(DiagnosticKind::FileTooLong { max_bytes: MAX_FILE_BYTES }).into());
    }
    let text =
        std::str::from_utf8(bytes).map_err(|error| Diagnostic::of_file(DiagnosticKind::NotUtf8(error)))?;
    let schema = parser::parse(SCHEMA).map_err(|diagnostic| {
        Diagnostic::of_file(DiagnosticKind::InvalidSchema(Box::new(diagnostic.kind)))
    })?;
    let file = parser::parse(text)?;
    let exported = evaluate::evaluate(&schema, &file)?;
    decode::decode(&exported)
}

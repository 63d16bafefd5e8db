//! The operator's file: what an installation configures beside the platform's own configuration.
//!
//! It is written in a strict subset of CUE and unified with a schema that is part of the program. All that is wrong
//! with a file is reported with its position, and a file with an error changes nothing.
//!
//! The stages are the parser (text to syntax tree), the resolver (syntax tree to values), unification (file with
//! schema), the export (defaults filled in) and the decoder (settings, with the checks that a schema can't express).

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

/// The schema, to read and for `pooler check --schema`.
pub const SCHEMA: &str = include_str!("schema.cue");

/// A longer file is not read.
pub const MAX_FILE_BYTES: usize = 256 * 1024;

impl OperatorConfig {
    /// Reads the file at `path`.
    ///
    /// # Errors
    ///
    /// When it can't be read, or something in it is wrong.
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

    /// Decodes a file's text; `name` is the file's, for its errors.
    ///
    /// # Errors
    ///
    /// When something in it is wrong.
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
    let tree = evaluate::evaluate(&schema, &file)?;
    decode::decode(&tree)
}

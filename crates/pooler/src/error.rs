//! Errors of the commands, with their exit codes.

use pooler_operator_config::OperatorConfigError;
use pooler_proxy::StartError;
use pooler_proxy::config::ConfigError;
use pooler_service_registry::client::{CallError, SetupError};
use std::io;

/// Exit code for an invalid configuration: `EX_CONFIG` of `sysexits.h`.
const EXIT_CONFIG: u8 = 78;
/// Exit code for all other errors.
const EXIT_FAILURE: u8 = 1;

/// An error that ends a command.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    #[error("no configuration file: pass its path as the only argument, or set GW_CONFIG")]
    MissingConfig,
    #[error(
        "nothing to check: pass the path of an operator's file, or of a configuration file with --config"
    )]
    NothingToCheck,
    #[error("the operator's file configures no registry")]
    NoRegistry,
    #[error(transparent)]
    OperatorFile(#[from] OperatorConfigError),
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    RegistrySetup(#[from] SetupError),
    /// The errors of the checked files, one entry for each file that has errors.
    #[error("{}", join_lines(.0))]
    InvalidFiles(Vec<CommandError>),
    #[error(transparent)]
    Start(#[from] StartError),
    #[error("no registry server returned a usable response; last error: {0}")]
    RegistryUnavailable(#[from] CallError),
    #[error(transparent)]
    Output(#[from] io::Error),
}

impl CommandError {
    /// The text for standard error: one line or several.
    pub fn message(&self) -> String {
        match self {
            // No prefix, so that a line can begin with the path of its file.
            Self::InvalidFiles(_) => self.to_string(),
            _ => format!("pooler: {self}"),
        }
    }

    /// The exit code of the process for this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::MissingConfig
            | Self::NothingToCheck
            | Self::NoRegistry
            | Self::OperatorFile(_)
            | Self::Config(_)
            | Self::RegistrySetup(_)
            | Self::InvalidFiles(_) => EXIT_CONFIG,
            Self::Start(_) | Self::RegistryUnavailable(_) | Self::Output(_) => EXIT_FAILURE,
        }
    }
}

fn join_lines(errors: &[CommandError]) -> String {
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

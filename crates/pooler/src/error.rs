//! Why a command failed, and the exit code for it.

use pooler_operator_config::OperatorConfigError;
use pooler_proxy::StartError;
use pooler_proxy::config::ConfigError;
use pooler_service_registry::client::{CallError, SetupError};
use std::io;

/// The exit code for a configuration that can't be used, as sysexits.h has it.
const EXIT_CONFIG: u8 = 78;
/// The exit code for any other failure.
const EXIT_FAILURE: u8 = 1;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    #[error("name a configuration, as GW_CONFIG or as the only argument")]
    MissingConfig,
    #[error("nothing to check: name an operator's file, or a configuration with --config")]
    NothingToCheck,
    #[error("no registry stands in this file")]
    NoRegistry,
    #[error(transparent)]
    OperatorFile(#[from] OperatorConfigError),
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    RegistrySetup(#[from] SetupError),
    /// All that is wrong with the files that were checked.
    #[error("{}", lines(.0))]
    InvalidFiles(Vec<CommandError>),
    #[error(transparent)]
    Start(#[from] StartError),
    #[error("no server of the registry answered: {0}")]
    RegistryUnavailable(#[from] CallError),
    #[error(transparent)]
    Output(#[from] io::Error),
}

impl CommandError {
    /// The line or lines for standard error.
    pub fn message(&self) -> String {
        match self {
            // Each line begins with the name of its file.
            Self::InvalidFiles(_) => self.to_string(),
            _ => format!("pooler: {self}"),
        }
    }

    /// The exit code of the process.
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

fn lines(errors: &[CommandError]) -> String {
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

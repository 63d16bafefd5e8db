//! `pooler check`: checks the configuration files without starting the pooler, and reports all errors.

use crate::cli::CheckArguments;
use crate::error::CommandError;
use crate::registry_config::registry_config;
use pooler_operator_config::{OperatorConfig, SCHEMA};
use pooler_proxy::config::Config;
use std::path::Path;

/// Checks the given files, or only prints the schema of the operator's file if that is requested.
pub fn check(arguments: CheckArguments) -> Result<(), CommandError> {
    if arguments.schema {
        print!("{SCHEMA}");
        return Ok(());
    }
    if arguments.file.is_none() && arguments.config.is_none() {
        return Err(CommandError::NothingToCheck);
    }
    let operator_error = arguments.file.and_then(|path| check_operator_file(&path).err());
    let config_error = arguments.config.and_then(|path| Config::load(&path).err());
    let errors: Vec<CommandError> =
        operator_error.into_iter().chain(config_error.map(CommandError::from)).collect();
    if errors.is_empty() { Ok(()) } else { Err(CommandError::InvalidFiles(errors)) }
}

/// Checks the operator's file, and the password and certificate files that it names.
fn check_operator_file(path: &Path) -> Result<(), CommandError> {
    let operator = OperatorConfig::load(path)?;
    if let Some(settings) = &operator.registry {
        registry_config(settings, None)?.build_client()?;
    }
    Ok(())
}

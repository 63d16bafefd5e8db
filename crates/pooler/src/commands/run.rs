//! `pooler run`: serves clients until a signal shuts the process down.

use crate::cli::RunArguments;
use crate::error::CommandError;
use crate::{logging, registry_discovery};
use pooler_operator_config::OperatorConfig;
use pooler_proxy::Pooler;
use pooler_proxy::config::Config;

/// Loads the configuration and serves clients; returns once the pooler has drained after a signal.
pub fn run(arguments: RunArguments) -> Result<(), CommandError> {
    let config_file = arguments.config.ok_or(CommandError::MissingConfig)?;
    let operator = match &arguments.operator {
        None => OperatorConfig::default(),
        Some(path) => OperatorConfig::load(path)?,
    };
    let config = Config::load_at_start(&config_file)?;
    logging::init(&operator.log);
    let (name, seed) = (config.name.clone(), config.seed);
    let pooler = Pooler::new(config, config_file)?;
    match &operator.registry {
        None => pooler.run(std::future::ready(())),
        Some(settings) => {
            let deregistration = registry_discovery::start(&pooler, settings, &name, seed)?;
            pooler.run(deregistration);
        }
    }
    Ok(())
}

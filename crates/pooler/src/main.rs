//! The pooler's process: the command line, the log, and the wiring of the proxy with a service registry.

mod cli;
mod commands;
mod error;
mod logging;
mod registry_config;
mod registry_discovery;

use clap::Parser;
use cli::{Cli, Command};
use error::CommandError;
use std::io::Write;
use std::process::ExitCode;

fn main() -> ExitCode {
    let cli = Cli::parse();
    let result = match cli.command {
        None => commands::run::run(cli.run),
        Some(Command::Run(arguments)) => commands::run::run(arguments),
        Some(Command::Check(arguments)) => commands::check::check(arguments),
        Some(Command::ListEndpoints(arguments)) => commands::list_endpoints::list_endpoints(&arguments),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report(&error),
    }
}

fn report(error: &CommandError) -> ExitCode {
    // A closed standard error changes nothing.
    let _ = writeln!(std::io::stderr(), "{}", error.message());
    ExitCode::from(error.exit_code())
}

//! The pooler's process: command line, logging, and service-registry discovery for the proxy.

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
        Err(error) => report_error(&error),
    }
}

/// Writes the error to standard error, and returns the exit code of the process.
fn report_error(error: &CommandError) -> ExitCode {
    // The exit code is the same if standard error is closed.
    let _ = writeln!(std::io::stderr(), "{}", error.message());
    ExitCode::from(error.exit_code())
}

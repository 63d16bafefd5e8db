//! The command line of the pooler. The doc comments of these types are its help texts.

use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;

/// A PostgreSQL pooler that routes reads and writes to a primary and its replicas.
#[derive(Parser)]
#[command(name = "pooler", version, args_conflicts_with_subcommands = true)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Option<Command>,
    #[command(flatten)]
    pub run: RunArguments,
}

#[derive(Subcommand)]
pub enum Command {
    /// Run the pooler in the foreground (the default command).
    Run(RunArguments),
    /// Check configuration files without starting the pooler, and report all errors.
    Check(CheckArguments),
    /// Poll the service registry once, and print the endpoints that the pooler would use.
    #[command(name = "members")]
    ListEndpoints(ListEndpointsArguments),
}

#[derive(Args)]
pub struct RunArguments {
    /// The platform's configuration file.
    #[arg(env = "GW_CONFIG")]
    pub config: Option<PathBuf>,
    /// The operator's file.
    #[arg(long, env = "LINNETDEAL_OPERATOR")]
    pub operator: Option<PathBuf>,
}

#[derive(Args)]
pub struct CheckArguments {
    /// The operator's file to check, together with the files that it names.
    pub file: Option<PathBuf>,
    /// The platform's configuration file to check.
    #[arg(long, env = "GW_CONFIG")]
    pub config: Option<PathBuf>,
    /// Print the schema of the operator's file, and exit.
    #[arg(long)]
    pub schema: bool,
}

#[derive(Args)]
pub struct ListEndpointsArguments {
    /// The operator's file.
    #[arg(long, env = "LINNETDEAL_OPERATOR")]
    pub operator: PathBuf,
    /// Print one JSON object instead of a table.
    #[arg(long)]
    pub json: bool,
}

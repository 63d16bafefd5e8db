//! The command line.

use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;

/// A pooler that routes reads and writes over a primary and its replicas.
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
    /// Serve, in the foreground. This is what happens without a command, too.
    Run(RunArguments),
    /// Read the files that a start would read, and report all that is wrong with them.
    Check(CheckArguments),
    /// Poll the registry once, and print the endpoints that this pooler would use.
    #[command(name = "members")]
    ListEndpoints(ListEndpointsArguments),
}

#[derive(Args)]
pub struct RunArguments {
    /// The platform's configuration.
    #[arg(env = "GW_CONFIG")]
    pub config: Option<PathBuf>,
    /// The operator's file.
    #[arg(long, env = "LINNETDEAL_OPERATOR")]
    pub operator: Option<PathBuf>,
}

#[derive(Args)]
pub struct CheckArguments {
    /// An operator's file.
    pub file: Option<PathBuf>,
    /// The platform's configuration.
    #[arg(long, env = "GW_CONFIG")]
    pub config: Option<PathBuf>,
    /// Print the schema of the operator's file and end.
    #[arg(long)]
    pub schema: bool,
}

#[derive(Args)]
pub struct ListEndpointsArguments {
    /// The operator's file.
    #[arg(long, env = "LINNETDEAL_OPERATOR")]
    pub operator: PathBuf,
    /// As one JSON object.
    #[arg(long)]
    pub json: bool,
}

//! The testbed's command line.

mod commands;

use clap::{Parser, Subcommand};
use commands::{failover, model, registry_benchmark, registry_scenarios};
use pooler_testbed::demo;
use pooler_testbed::error::TestbedError;
use pooler_testbed::model::Bounds;
use pooler_testbed::pooler_process::default_program;
use std::path::PathBuf;
use std::process::ExitCode;

/// Fake servers, scenarios and a model checker around the pooler, on loopback only.
#[derive(Parser)]
#[command(name = "pooler-testbed", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play scenarios against a fake registry, and print what came out as one JSON object.
    Eureka {
        /// A file of scenarios; the built-in ones without it.
        #[arg(long)]
        script: Option<PathBuf>,
        /// Only scenarios whose names hold this.
        #[arg(long, default_value = "")]
        only: String,
        /// For the clients' choices.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Scenarios that are played at the same time.
        #[arg(long, default_value_t = 3)]
        side_by_side: usize,
    },
    /// Measure what registries of different sizes cost the pooler, a JSON object a line.
    EurekaBench {
        /// Instances.
        #[arg(long, value_delimiter = ',', default_value = "200,2000,20000")]
        sizes: Vec<usize>,
    },
    /// Have a primary die at each point of a write, in each way, and hand over by plan; print what came out.
    Primary {
        /// Only cases whose names hold this.
        #[arg(long, default_value = "")]
        only: String,
        /// Cases that are played at the same time.
        #[arg(long, default_value_t = 4)]
        side_by_side: usize,
        /// How often each case is played.
        #[arg(long, default_value_t = 1)]
        times: usize,
    },
    /// Check the decisions through all orders of a change of primary, within bounds.
    Model {
        /// Routers.
        #[arg(long, default_value_t = 2)]
        routers: usize,
        /// Writes asked of each.
        #[arg(long, default_value_t = 1)]
        writes: usize,
        /// Responses lost beside those that a death loses.
        #[arg(long, default_value_t = 1)]
        losses: u8,
        /// Routers that crash.
        #[arg(long, default_value_t = 1)]
        crashes: u8,
    },
    /// A registry, servers, a pooler and clients on loopback, to look at.
    Demo {
        /// Ends after so many seconds; 0 is for ever.
        #[arg(long, default_value_t = 0)]
        seconds: u64,
    },
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("pooler-testbed: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a command; whether all came out as it should.
fn run(command: Command) -> Result<bool, TestbedError> {
    match command {
        Command::Eureka { script, only, seed, side_by_side } => {
            registry_scenarios::run(&registry_scenarios::Options {
                file: script,
                only,
                seed,
                at_a_time: side_by_side,
            })
        }
        Command::Primary { only, side_by_side, times } => {
            failover::run(&failover::Options { only, at_a_time: side_by_side, times })
        }
        Command::Model { routers, writes, losses, crashes } => {
            let bounds = Bounds { routers, writes, losses, crashes, drains: true, wrong_reset: false };
            Ok(model::run(bounds))
        }
        Command::EurekaBench { sizes } => registry_benchmark::run(&sizes).map(|()| true),
        Command::Demo { seconds } => demo::run(&default_program(), seconds).map(|()| true),
    }
}

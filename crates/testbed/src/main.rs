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

/// Tests the pooler with fake servers, scenarios and a model checker, on loopback only.
#[derive(Parser)]
#[command(name = "pooler-testbed", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run scenarios against a fake Eureka registry; prints a line for each and a JSON summary.
    Eureka {
        /// Scenario file; the built-in scenarios by default.
        #[arg(long)]
        script: Option<PathBuf>,
        /// Run only scenarios whose names contain this text.
        #[arg(long, default_value = "")]
        only: String,
        /// Seed of the clients' random choices.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Maximum number of scenarios that run in parallel.
        #[arg(long, default_value_t = 3)]
        side_by_side: usize,
    },
    /// Measure the pooler's CPU and memory use by size of the registry; prints a JSON object per size.
    EurekaBench {
        /// Numbers of registered instances to measure with.
        #[arg(long, value_delimiter = ',', default_value = "200,2000,20000")]
        sizes: Vec<usize>,
    },
    /// Crash the primary at each point of a write in each mode, and hand over as planned; prints the
    /// outcomes.
    Primary {
        /// Run only cases whose names contain this text.
        #[arg(long, default_value = "")]
        only: String,
        /// Maximum number of cases that run in parallel.
        #[arg(long, default_value_t = 4)]
        side_by_side: usize,
        /// Number of runs of each case.
        #[arg(long, default_value_t = 1)]
        times: usize,
    },
    /// Model-check the routing decisions in all orders of events around a change of primary, within bounds.
    Model {
        /// Number of routers.
        #[arg(long, default_value_t = 2)]
        routers: usize,
        /// Writes requested from each router.
        #[arg(long, default_value_t = 1)]
        writes: usize,
        /// Responses that may be lost in addition to those lost when the primary dies.
        #[arg(long, default_value_t = 1)]
        losses: u8,
        /// Maximum number of router crashes.
        #[arg(long, default_value_t = 1)]
        crashes: u8,
    },
    /// Run a registry, servers, a pooler and clients on loopback, and print the traffic each second.
    Demo {
        /// Seconds to run; 0 runs until interrupted.
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

/// Runs a command, and returns whether all checks passed.
fn run(command: Command) -> Result<bool, TestbedError> {
    match command {
        Command::Eureka { script, only, seed, side_by_side } => {
            registry_scenarios::run(&registry_scenarios::Options {
                file: script,
                only,
                seed,
                max_parallel: side_by_side,
            })
        }
        Command::Primary { only, side_by_side, times } => {
            failover::run(&failover::Options { only, max_parallel: side_by_side, times })
        }
        Command::Model { routers, writes, losses, crashes } => {
            let bounds =
                Bounds { routers, writes, losses, crashes, drains: true, treats_reset_as_unsent: false };
            Ok(model::run(bounds))
        }
        Command::EurekaBench { sizes } => registry_benchmark::run(&sizes).map(|()| true),
        Command::Demo { seconds } => demo::run(&default_program(), seconds).map(|()| true),
    }
}

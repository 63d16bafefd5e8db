//! Makes the routing decisions for the simulator, which sends messages to standard input and reads replies
//! from standard output.

mod adapter;
mod decode;
mod encode;
mod error;
mod fields;
mod instance;

use std::io::{self, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    match adapter::run(io::stdin().lock(), BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

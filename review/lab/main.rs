//! The stand-ins of the review's cases and the cases themselves. Standard library only.
//!
//! Usage: lab CASE RECORD TROUBLE. Exit code: 0 the rule held, 1 it was broken, 2 the case couldn't run.

mod cases;
mod client;
mod discovery;
mod load;
mod messages;
mod pooler;
mod record;
mod server;

use std::process::exit;
use std::time::{SystemTime, UNIX_EPOCH};

/// The present as Unix time in microseconds: the one clock that all machines read.
pub fn now_us() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as i64)
}

/// A small random generator (SplitMix64).
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Uniform in (0, 1].
    pub fn unit(&mut self) -> f64 {
        ((self.next() >> 11) + 1) as f64 / (1u64 << 53) as f64
    }

    /// Exponentially distributed with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -self.unit().ln() * mean
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record, trouble] = arguments.as_slice() else {
        eprintln!("usage: lab CASE RECORD TROUBLE");
        exit(2);
    };
    let record = record::Record::create(record);
    let trouble = trouble != "0";
    record.line(&format!("case {case}, trouble {trouble}"));
    let result = cases::run(case, trouble, &record);
    let (code, text) = match result {
        Ok(cases::Verdict::Held(text)) => (0, format!("HELD: {text}")),
        Ok(cases::Verdict::Broken(text)) => (1, format!("BROKEN: {text}")),
        Err(error) => (2, format!("COULD NOT RUN: {error}")),
    };
    record.line(&text);
    record.flush();
    println!("{text}");
    exit(code);
}

//! The cases.

mod turned_away;

use crate::record::Record;

/// The result of a case that could run.
pub enum Verdict {
    Held(String),
    Broken(String),
}

pub fn run(case: &str, trouble: bool, record: &Record) -> Result<Verdict, String> {
    match case {
        "turned-away" => turned_away::run(trouble, record),
        _ => Err(format!("no case {case}")),
    }
}

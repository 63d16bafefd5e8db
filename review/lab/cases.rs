//! The cases.

mod endless_answer;
mod stale_session_read;
mod turned_away;

use crate::load::Totals;
use crate::pooler::Pooler;
use crate::record::Record;

/// The result of a case that could run.
pub enum Verdict {
    Held(String),
    Broken(String),
}

pub fn run(case: &str, trouble: bool, record: &Record) -> Result<Verdict, String> {
    match case {
        "endless-answer" => endless_answer::run(trouble, record),
        "stale-session-read" => stale_session_read::run(trouble, record),
        "turned-away" => turned_away::run(trouble, record),
        _ => Err(format!("no case {case}")),
    }
}

/// The least number of requests served for a run to count.
const MIN_SERVED: u64 = 500;

/// The rule on lost requests: every request gets a final answer in time, and the pooler does not end.
fn judge_answers(totals: Totals, pooler: &mut Pooler) -> Result<Verdict, String> {
    if let Some(status) = pooler.ended() {
        return Ok(Verdict::Broken(format!("the pooler ended: {status}; {totals}")));
    }
    if totals.unanswered > 0 {
        return Ok(Verdict::Broken(totals.to_string()));
    }
    if totals.served < MIN_SERVED {
        return Err(format!("too little load: {totals}"));
    }
    Ok(Verdict::Held(totals.to_string()))
}

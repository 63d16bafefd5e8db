//! Servers that hang, break off and err now and then.

use crate::history::{Execution, SharedHistory};
use crate::random::SharedRandom;
use crate::support::*;
use std::time::{Duration, Instant};

/// How long a server that hangs says nothing.
const HANG: Duration = Duration::from_secs(5);

/// A server that answers most statements and fails a few, by chance.
pub fn start(id: &'static str, is_primary: bool, seed: u64, history: &SharedHistory) -> FakeServer {
    let (random, history) = (SharedRandom::new(seed), history.clone());
    let role = if is_primary { "master" } else { "replica" };
    FakeServer::new(id, move |stream, statement| {
        let now = unix_time();
        if statement.starts_with("SHOW") {
            let report = format!("x0={:.6},x1={}", now.as_secs_f64(), u8::from(is_primary));
            stream.write_row(report.as_bytes(), role, "");
            return AfterStatement::KeepOpen;
        }
        let fate = random.below(200);
        let is_write = statement.starts_with("INSERT");
        let not_primary = is_write && !is_primary;
        let remaining_ms = comment_field(statement, ",d=").parse().unwrap();
        history.lock().unwrap().executions.push(Execution {
            id: comment_field(statement, "id=").to_owned(),
            server: id,
            begun_at: Instant::now(),
            remaining_time: Duration::from_millis(remaining_ms),
            is_write,
            ran: !not_primary && fate != 0,
        });
        std::thread::sleep(Duration::from_millis(random.below(25)));
        match fate {
            _ if not_primary => stream.write_error("25006", role),
            0 => stream.write_error("53300", role),
            1 => stream.write_error("XX000", role),
            2 => return AfterStatement::Close,
            3 | 4 => {
                std::thread::sleep(HANG);
                return AfterStatement::Close;
            }
            _ => stream.write_row(b"value", role, &now.as_millis().to_string()),
        }
        AfterStatement::KeepOpen
    })
}

/// The value behind `name` in a statement's comment.
fn comment_field<'s>(statement: &'s str, name: &str) -> &'s str {
    let rest = statement.split(name).nth(1).unwrap_or("");
    rest.split([',', ' ']).next().unwrap_or("")
}

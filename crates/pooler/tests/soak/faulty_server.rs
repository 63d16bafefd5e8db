//! Fake servers that occasionally hang, close a connection without a response, or return an error.

use crate::history::{Execution, SharedHistory};
use crate::random::SharedRandom;
use crate::support::*;
use std::time::{Duration, Instant};

/// How long a server that hangs sends nothing before it closes the connection.
const HANG_DURATION: Duration = Duration::from_secs(5);

/// Starts a server that fails 1 statement in 40 at random, as `seed` determines; a replica rejects all
/// writes.
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
        let fault_choice = random.below(200);
        let is_write = statement.starts_with("INSERT");
        let not_primary = is_write && !is_primary;
        let remaining_ms = comment_field(statement, ",d=").parse().unwrap();
        history.lock().unwrap().executions.push(Execution {
            id: comment_field(statement, "id=").to_owned(),
            server: id,
            received_at: Instant::now(),
            remaining_time: Duration::from_millis(remaining_ms),
            is_write,
            took_effect: !not_primary && fault_choice != 0,
        });
        std::thread::sleep(Duration::from_millis(random.below(25)));
        match fault_choice {
            _ if not_primary => stream.write_error("25006", role),
            0 => stream.write_error("53300", role),
            1 => stream.write_error("XX000", role),
            2 => return AfterStatement::Close,
            3 | 4 => {
                std::thread::sleep(HANG_DURATION);
                return AfterStatement::Close;
            }
            _ => stream.write_row(b"value", role, &now.as_millis().to_string()),
        }
        AfterStatement::KeepOpen
    })
}

/// Returns the value that follows `prefix` in a statement's comment, or an empty string if there is none.
fn comment_field<'s>(statement: &'s str, prefix: &str) -> &'s str {
    let rest = statement.split(prefix).nth(1).unwrap_or("");
    rest.split([',', ' ']).next().unwrap_or("")
}

//! Encoding of actions as lines of the simulator's protocol.

use pooler_routing::{Action, TimeDelta};
use std::fmt::Write as _;

/// Appends the line for an action of the instance `instance_id` to `reply`.
pub(crate) fn action(reply: &mut String, instance_id: u64, action: &Action) {
    // Writing to a string can't fail.
    let _ = match action {
        Action::Send { request, endpoint, timeout } => {
            writeln!(reply, "forward {instance_id} {} {} {:.3}", request.0, endpoint.0, millis(timeout.0))
        }
        Action::Reject { request, retry_after } => {
            let retry_after = retry_after.unwrap_or(TimeDelta::ZERO);
            writeln!(reply, "turn_away {instance_id} {} {:.3}", request.0, millis(retry_after.0))
        }
        Action::Fail { request } => writeln!(reply, "surrender {instance_id} {}", request.0),
        Action::Cancel { request, attempt } => {
            writeln!(reply, "cancel {instance_id} {} {}", request.0, attempt.0)
        }
        Action::HealthCheck { endpoint } => writeln!(reply, "health_check {instance_id} {}", endpoint.0),
        Action::SetTimer { at } => writeln!(reply, "remind {instance_id} {:.3} wake", millis(at.0)),
        Action::Subscribe => writeln!(reply, "watch {instance_id} 1"),
        Action::Log { line } => writeln!(reply, "trace {instance_id} {line}"),
    };
}

fn millis(microseconds: i64) -> f64 {
    microseconds as f64 / 1_000.0
}

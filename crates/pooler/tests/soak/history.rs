//! The requests that clients sent, the statements that servers received, and the rules for both that the
//! pooler must keep.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The time after the report of an endpoint's drain within which the endpoint may still receive requests.
pub const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// The time after a client closed its connection within which attempts of its requests may still reach a
/// server.
const CLOSE_GRACE: Duration = Duration::from_millis(100);
/// The maximum excess of the deadline that an attempt passes to the server over the remaining time of the
/// request.
const REMAINING_TIME_TOLERANCE: Duration = Duration::from_millis(150);

/// A request as its client sent it.
pub struct ClientRequest {
    pub sent_at: Instant,
    /// Counted from `sent_at`.
    pub deadline: Duration,
    /// When the client closed the connection, if it did so before the response.
    pub closed_at: Option<Instant>,
}

/// A request's statement that reached a server.
pub struct Execution {
    /// The id of the request.
    pub id: String,
    pub server: &'static str,
    pub received_at: Instant,
    /// The deadline that the attempt passed to the server: the remaining time of the request.
    pub remaining_time: Duration,
    pub is_write: bool,
    /// False if the server rejected the statement unexecuted, with SQLSTATE 25006 or 53300.
    pub took_effect: bool,
}

/// The record of one soak run.
#[derive(Default)]
pub struct History {
    /// All requests that clients sent, by their ids.
    pub requests: HashMap<String, ClientRequest>,
    pub executions: Vec<Execution>,
    /// The ids of the requests that the pooler rejected, with SQLSTATE 53300 or 57P03.
    pub rejected: Vec<String>,
    /// The number of requests that got a response, errors included.
    pub answered: usize,
    /// When the first SIGTERM was sent to the pooler.
    pub shutdown_at: Option<Instant>,
    /// The number of requests without a response that were sent just before the pooler closed their
    /// connection, where it may close connections.
    pub sent_during_close: usize,
    /// The violations of the rules, one message each.
    pub violations: Vec<String>,
}

/// The history of a run, shared by its clients and servers.
pub type SharedHistory = Arc<Mutex<History>>;

/// An endpoint whose drain was reported to the pooler, and when.
pub struct Drain {
    pub endpoint: &'static str,
    pub reported_at: Instant,
}

impl History {
    /// Checks the statements that the servers received, and adds the violations found. `slack` is added to
    /// the time limits.
    pub fn check_executions(&mut self, drain: &Drain, slack: Duration) {
        let mut violations = Vec::new();
        let mut effect_counts: HashMap<&str, usize> = HashMap::new();
        for execution in &self.executions {
            self.check_execution(execution, drain, slack, &mut violations);
            if execution.is_write && self.requests.contains_key(&execution.id) {
                *effect_counts.entry(execution.id.as_str()).or_default() +=
                    usize::from(execution.took_effect);
            }
        }
        for (id, count) in effect_counts {
            if count > 1 {
                violations.push(format!("{id}: the write took effect {count} times"));
            }
            if count > 0 && self.rejected.iter().any(|rejected| rejected == id) {
                violations.push(format!("{id} was rejected although the write took effect"));
            }
        }
        self.violations.extend(violations);
    }

    fn check_execution(
        &self,
        execution: &Execution,
        drain: &Drain,
        slack: Duration,
        violations: &mut Vec<String>,
    ) {
        let Execution { id, server, received_at, remaining_time, .. } = execution;
        let Some(request) = self.requests.get(id) else {
            violations.push(format!("{id} reached a server, but no client sent it"));
            return;
        };
        if request.closed_at.is_some_and(|closed_at| *received_at > closed_at + CLOSE_GRACE + slack) {
            violations.push(format!("{id} reached a server after its client had closed the connection"));
        }
        let time_left = (request.sent_at + request.deadline).saturating_duration_since(*received_at);
        if *remaining_time > time_left + REMAINING_TIME_TOLERANCE + slack {
            violations.push(format!(
                "{id} sent to a server with a deadline of {remaining_time:?}, but only {time_left:?} left"
            ));
        }
        if *server == drain.endpoint && *received_at > drain.reported_at + DRAIN_GRACE + slack {
            violations.push(format!("{id} was sent to {server} after its drain grace"));
        }
    }
}

//! What clients asked and servers executed, and the rules that both must meet.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// For how long after its drain was reported an endpoint may still be sent requests.
pub const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// For how long after a client's close an attempt may still begin.
const ATTEMPT_AFTER_CLOSE: Duration = Duration::from_millis(100);
/// How much more than the remaining time an attempt may pass on.
const REMAINING_TIME_TOLERANCE: Duration = Duration::from_millis(150);

/// A request as its client sent it.
pub struct ClientRequest {
    pub sent_at: Instant,
    pub deadline: Duration,
    /// When its client closed the connection before the response.
    pub closed_at: Option<Instant>,
}

/// A statement that reached a server.
pub struct Execution {
    pub id: String,
    pub server: &'static str,
    pub begun_at: Instant,
    /// The remaining time that the attempt passed on.
    pub remaining_time: Duration,
    pub is_write: bool,
    /// Whether it had an effect.
    pub ran: bool,
}

/// All of a run.
#[derive(Default)]
pub struct History {
    pub requests: HashMap<String, ClientRequest>,
    pub executions: Vec<Execution>,
    /// The ids of the requests that were rejected.
    pub rejected: Vec<String>,
    pub answered: usize,
    /// When the pooler was told to end.
    pub shutdown_at: Option<Instant>,
    /// How many requests crossed the close of their connection.
    pub crossed_a_close: usize,
    pub violations: Vec<String>,
}

/// A history that clients and servers write together.
pub type SharedHistory = Arc<Mutex<History>>;

/// An endpoint whose drain was reported to the pooler, and when.
pub struct Drain {
    pub endpoint: &'static str,
    pub reported_at: Instant,
}

impl History {
    /// Checks what the servers saw, and adds the violations found.
    pub fn check_executions(&mut self, drain: &Drain, slack: Duration) {
        let mut violations = Vec::new();
        let mut run_counts: HashMap<&str, usize> = HashMap::new();
        for execution in &self.executions {
            self.check_execution(execution, drain, slack, &mut violations);
            if execution.is_write && self.requests.contains_key(&execution.id) {
                *run_counts.entry(execution.id.as_str()).or_default() += usize::from(execution.ran);
            }
        }
        for (id, count) in run_counts {
            if count > 1 {
                violations.push(format!("{id} ran {count} times"));
            }
            if count > 0 && self.rejected.iter().any(|rejected| rejected == id) {
                violations.push(format!("{id} rejected though it may have run"));
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
        let Execution { id, server, begun_at, remaining_time, .. } = execution;
        let Some(request) = self.requests.get(id) else {
            violations.push(format!("{id} was never asked"));
            return;
        };
        if request.closed_at.is_some_and(|closed| *begun_at > closed + ATTEMPT_AFTER_CLOSE + slack) {
            violations.push(format!("{id} begun after its client had left"));
        }
        let left = (request.sent_at + request.deadline).saturating_duration_since(*begun_at);
        if *remaining_time > left + REMAINING_TIME_TOLERANCE + slack {
            violations.push(format!("{id} passed on {remaining_time:?} with {left:?} left"));
        }
        if *server == drain.endpoint && *begun_at > drain.reported_at + DRAIN_GRACE + slack {
            violations.push(format!("{id} sent to {server}, which drains"));
        }
    }
}

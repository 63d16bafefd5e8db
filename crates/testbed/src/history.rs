//! Records what passed on the sockets during a run: the endpoint statuses reported to the pooler, the
//! statements sent to each endpoint, the writes that ran and the responses. The routing rules are checked on
//! these records alone, by code that shares nothing with the pooler.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The time after the report of an endpoint's drain or removal to the pooler within which statements may
/// still be sent to the endpoint. All times come from one machine's clock, hence there is no allowance for
/// clock differences.
pub const DRAIN_GRACE: Duration = Duration::from_millis(250);

/// A history into which the fake servers, the fake registry and the clients write.
pub type SharedHistory = Arc<Mutex<History>>;

/// The version of a registration, ordered by the instance's own timestamp, then by the registry's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RegistrationVersion {
    /// When the instance last changed its own registration, in ms of Unix time.
    pub dirty_ms: i64,
    /// When the registry last changed the registration, in ms of Unix time.
    pub updated_ms: i64,
}

impl RegistrationVersion {
    /// Older than every reported version.
    const OLDEST: Self = Self { dirty_ms: i64::MIN, updated_ms: i64::MIN };

    /// Whether this version is newer than `other` by the instance's own timestamp. With
    /// `counts_cleared_override`, a later change by the registry makes it newer too if the instance's
    /// timestamps are equal.
    fn is_newer_than(self, other: Self, counts_cleared_override: bool) -> bool {
        self.dirty_ms > other.dirty_ms
            || counts_cleared_override
                && self.dirty_ms == other.dirty_ms
                && self.updated_ms > other.updated_ms
    }
}

/// A period during which the pooler had been told that an endpoint drains or is removed.
#[derive(Clone, Copy, Debug)]
struct Drain {
    /// The newest version that reported this drain.
    version: RegistrationVersion,
    /// When the drain was first reported to the pooler.
    reported_at: Instant,
    /// When a newer registration that is in service was reported to the pooler; `None` while the drain lasts.
    ended_at: Option<Instant>,
}

/// The outcome of a request as its client sees it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestOutcome {
    /// The response holds a value.
    Served,
    /// The request was refused before anything ran; the client may retry it.
    Rejected,
    /// The request ended with an error; whether it ran is unknown.
    Failed {
        /// The error's SQLSTATE code.
        sql_state: String,
    },
    /// No response arrived.
    Broken {
        /// The error of the client's connection.
        reason: String,
    },
    /// The client received the response to another request.
    MismatchedResponse,
    /// The response holds neither a value nor an error.
    Empty,
}

impl fmt::Display for RequestOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Served => write!(f, "served"),
            Self::Rejected => write!(f, "rejected"),
            Self::Failed { sql_state } => write!(f, "failed {sql_state}"),
            Self::Broken { reason } => write!(f, "broken: {reason}"),
            Self::MismatchedResponse => write!(f, "another request's response"),
            Self::Empty => write!(f, "empty"),
        }
    }
}

/// The part of a response that the consistency rules check.
#[derive(Clone, Copy, Debug)]
pub enum Observation {
    /// The response holds nothing to check.
    Nothing,
    /// The response confirms a write's commit.
    Commit {
        /// The position of the commit, in ms.
        position_ms: i64,
    },
    /// The response returns the data of a read.
    Read {
        /// The position up to which the read had to see all commits, in ms.
        required_ms: i64,
        /// The position of the data that the read returned, in ms.
        position_ms: i64,
    },
}

/// A response that reached its client in time.
#[derive(Clone, Debug)]
pub struct ResponseRecord<'r> {
    /// The request's id.
    pub id: &'r str,
    /// The client's session.
    pub session: &'r str,
    /// The phase in which the request was sent.
    pub phase: Phase,
    /// The outcome of the request.
    pub outcome: &'r RequestOutcome,
    /// The data to check.
    pub observation: Observation,
}

/// A part of a run, numbered from 0. `History` counts the current phase's requests apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Phase(u64);

/// The number of requests in a phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PhaseCounts {
    /// Requests sent during the phase.
    pub requests: u64,
    /// Requests sent and served during the phase.
    pub served: u64,
}

/// The result of checking the rules on one or more histories: totals and violations.
#[derive(Clone, Debug, Default)]
pub struct RuleReport {
    /// Requests that clients sent.
    pub requests: u64,
    /// Requests that got a final response in time.
    pub answered: u64,
    /// Requests that were served in time.
    pub served: u64,
    /// Drains and removals that were reported to the pooler.
    pub drains: u64,
    /// Statements sent to an endpoint later than `DRAIN_GRACE` after its drain was reported.
    pub drain_violations: u64,
    /// The longest delay of a statement sent to a draining endpoint after the drain was reported, in ms.
    pub max_send_after_drain_ms: f64,
    /// Reads answered from older data than their request class allows.
    pub stale_reads: u64,
    /// Writes that ran more than once.
    pub duplicate_writes: u64,
    /// Writes that were reported as served to the client but never ran.
    pub served_without_row: u64,
    /// Connections to addresses outside the networks in which endpoints may be.
    pub sends_outside_networks: u64,
    /// The number of statements sent to each endpoint, by its id.
    pub sends: BTreeMap<String, u64>,
}

impl RuleReport {
    /// Adds another history's report: sums the counters and keeps the greater
    /// `max_send_after_drain_ms`. The other report's `sends` are left out.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.answered += other.answered;
        self.served += other.served;
        self.drains += other.drains;
        self.drain_violations += other.drain_violations;
        self.max_send_after_drain_ms = self.max_send_after_drain_ms.max(other.max_send_after_drain_ms);
        self.stale_reads += other.stale_reads;
        self.duplicate_writes += other.duplicate_writes;
        self.served_without_row += other.served_without_row;
        self.sends_outside_networks += other.sends_outside_networks;
    }
}

/// All records of a run.
#[derive(Debug, Default)]
pub struct History {
    /// By endpoint, its drains, oldest first; only the last one can be open.
    drains: HashMap<String, Vec<Drain>>,
    /// Endpoints whose drain ends when the registry alone reports them UP again, without a change by the
    /// instance.
    cleared_overrides: HashSet<String>,
    /// By endpoint, the newest version that was reported as in service.
    newest_in_service: HashMap<String, RegistrationVersion>,
    /// By endpoint, the arrival time of each statement's first byte.
    sends: HashMap<String, Vec<Instant>>,
    /// By request id, the number of times that the write ran.
    executions: HashMap<String, u32>,
    /// Ids of the writes that were reported as served.
    served_writes: HashSet<String>,
    /// By session, the position of the latest commit in a response to its client, in ms.
    session_commits: HashMap<String, i64>,
    /// The position of the latest commit in a response to any client, in ms.
    latest_commit: i64,
    stale_reads: u64,
    /// By address outside the endpoints' networks, the number of connections to it.
    outside_connections: HashMap<SocketAddr, u64>,
    requests: u64,
    answered: u64,
    served: u64,
    /// By printed outcome, the number of responses.
    outcomes: BTreeMap<String, u64>,
    phase: Phase,
    phase_counts: PhaseCounts,
}

impl History {
    /// Records that a response with this status of an endpoint has been written to the pooler. Opens a drain
    /// if the endpoint is out of service and the version is not outdated; ends the open drain if the endpoint
    /// is in service and the version is newer than the drain's.
    pub fn record_reported(
        &mut self,
        endpoint: &str,
        in_service: bool,
        version: RegistrationVersion,
        now: Instant,
    ) {
        let drains = self.drains.entry(endpoint.to_owned()).or_default();
        let newest = self.newest_in_service.entry(endpoint.to_owned()).or_insert(RegistrationVersion::OLDEST);
        let counts_cleared_override = self.cleared_overrides.contains(endpoint);
        let open_drain = drains.last_mut().filter(|drain| drain.ended_at.is_none());
        match (open_drain, in_service) {
            (Some(drain), true) if version.is_newer_than(drain.version, counts_cleared_override) => {
                drain.ended_at = Some(now);
            }
            (Some(drain), false) => drain.version = drain.version.max(version),
            (None, false)
                if version.is_newer_than(*newest, counts_cleared_override)
                    || version.dirty_ms == newest.dirty_ms && !counts_cleared_override =>
            {
                drains.push(Drain { version, reported_at: now, ended_at: None });
            }
            _ => {}
        }
        if in_service {
            *newest = (*newest).max(version);
        }
    }

    /// Records that an endpoint's status override was cleared in a run whose operator's file lets this end a
    /// drain.
    pub fn record_cleared_override(&mut self, endpoint: &str) {
        self.cleared_overrides.insert(endpoint.to_owned());
    }

    /// Records the arrival of a statement's first byte at an endpoint.
    pub fn record_send(&mut self, endpoint: &str, first_byte_at: Instant) {
        self.sends.entry(endpoint.to_owned()).or_default().push(first_byte_at);
    }

    /// Records that a primary runs the write of this request id.
    pub fn record_execution(&mut self, id: &str) {
        *self.executions.entry(id.to_owned()).or_default() += 1;
    }

    /// Records a connection to an address outside the networks in which endpoints may be.
    pub fn record_outside_connection(&mut self, address: SocketAddr) {
        *self.outside_connections.entry(address).or_default() += 1;
    }

    /// The position of the latest commit in a response to the session's client, in ms; 0 before the first.
    /// The session's reads must see this commit.
    #[must_use]
    pub fn session_commit(&self, session: &str) -> i64 {
        self.session_commits.get(session).copied().unwrap_or(0)
    }

    /// The position of the latest commit in a response to any client, in ms; 0 before the first. Strong reads
    /// must see this commit.
    #[must_use]
    pub fn latest_commit(&self) -> i64 {
        self.latest_commit
    }

    /// Records that a client sends a request. The returned phase belongs in the request's `ResponseRecord`.
    pub fn record_request(&mut self) -> Phase {
        self.requests += 1;
        self.phase_counts.requests += 1;
        self.phase
    }

    /// Begins another phase of the run. Requests sent in earlier phases do not count in it.
    pub fn begin_phase(&mut self) {
        self.phase.0 += 1;
        self.phase_counts = PhaseCounts::default();
    }

    /// The request counts of the current phase.
    #[must_use]
    pub fn phase_counts(&self) -> PhaseCounts {
        self.phase_counts
    }

    /// Records a response that reached its client in time.
    pub fn record_response(&mut self, response: &ResponseRecord<'_>) {
        self.answered += 1;
        *self.outcomes.entry(response.outcome.to_string()).or_default() += 1;
        if *response.outcome != RequestOutcome::Served {
            return;
        }
        self.served += 1;
        self.phase_counts.served += u64::from(response.phase == self.phase);
        match response.observation {
            Observation::Commit { position_ms } => {
                self.served_writes.insert(response.id.to_owned());
                let latest = self.session_commits.entry(response.session.to_owned()).or_default();
                *latest = (*latest).max(position_ms);
                self.latest_commit = self.latest_commit.max(position_ms);
            }
            Observation::Read { required_ms, position_ms } => {
                self.stale_reads += u64::from(position_ms < required_ms);
            }
            Observation::Nothing => {}
        }
    }

    /// The number of statements that an endpoint has received.
    #[must_use]
    pub fn sends(&self, endpoint: &str) -> usize {
        self.sends.get(endpoint).map_or(0, Vec::len)
    }

    /// The number of responses with each outcome, by the outcome's printed form.
    #[must_use]
    pub fn outcomes(&self) -> &BTreeMap<String, u64> {
        &self.outcomes
    }

    /// Checks the rules on all records so far.
    #[must_use]
    pub fn report(&self) -> RuleReport {
        let has_run = |id: &&String| self.executions.contains_key(*id);
        let mut report = RuleReport {
            requests: self.requests,
            answered: self.answered,
            served: self.served,
            stale_reads: self.stale_reads,
            duplicate_writes: self.executions.values().filter(|count| **count > 1).count() as u64,
            served_without_row: self.served_writes.iter().filter(|id| !has_run(id)).count() as u64,
            sends_outside_networks: self.outside_connections.values().sum(),
            sends: self.sends.iter().map(|(id, sends)| (id.clone(), sends.len() as u64)).collect(),
            ..RuleReport::default()
        };
        for (endpoint, drains) in &self.drains {
            report.drains += drains.len() as u64;
            for drain in drains {
                self.check_drain(endpoint, drain, &mut report);
            }
        }
        report
    }

    /// Checks the statements sent to an endpoint during one drain. A drain covers sends from its report up to
    /// its end.
    fn check_drain(&self, endpoint: &str, drain: &Drain, report: &mut RuleReport) {
        for sent_at in self.sends.get(endpoint).into_iter().flatten() {
            let has_ended = drain.ended_at.is_some_and(|ended_at| *sent_at >= ended_at);
            if *sent_at < drain.reported_at || has_ended {
                continue;
            }
            let delay = *sent_at - drain.reported_at;
            report.max_send_after_drain_ms =
                report.max_send_after_drain_ms.max(delay.as_secs_f64() * 1_000.0);
            report.drain_violations += u64::from(delay > DRAIN_GRACE);
        }
    }
}

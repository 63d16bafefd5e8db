//! What passed on the sockets: what was reported to the pooler of which endpoint and when, what was sent where, what ran and
//! what was answered. The rules are checked on this alone, by code that shares nothing with the pooler's.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Nothing new goes to an endpoint later than this after its drain or removal was reported to the pooler. Everything
/// here is on one machine's clock, so that no allowance is made.
pub const DRAIN_GRACE: Duration = Duration::from_millis(250);

/// A history that servers, registry and clients write together.
pub type SharedHistory = Arc<Mutex<History>>;

/// The version of a registration: first the instance's own timestamp, then the registry's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RegistrationVersion {
    /// When the instance last changed itself, in ms.
    pub dirty_ms: i64,
    /// When the registry last changed the registration, in ms.
    pub updated_ms: i64,
}

impl RegistrationVersion {
    const OLDEST: Self = Self { dirty_ms: i64::MIN, updated_ms: i64::MIN };

    /// Whether this is newer than another; where a lifted override counts, the registry's changes make it so as well.
    fn is_newer_than(self, other: Self, counts_lift: bool) -> bool {
        self.dirty_ms > other.dirty_ms
            || counts_lift && self.dirty_ms == other.dirty_ms && self.updated_ms > other.updated_ms
    }
}

/// A time in which the pooler knew that an endpoint drains.
#[derive(Clone, Copy, Debug)]
struct Drain {
    version: RegistrationVersion,
    reported_at: Instant,
    /// When something newer was reported to the pooler.
    lifted_at: Option<Instant>,
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestOutcome {
    /// With its value.
    Served,
    /// Nothing ran, and the client may come again.
    Rejected,
    /// With this error: nothing is promised.
    Failed {
        /// The error's SQLSTATE.
        sql_state: String,
    },
    /// Without a response.
    Broken {
        /// What became of the connection.
        reason: String,
    },
    /// With the response to another request.
    ForeignResponse,
    /// With neither a value nor an error.
    Empty,
}

impl fmt::Display for RequestOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Served => write!(f, "served"),
            Self::Rejected => write!(f, "rejected"),
            Self::Failed { sql_state } => write!(f, "failed {sql_state}"),
            Self::Broken { reason } => write!(f, "broken: {reason}"),
            Self::ForeignResponse => write!(f, "another request's response"),
            Self::Empty => write!(f, "empty"),
        }
    }
}

/// What a response showed.
#[derive(Clone, Copy, Debug)]
pub enum Observation {
    /// Nothing that can be checked.
    Nothing,
    /// A write's commit.
    Commit {
        /// Its position.
        position_ms: i64,
    },
    /// A read of data up to a position.
    Read {
        /// What the read had to see.
        required_ms: i64,
        /// What it was answered from.
        position_ms: i64,
    },
}

/// A response that came in time.
#[derive(Clone, Debug)]
pub struct ResponseRecord<'r> {
    /// The request's id.
    pub id: &'r str,
    /// The client's session.
    pub session: &'r str,
    /// The phase in which it was asked.
    pub phase: Phase,
    /// How it ended.
    pub outcome: &'r RequestOutcome,
    /// What it showed.
    pub observation: Observation,
}

/// A part of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Phase(u64);

/// The requests of a phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PhaseCounts {
    /// Those asked.
    pub requests: u64,
    /// Those served.
    pub served: u64,
}

/// The rules, as they were kept in a history.
#[derive(Clone, Debug, Default)]
pub struct RuleReport {
    /// Requests that clients asked.
    pub requests: u64,
    /// Those that got a final answer in time.
    pub answered: u64,
    /// Those that were served.
    pub served: u64,
    /// Drains that were reported to the pooler.
    pub drains: u64,
    /// Sends to an endpoint too long after its drain was reported.
    pub drain_violations: u64,
    /// The latest send to an endpoint after its drain was reported, in ms.
    pub worst_drain_ms: f64,
    /// Reads answered from older data than their class allows.
    pub stale_reads: u64,
    /// Writes that ran more than once.
    pub doubled_writes: u64,
    /// Writes that were answered as served and never ran.
    pub served_without_row: u64,
    /// Connections to where no endpoint may be.
    pub sends_outside_networks: u64,
    /// What each endpoint was sent.
    pub sends: BTreeMap<String, u64>,
}

impl RuleReport {
    /// Adds another history's report, but for the sends.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.answered += other.answered;
        self.served += other.served;
        self.drains += other.drains;
        self.drain_violations += other.drain_violations;
        self.worst_drain_ms = self.worst_drain_ms.max(other.worst_drain_ms);
        self.stale_reads += other.stale_reads;
        self.doubled_writes += other.doubled_writes;
        self.served_without_row += other.served_without_row;
        self.sends_outside_networks += other.sends_outside_networks;
    }
}

/// All that was seen.
#[derive(Debug, Default)]
pub struct History {
    drains: HashMap<String, Vec<Drain>>,
    /// Endpoints whose drain is to count as over once the registry reports them UP again.
    lifted_overrides: HashSet<String>,
    newest_in_service: HashMap<String, RegistrationVersion>,
    /// By endpoint, when the first byte of each statement came.
    sends: HashMap<String, Vec<Instant>>,
    /// By request, how often it ran.
    executions: HashMap<String, u32>,
    served_writes: HashSet<String>,
    /// By session, the latest commit in a response to its client.
    session_commits: HashMap<String, i64>,
    /// The latest commit in a response to any client.
    latest_commit: i64,
    stale_reads: u64,
    outside_connections: HashMap<SocketAddr, u64>,
    requests: u64,
    answered: u64,
    served: u64,
    outcomes: BTreeMap<String, u64>,
    phase: Phase,
    phase_counts: PhaseCounts,
}

impl History {
    /// A response with this status of an endpoint has been written to the pooler.
    pub fn record_reported(
        &mut self,
        endpoint: &str,
        in_service: bool,
        version: RegistrationVersion,
        now: Instant,
    ) {
        let drains = self.drains.entry(endpoint.to_owned()).or_default();
        let newest = self.newest_in_service.entry(endpoint.to_owned()).or_insert(RegistrationVersion::OLDEST);
        let counts_lift = self.lifted_overrides.contains(endpoint);
        let open_drain = drains.last_mut().filter(|drain| drain.lifted_at.is_none());
        match (open_drain, in_service) {
            (Some(drain), true) if version.is_newer_than(drain.version, counts_lift) => {
                drain.lifted_at = Some(now);
            }
            (Some(drain), false) => drain.version = drain.version.max(version),
            (None, false)
                if version.is_newer_than(*newest, counts_lift)
                    || version.dirty_ms == newest.dirty_ms && !counts_lift =>
            {
                drains.push(Drain { version, reported_at: now, lifted_at: None });
            }
            _ => {}
        }
        if in_service {
            *newest = (*newest).max(version);
        }
    }

    /// The status set over an endpoint's own has been taken back, and the operator counts that.
    pub fn record_lifted_override(&mut self, endpoint: &str) {
        self.lifted_overrides.insert(endpoint.to_owned());
    }

    /// A statement's first byte has come to an endpoint.
    pub fn record_send(&mut self, endpoint: &str, first_byte_at: Instant) {
        self.sends.entry(endpoint.to_owned()).or_default().push(first_byte_at);
    }

    /// A write runs on a primary.
    pub fn record_execution(&mut self, id: &str) {
        *self.executions.entry(id.to_owned()).or_default() += 1;
    }

    /// Somebody connected to where no endpoint may be.
    pub fn record_outside_connection(&mut self, address: SocketAddr) {
        *self.outside_connections.entry(address).or_default() += 1;
    }

    /// The latest commit in a response to a session's client, which its reads must see.
    #[must_use]
    pub fn session_commit(&self, session: &str) -> i64 {
        self.session_commits.get(session).copied().unwrap_or(0)
    }

    /// The latest commit in a response to any client, which strong reads must see.
    #[must_use]
    pub fn latest_commit(&self) -> i64 {
        self.latest_commit
    }

    /// A client asks; the phase in which it does goes with its response.
    pub fn record_request(&mut self) -> Phase {
        self.requests += 1;
        self.phase_counts.requests += 1;
        self.phase
    }

    /// Another phase of the run begins: what was asked before does not count in it.
    pub fn begin_phase(&mut self) {
        self.phase.0 += 1;
        self.phase_counts = PhaseCounts::default();
    }

    /// The requests of this phase.
    #[must_use]
    pub fn phase_counts(&self) -> PhaseCounts {
        self.phase_counts
    }

    /// A client has a response in time.
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

    /// How many statements an endpoint has received.
    #[must_use]
    pub fn sends(&self, endpoint: &str) -> usize {
        self.sends.get(endpoint).map_or(0, Vec::len)
    }

    /// How many responses there were of each outcome, by its words.
    #[must_use]
    pub fn outcomes(&self) -> &BTreeMap<String, u64> {
        &self.outcomes
    }

    /// The rules, on all that was seen.
    #[must_use]
    pub fn report(&self) -> RuleReport {
        let ran = |id: &&String| self.executions.contains_key(*id);
        let mut report = RuleReport {
            requests: self.requests,
            answered: self.answered,
            served: self.served,
            stale_reads: self.stale_reads,
            doubled_writes: self.executions.values().filter(|count| **count > 1).count() as u64,
            served_without_row: self.served_writes.iter().filter(|id| !ran(id)).count() as u64,
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

    fn check_drain(&self, endpoint: &str, drain: &Drain, report: &mut RuleReport) {
        for sent_at in self.sends.get(endpoint).into_iter().flatten() {
            let is_lifted = drain.lifted_at.is_some_and(|lifted_at| *sent_at >= lifted_at);
            if *sent_at < drain.reported_at || is_lifted {
                continue;
            }
            let late = *sent_at - drain.reported_at;
            report.worst_drain_ms = report.worst_drain_ms.max(late.as_secs_f64() * 1_000.0);
            report.drain_violations += u64::from(late > DRAIN_GRACE);
        }
    }
}

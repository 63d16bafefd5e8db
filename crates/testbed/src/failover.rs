//! Failover cases: the primary crashes at each point of a write, in each crash mode, or hands over in a
//! planned change. Writers record every response, and the responses are compared with the rows that the
//! group holds afterwards.

use crate::clients::{Client, DEADLINE_TOLERANCE, RequestClass};
use crate::error::TestbedError;
use crate::fake_registry::{ChangedBy, Registration, Registrations, RegistryPeer};
use crate::fleet::ALLOWED_IP;
use crate::history::{RequestOutcome, SharedHistory};
use crate::lock;
use crate::operator_config::OperatorConfig;
use crate::pooler_process::PoolerProcess;
use crate::replicated_group::{CrashMode, CrashPoint, ReplicatedGroup};
use std::collections::BTreeMap;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How long a writer waits for the response to a write.
pub const WRITE_DEADLINE: Duration = Duration::from_secs(5);
/// A replica is promoted this long after the primary crashed.
pub const TAKEOVER_AFTER_CRASH: Duration = Duration::from_millis(1_200);
/// A replica is promoted this long after the primary began to drain.
pub const TAKEOVER_AFTER_DRAIN: Duration = Duration::from_millis(400);
/// How long the writers run before the change begins.
const TRAFFIC_BEFORE_CHANGE: Duration = Duration::from_millis(500);
/// How long the writers run after a replica has been promoted.
const TRAFFIC_AFTER_PROMOTION: Duration = Duration::from_millis(1_300);
/// How long to wait for a write to reach the crash point.
const CRASH_TIMEOUT: Duration = Duration::from_secs(3);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const SERVER_COUNT: usize = 4;
const WRITER_COUNT: usize = 6;
/// How long a writer pauses between two writes.
const WRITER_PAUSE: Duration = Duration::from_millis(3);
const OLD_PRIMARY_ID: &str = "s-1";
const NEW_PRIMARY_INDEX: usize = 1;

/// A case in which the group's primary changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailoverCase {
    /// The primary crashes at this point of a write, in this mode.
    Crash(CrashPoint, CrashMode),
    /// The primary drains, and a replica takes over.
    Planned,
}

impl FailoverCase {
    /// How often `all` repeats the planned change.
    const PLANNED_COUNT: usize = 3;

    /// Every crash point in every crash mode, followed by the planned changes.
    #[must_use]
    pub fn all() -> Vec<Self> {
        let crashes =
            CrashPoint::ALL.into_iter().flat_map(|point| CrashMode::ALL.map(|mode| Self::Crash(point, mode)));
        crashes.chain([Self::Planned; Self::PLANNED_COUNT]).collect()
    }
}

impl fmt::Display for FailoverCase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Crash(point, mode) => write!(f, "{point:?} {mode:?}"),
            Self::Planned => write!(f, "Planned"),
        }
    }
}

/// A write as seen by its client.
#[derive(Clone, Debug)]
struct WriteRecord {
    id: String,
    sent_at: Instant,
    latency: Duration,
    outcome: RequestOutcome,
}

/// Counts of the writes sent between the start of a change and the promotion of a replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct WritesWithoutPrimary {
    /// Writes that were served.
    pub served: usize,
    /// All writes sent, served or not.
    pub sent: usize,
}

/// The result of a failover case. The counts concern all writes of the case unless they say otherwise.
#[derive(Clone, Debug, Default)]
pub struct FailoverOutcome {
    /// Whether the change began: always for a planned one, otherwise only if the primary crashed at its
    /// crash point.
    pub change_began: bool,
    /// All writes sent.
    pub writes: usize,
    /// Writes that were executed more than once.
    pub executed_repeatedly: usize,
    /// Writes answered as served whose row no replica has.
    pub served_without_row: usize,
    /// Writes answered as rejected whose row a replica has.
    pub rejected_with_row: usize,
    /// Writes without a final response.
    pub unanswered: usize,
    /// Writes that took longer than the writers' deadline plus [`DEADLINE_TOLERANCE`].
    pub answered_late: usize,
    /// Writes answered as failed, which promises nothing about whether they were executed.
    pub failed: usize,
    /// The writes sent while there was no primary that accepts writes.
    pub without_primary: WritesWithoutPrimary,
    /// The time from the promotion to the first write that is served after it.
    pub handover: Option<Duration>,
    /// The latencies of writes sent between the start of the change and the promotion.
    pub latencies_during: Vec<Duration>,
    /// The latencies of writes that ended before the change began.
    pub latencies_before: Vec<Duration>,
    /// The number of writes by outcome.
    pub outcomes: BTreeMap<RequestOutcome, usize>,
    /// The pooler's log, kept only if a write sent between the start of the change and the promotion was
    /// not served.
    pub log: Option<Vec<String>>,
}

/// When a change of primary began and when it ended with the promotion of a replica.
#[derive(Clone, Copy, Debug)]
struct PrimaryChange {
    began_at: Instant,
    promoted_at: Instant,
}

impl FailoverOutcome {
    /// The number of writes that were served.
    #[must_use]
    pub fn served(&self) -> usize {
        self.outcomes.get(&RequestOutcome::Served).copied().unwrap_or(0)
    }

    fn add(&mut self, write: &WriteRecord, has_row: bool, change: PrimaryChange) {
        *self.outcomes.entry(write.outcome.clone()).or_default() += 1;
        let is_served = write.outcome == RequestOutcome::Served;
        self.served_without_row += usize::from(is_served && !has_row);
        self.rejected_with_row += usize::from(write.outcome == RequestOutcome::Rejected && has_row);
        self.failed += usize::from(matches!(write.outcome, RequestOutcome::Failed { .. }));
        self.unanswered += usize::from(matches!(write.outcome, RequestOutcome::Broken { .. }));
        self.answered_late += usize::from(write.latency > WRITE_DEADLINE + DEADLINE_TOLERANCE);
        let ended_at = write.sent_at + write.latency;
        if write.sent_at > change.began_at && write.sent_at < change.promoted_at {
            self.without_primary.served += usize::from(is_served);
            self.without_primary.sent += 1;
            self.latencies_during.push(write.latency);
        }
        if ended_at < change.began_at {
            self.latencies_before.push(write.latency);
        }
        if is_served && ended_at > change.promoted_at {
            let after = ended_at - change.promoted_at;
            self.handover = Some(self.handover.map_or(after, |shortest| shortest.min(after)));
        }
    }
}

/// Client threads that send writes until they are stopped.
struct Writers {
    address: SocketAddr,
    history: SharedHistory,
    stop: Arc<AtomicBool>,
    records: Arc<Mutex<Vec<WriteRecord>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Writers {
    fn new(address: SocketAddr, history: SharedHistory) -> Self {
        Self { address, history, stop: Arc::default(), records: Arc::default(), threads: Vec::new() }
    }

    /// Starts `count` more writers.
    fn start(&mut self, count: usize) {
        for _ in 0..count {
            let number = self.threads.len();
            let (stop, records) = (self.stop.clone(), self.records.clone());
            let client =
                Client::new(self.address, number, 1, self.history.clone()).with_deadline(WRITE_DEADLINE);
            self.threads.push(std::thread::spawn(move || write_until_stopped(client, &stop, &records)));
        }
    }

    /// Stops all writers and returns the records of all their writes.
    fn stop(self) -> Vec<WriteRecord> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        lock(&self.records).clone()
    }
}

fn write_until_stopped(mut client: Client, stop: &AtomicBool, records: &Mutex<Vec<WriteRecord>>) {
    while !stop.load(Ordering::SeqCst) {
        let sent_at = Instant::now();
        let outcome = client.request(RequestClass::TopUp);
        let record = WriteRecord { id: client.last_id(), sent_at, latency: sent_at.elapsed(), outcome };
        lock(records).push(record);
        std::thread::sleep(WRITER_PAUSE);
    }
}

/// A registered group of servers, and a pooler that routes to them.
struct Setup {
    group: ReplicatedGroup,
    registrations: Registrations,
    _peer: RegistryPeer,
    history: SharedHistory,
    pooler: PoolerProcess,
}

impl Setup {
    fn start(program: &Path) -> Result<Self, TestbedError> {
        let group = ReplicatedGroup::start(SERVER_COUNT, IpAddr::V4(ALLOWED_IP))?;
        let (registrations, history) = (Registrations::default(), SharedHistory::default());
        for (index, address) in group.addresses.iter().enumerate() {
            let (id, timestamp) = (format!("s-{}", index + 1), registrations.next_timestamp());
            registrations.register(Registration::server(&id, *address, index == 0, timestamp));
        }
        let peer = RegistryPeer::start(&registrations, &history)?;
        let operator =
            OperatorConfig { peers: vec![peer.address], interval: POLL_INTERVAL, extra: Vec::new() };
        let pooler = PoolerProcess::start_with_registry(program, &operator.to_string())?;
        Ok(Self { group, registrations, _peer: peer, history, pooler })
    }

    /// Begins the change and returns when it began, or `None` if the primary did not crash within
    /// `CRASH_TIMEOUT`.
    fn begin(&self, case: FailoverCase, writers: &mut Writers) -> Option<Instant> {
        match case {
            FailoverCase::Planned => {
                self.group.drain_primary();
                let drain = |registration: &mut Registration| registration.status = "OUT_OF_SERVICE".into();
                self.registrations.update(OLD_PRIMARY_ID, ChangedBy::Instance, drain);
                Some(Instant::now())
            }
            FailoverCase::Crash(point, mode) => {
                self.group.plan_crash(point, mode);
                // More concurrent writes than open connections make the pooler open one, as some crash
                // points require.
                writers.start(WRITER_COUNT);
                let give_up_at = Instant::now() + CRASH_TIMEOUT;
                while self.group.crashed_at().is_none() && Instant::now() < give_up_at {
                    std::thread::sleep(Duration::from_millis(1));
                }
                self.group.crashed_at()
            }
        }
    }
}

/// Runs a case with the pooler at `program`.
///
/// # Errors
///
/// If the case can't be run. Faults of the pooler are no error, but counted in the outcome.
pub fn run_case(case: FailoverCase, program: &Path) -> Result<FailoverOutcome, TestbedError> {
    let setup = Setup::start(program)?;
    let mut writers = Writers::new(setup.pooler.address, setup.history.clone());
    writers.start(WRITER_COUNT);
    std::thread::sleep(TRAFFIC_BEFORE_CHANGE);

    let began_at = setup.begin(case, &mut writers);
    let mut outcome = FailoverOutcome { change_began: began_at.is_some(), ..FailoverOutcome::default() };
    let began_at = began_at.unwrap_or_else(Instant::now);
    let takeover = if case == FailoverCase::Planned { TAKEOVER_AFTER_DRAIN } else { TAKEOVER_AFTER_CRASH };
    std::thread::sleep((began_at + takeover).saturating_duration_since(Instant::now()));
    setup.group.promote(NEW_PRIMARY_INDEX);
    let change = PrimaryChange { began_at, promoted_at: Instant::now() };
    std::thread::sleep(TRAFFIC_AFTER_PROMOTION);
    let writes = writers.stop();

    let rows = setup.group.replicated_rows();
    outcome.writes = writes.len();
    outcome.executed_repeatedly = setup.group.writes_executed_repeatedly();
    for write in &writes {
        outcome.add(write, rows.contains_key(&write.id), change);
    }
    if outcome.without_primary.served < outcome.without_primary.sent {
        outcome.log = Some(setup.pooler.log());
    }
    Ok(outcome)
}

/// The smallest value that is at least as large as a `share` (0 to 1) of all values, or zero if there are
/// none.
#[must_use]
pub fn quantile(values: &[Duration], share: f64) -> Duration {
    let mut sorted = values.to_vec();
    sorted.sort();
    let index = ((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
    sorted.get(index).copied().unwrap_or_default()
}

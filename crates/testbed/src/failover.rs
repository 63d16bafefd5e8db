//! Changes of primary: a primary that dies at each point of a write, in each way, or hands over by plan; writers that
//! keep every response; and the group's rows held against these.

use crate::clients::{Client, DEADLINE_TOLERANCE, RequestClass};
use crate::error::TestbedError;
use crate::fake_registry::{ChangedBy, Registration, Registrations, RegistryPeer};
use crate::fleet::INSIDE_NETWORKS;
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

/// How long writers wait.
pub const DEADLINE: Duration = Duration::from_secs(5);
/// A replica takes over this long after its primary died.
pub const TAKEOVER_AFTER_CRASH: Duration = Duration::from_millis(1_200);
/// A replica takes over this long after its primary began to drain.
pub const PLANNED_TAKEOVER: Duration = Duration::from_millis(400);
/// Traffic before the change, and after it.
const TRAFFIC_BEFORE: Duration = Duration::from_millis(500);
const TRAFFIC_AFTER: Duration = Duration::from_millis(1_300);
/// For so long a crash may be waited for.
const CRASH_LIMIT: Duration = Duration::from_secs(3);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const SERVERS: usize = 4;
const WRITERS: usize = 6;
/// A writer's pause between two writes.
const WRITER_PAUSE: Duration = Duration::from_millis(3);
const OLD_PRIMARY: &str = "s-1";
const NEW_PRIMARY: usize = 1;

/// A change of primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailoverCase {
    /// The primary dies.
    Crash(CrashPoint, CrashMode),
    /// The primary hands over.
    Planned,
}

impl FailoverCase {
    /// How often the planned change is among all cases.
    const PLANNED_COUNT: usize = 3;

    /// Each crash point in each mode, and the planned change.
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

/// A write as its client saw it.
#[derive(Clone, Debug)]
struct WriteRecord {
    id: String,
    asked_at: Instant,
    took: Duration,
    outcome: RequestOutcome,
}

/// The writes asked while there was no primary.
#[derive(Clone, Copy, Debug, Default)]
pub struct WritesWithoutPrimary {
    /// Those served.
    pub served: usize,
    /// All.
    pub asked: usize,
}

/// What came out of a case.
#[derive(Clone, Debug, Default)]
pub struct FailoverOutcome {
    /// Whether the primary died where it should.
    pub happened: bool,
    /// Writes asked.
    pub writes: usize,
    /// Rows that ran twice.
    pub doubled: usize,
    /// Served, and no replica has the row.
    pub served_without_row: usize,
    /// Rejected, and there is a row.
    pub rejected_with_row: usize,
    /// Without a final answer.
    pub unanswered: usize,
    /// Answered after the client had given up.
    pub late: usize,
    /// Failed: nothing is promised.
    pub failed: usize,
    /// The writes asked between the two primaries.
    pub without_primary: WritesWithoutPrimary,
    /// From the new primary to the first write that is served.
    pub handover: Option<Duration>,
    /// How long writes took that were asked during the change.
    pub latencies_during: Vec<Duration>,
    /// How long writes took that ended before it.
    pub latencies_before: Vec<Duration>,
    /// By outcome.
    pub outcomes: BTreeMap<RequestOutcome, usize>,
    /// The pooler's log, where a write asked between the primaries was not served.
    pub log: Option<Vec<String>>,
}

/// The moments of a change.
#[derive(Clone, Copy, Debug)]
struct Change {
    began_at: Instant,
    promoted_at: Instant,
}

impl FailoverOutcome {
    /// The writes that were served.
    #[must_use]
    pub fn served(&self) -> usize {
        self.outcomes.get(&RequestOutcome::Served).copied().unwrap_or(0)
    }

    fn add(&mut self, write: &WriteRecord, has_row: bool, change: Change) {
        *self.outcomes.entry(write.outcome.clone()).or_default() += 1;
        let is_served = write.outcome == RequestOutcome::Served;
        self.served_without_row += usize::from(is_served && !has_row);
        self.rejected_with_row += usize::from(write.outcome == RequestOutcome::Rejected && has_row);
        self.failed += usize::from(matches!(write.outcome, RequestOutcome::Failed { .. }));
        self.unanswered += usize::from(matches!(write.outcome, RequestOutcome::Broken { .. }));
        self.late += usize::from(write.took > DEADLINE + DEADLINE_TOLERANCE);
        let ended_at = write.asked_at + write.took;
        if write.asked_at > change.began_at && write.asked_at < change.promoted_at {
            self.without_primary.served += usize::from(is_served);
            self.without_primary.asked += 1;
            self.latencies_during.push(write.took);
        }
        if ended_at < change.began_at {
            self.latencies_before.push(write.took);
        }
        if is_served && ended_at > change.promoted_at {
            let after = ended_at - change.promoted_at;
            self.handover = Some(self.handover.map_or(after, |best| best.min(after)));
        }
    }
}

/// Clients that go on writing.
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

    /// Starts so many more.
    fn start(&mut self, count: usize) {
        for _ in 0..count {
            let number = self.threads.len();
            let (stop, records) = (self.stop.clone(), self.records.clone());
            let client = Client::new(self.address, number, 1, self.history.clone()).with_deadline(DEADLINE);
            self.threads.push(std::thread::spawn(move || write_until_stopped(client, &stop, &records)));
        }
    }

    /// Stops them; all that they wrote.
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
        let asked_at = Instant::now();
        let outcome = client.request(RequestClass::TopUp);
        let record = WriteRecord { id: client.last_id(), asked_at, took: asked_at.elapsed(), outcome };
        lock(records).push(record);
        std::thread::sleep(WRITER_PAUSE);
    }
}

/// A group of servers, registered, and a pooler before it.
struct Setup {
    group: ReplicatedGroup,
    registrations: Registrations,
    _peer: RegistryPeer,
    history: SharedHistory,
    pooler: PoolerProcess,
}

impl Setup {
    fn start(program: &Path) -> Result<Self, TestbedError> {
        let group = ReplicatedGroup::start(SERVERS, IpAddr::V4(INSIDE_NETWORKS))?;
        let (registrations, history) = (Registrations::default(), SharedHistory::default());
        for (at, address) in group.addresses.iter().enumerate() {
            let (id, timestamp) = (format!("s-{}", at + 1), registrations.next_timestamp());
            registrations.register(Registration::server(&id, *address, at == 0, timestamp));
        }
        let peer = RegistryPeer::start(&registrations, &history)?;
        let operator =
            OperatorConfig { peers: vec![peer.address], interval: POLL_INTERVAL, extra: Vec::new() };
        let pooler = PoolerProcess::start_with_registry(program, &operator.to_string())?;
        Ok(Self { group, registrations, _peer: peer, history, pooler })
    }

    /// Begins the change; when, if it did begin.
    fn begin(&self, case: FailoverCase, writers: &mut Writers) -> Option<Instant> {
        match case {
            FailoverCase::Planned => {
                self.group.drain_primary();
                let drain = |one: &mut Registration| one.status = "OUT_OF_SERVICE".into();
                self.registrations.update(OLD_PRIMARY, ChangedBy::Instance, drain);
                Some(Instant::now())
            }
            FailoverCase::Crash(point, mode) => {
                self.group.plan_crash(point, mode);
                // More at once than there are connections, so that one has to be opened.
                writers.start(WRITERS);
                let give_up_at = Instant::now() + CRASH_LIMIT;
                while self.group.crashed_at().is_none() && Instant::now() < give_up_at {
                    std::thread::sleep(Duration::from_millis(1));
                }
                self.group.crashed_at()
            }
        }
    }
}

/// Plays a case with the pooler at `program`.
///
/// # Errors
///
/// When it can't be played; what comes out wrong is no error.
pub fn play(case: FailoverCase, program: &Path) -> Result<FailoverOutcome, TestbedError> {
    let setup = Setup::start(program)?;
    let mut writers = Writers::new(setup.pooler.address, setup.history.clone());
    writers.start(WRITERS);
    std::thread::sleep(TRAFFIC_BEFORE);

    let began_at = setup.begin(case, &mut writers);
    let mut outcome = FailoverOutcome { happened: began_at.is_some(), ..FailoverOutcome::default() };
    let began_at = began_at.unwrap_or_else(Instant::now);
    let takeover = if case == FailoverCase::Planned { PLANNED_TAKEOVER } else { TAKEOVER_AFTER_CRASH };
    std::thread::sleep((began_at + takeover).saturating_duration_since(Instant::now()));
    setup.group.promote(NEW_PRIMARY);
    let change = Change { began_at, promoted_at: Instant::now() };
    std::thread::sleep(TRAFFIC_AFTER);
    let writes = writers.stop();

    let rows = setup.group.replicated_rows();
    outcome.writes = writes.len();
    outcome.doubled = setup.group.doubled_rows();
    for write in &writes {
        outcome.add(write, rows.contains_key(&write.id), change);
    }
    if outcome.without_primary.served < outcome.without_primary.asked {
        outcome.log = Some(setup.pooler.log());
    }
    Ok(outcome)
}

/// The value below which this share of them lies.
#[must_use]
pub fn quantile(values: &[Duration], share: f64) -> Duration {
    let mut sorted = values.to_vec();
    sorted.sort();
    let at = ((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
    sorted.get(at).copied().unwrap_or_default()
}

//! What a registry of many instances costs the pooler: time and memory of a full read and of a delta, as the system
//! counts them for its process.

use crate::error::TestbedError;
use crate::fake_registry::{Registration, Registrations, RegistryPeer};
use crate::history::SharedHistory;
use crate::operator_config::OperatorConfig;
use crate::pooler_process::PoolerProcess;
use crate::wait_until;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How many deltas are measured with changes in them, and without.
const MEASURED_DELTAS: u64 = 40;
/// How many instances change between two deltas.
const CHANGES_PER_DELTA: usize = 10;
/// After so many deltas the pooler has settled.
const SETTLING_DELTAS: u64 = 3;
/// After this time a pooler without a registry has settled.
const SETTLING_TIME: Duration = Duration::from_millis(300);
const GROUP_SIZE: usize = 6;
/// The polling interval for which the share of the processor is given, in ms.
const USUAL_INTERVAL_MS: f64 = 30_000.0;

/// The system's figures of a process.
struct ProcessFigures {
    id: u32,
}

impl ProcessFigures {
    /// The processor time that a process of one thread has had.
    fn cpu(&self) -> Result<Duration, TestbedError> {
        let text = std::fs::read_to_string(format!("/proc/{}/schedstat", self.id))?;
        let ns = text.split_ascii_whitespace().next().and_then(|text| text.parse().ok());
        ns.map(Duration::from_nanos).ok_or(TestbedError::NoProcessFigure("schedstat"))
    }

    /// A figure of its status, in KB.
    fn memory_kb(&self, name: &'static str) -> Result<u64, TestbedError> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.id))?;
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        let kb = line.and_then(|line| line.split_ascii_whitespace().nth(1)?.parse().ok());
        kb.ok_or(TestbedError::NoProcessFigure(name))
    }

    fn threads(&self) -> Result<usize, TestbedError> {
        Ok(std::fs::read_dir(format!("/proc/{}/task", self.id))?.count())
    }

    fn descriptors(&self) -> Result<usize, TestbedError> {
        Ok(std::fs::read_dir(format!("/proc/{}/fd", self.id))?.count())
    }
}

/// A pooler without a registry, to compare with.
struct IdleFigures {
    memory_kb: u64,
    threads: usize,
    descriptors: usize,
}

impl IdleFigures {
    fn measure(program: &Path) -> Result<Self, TestbedError> {
        let pooler = PoolerProcess::start(program, None)?;
        std::thread::sleep(SETTLING_TIME);
        let figures = ProcessFigures { id: pooler.id() };
        Ok(Self {
            memory_kb: figures.memory_kb("VmRSS")?,
            threads: figures.threads()?,
            descriptors: figures.descriptors()?,
        })
    }
}

/// The cost of deltas.
struct DeltaCost {
    cpu_ms: f64,
    /// Full reads that were needed meanwhile.
    full_reads: u64,
}

/// A registry of many instances.
struct LargeRegistry {
    registrations: Registrations,
    ids: Vec<String>,
    peer: RegistryPeer,
}

impl LargeRegistry {
    fn start(instances: usize) -> Result<Self, TestbedError> {
        let registrations = Registrations::default().with_delta_window(POLL_INTERVAL * 3 / 4);
        let ids: Vec<String> = (0..instances).map(|at| format!("server-{at:05}")).collect();
        let all = ids.iter().enumerate().map(|(at, id)| large_registration(at, id, &registrations));
        registrations.register_unnoticed(all.collect::<Vec<_>>());
        let peer = RegistryPeer::start(&registrations, &SharedHistory::default())?;
        peer.compress(false);
        Ok(Self { registrations, ids, peer })
    }

    fn operator_config(&self) -> String {
        let peers = vec![self.peer.address];
        OperatorConfig { peers, interval: POLL_INTERVAL, extra: Vec::new() }.to_string()
    }

    fn wait_for_deltas(&self, count: u64) -> Result<(), TestbedError> {
        wait_until("a delta", || self.peer.received().delta_reads >= count)
    }

    /// Measures deltas with so many changes in each.
    fn measure_deltas(&self, figures: &ProcessFigures, changes: usize) -> Result<DeltaCost, TestbedError> {
        let before = self.peer.received();
        let cpu_before = figures.cpu()?;
        let changing = &self.ids[..changes.min(self.ids.len())];
        let mut deltas = before.delta_reads;
        let mut is_up = true;
        while deltas < before.delta_reads + MEASURED_DELTAS {
            if !changing.is_empty() {
                is_up = !is_up;
                let status = if is_up { "UP" } else { "OUT_OF_SERVICE" };
                self.registrations.set_status_of_servers(changing, status);
            }
            self.wait_for_deltas(deltas + 1)?;
            deltas = self.peer.received().delta_reads;
        }
        let spent = figures.cpu()? - cpu_before;
        Ok(DeltaCost {
            cpu_ms: milliseconds(spent) / (deltas - before.delta_reads) as f64,
            full_reads: self.peer.received().full_reads - before.full_reads,
        })
    }
}

fn large_registration(at: usize, id: &str, registrations: &Registrations) -> Registration {
    let role = if at % GROUP_SIZE == 0 { "primary" } else { "replica" };
    Registration {
        app: "DB".into(),
        id: id.to_owned(),
        ip: format!("127.10.{}.{}", at / 250, at % 250 + 1),
        port: 6_543,
        status: "UP".into(),
        overridden_status: "UNKNOWN".into(),
        dirty_ms: registrations.next_timestamp(),
        metadata: BTreeMap::from([
            ("group".to_owned(), (at / GROUP_SIZE).to_string()),
            ("role".to_owned(), role.to_owned()),
            ("zone".to_owned(), "adum".to_owned()),
        ]),
        ..Registration::default()
    }
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

fn rounded(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}

/// So many KB more than another, in MB.
fn megabytes_over(kb: u64, other_kb: u64) -> f64 {
    rounded(kb.saturating_sub(other_kb) as f64 / 1_024.0)
}

/// Measures with so many instances; the figures as a JSON object.
///
/// # Errors
///
/// When it can't be measured.
pub fn measure(program: &Path, instances: usize) -> Result<Value, TestbedError> {
    let idle = IdleFigures::measure(program)?;
    let registry = LargeRegistry::start(instances)?;
    let started = Instant::now();
    let pooler = PoolerProcess::start_with_registry(program, &registry.operator_config())?;
    let figures = ProcessFigures { id: pooler.id() };
    let (full_cpu, full_wall) = (figures.cpu()?, started.elapsed());
    registry.wait_for_deltas(SETTLING_DELTAS)?;
    let (peak_kb, held_kb) = (figures.memory_kb("VmHWM")?, figures.memory_kb("VmRSS")?);
    let (threads, descriptors) = (figures.threads()?, figures.descriptors()?);
    let empty = registry.measure_deltas(&figures, 0)?;
    let changing = registry.measure_deltas(&figures, CHANGES_PER_DELTA)?;
    Ok(json!({
        "instances": instances, "idle_mb": rounded(idle.memory_kb as f64 / 1_024.0),
        "full_peak_over_idle_mb": megabytes_over(peak_kb, idle.memory_kb),
        "held_over_idle_mb": megabytes_over(held_kb, idle.memory_kb),
        "start_and_full_cpu_ms": rounded(milliseconds(full_cpu)),
        "start_and_full_wall_ms": rounded(milliseconds(full_wall)),
        "empty_delta_cpu_ms": rounded(empty.cpu_ms), "delta_of_10_cpu_ms": rounded(changing.cpu_ms),
        "ten_changes_cpu_ms": rounded(changing.cpu_ms - empty.cpu_ms),
        "fulls_meanwhile": changing.full_reads,
        "cpu_share_at_30_s": rounded(changing.cpu_ms / USUAL_INTERVAL_MS),
        "more_threads": threads - idle.threads, "more_descriptors": descriptors - idle.descriptors,
    }))
}

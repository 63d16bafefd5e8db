//! Measures the cost of a large registry for the pooler: processor time and memory of full reads and deltas,
//! taken from the kernel's accounting of the pooler's process.

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

/// The interval at which the measured pooler polls the registry.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The minimum number of deltas in each of the two measurements, without and with changes.
const MEASURED_DELTAS: u64 = 40;
/// The number of instances that change between two deltas, in the measurement with changes.
const CHANGES_PER_DELTA: usize = 10;
/// The number of deltas after which a pooler has settled and its memory is measured.
const SETTLING_DELTAS: u64 = 3;
/// The time after which a pooler without a registry has settled and its memory is measured.
const SETTLING_TIME: Duration = Duration::from_millis(300);
/// The number of servers in each group, one of them the primary.
const GROUP_SIZE: usize = 6;
/// The polling interval for which the processor share is reported, in ms.
const REFERENCE_POLL_INTERVAL_MS: f64 = 30_000.0;

/// The kernel's statistics of a process, read from `/proc`.
struct ProcessStats {
    process_id: u32,
}

impl ProcessStats {
    /// The processor time of the main thread, which in a single-threaded process is that of the process.
    fn cpu_time(&self) -> Result<Duration, TestbedError> {
        let text = std::fs::read_to_string(format!("/proc/{}/schedstat", self.process_id))?;
        let ns = text.split_ascii_whitespace().next().and_then(|text| text.parse().ok());
        ns.map(Duration::from_nanos).ok_or(TestbedError::MissingProcessStatistic("schedstat"))
    }

    /// A memory field of `/proc/<pid>/status`, in KB.
    fn memory_kb(&self, name: &'static str) -> Result<u64, TestbedError> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.process_id))?;
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        let kb = line.and_then(|line| line.split_ascii_whitespace().nth(1)?.parse().ok());
        kb.ok_or(TestbedError::MissingProcessStatistic(name))
    }

    fn threads(&self) -> Result<usize, TestbedError> {
        Ok(std::fs::read_dir(format!("/proc/{}/task", self.process_id))?.count())
    }

    fn descriptors(&self) -> Result<usize, TestbedError> {
        Ok(std::fs::read_dir(format!("/proc/{}/fd", self.process_id))?.count())
    }
}

/// The resources of a pooler without a registry: the baseline of the reported differences.
struct IdleBaseline {
    memory_kb: u64,
    threads: usize,
    descriptors: usize,
}

impl IdleBaseline {
    fn measure(program: &Path) -> Result<Self, TestbedError> {
        let pooler = PoolerProcess::start(program, None)?;
        std::thread::sleep(SETTLING_TIME);
        let stats = ProcessStats { process_id: pooler.id() };
        Ok(Self {
            memory_kb: stats.memory_kb("VmRSS")?,
            threads: stats.threads()?,
            descriptors: stats.descriptors()?,
        })
    }
}

/// The cost of reading deltas.
struct DeltaCost {
    /// The mean processor time of one delta, in ms.
    cpu_ms: f64,
    /// The number of full reads during the measurement.
    full_reads: u64,
}

/// A fake registry with one peer and many instances.
struct LargeRegistry {
    registrations: Registrations,
    ids: Vec<String>,
    peer: RegistryPeer,
}

impl LargeRegistry {
    fn start(instances: usize) -> Result<Self, TestbedError> {
        let registrations = Registrations::default().with_delta_window(POLL_INTERVAL * 3 / 4);
        let ids: Vec<String> = (0..instances).map(|index| format!("server-{index:05}")).collect();
        let all = ids.iter().enumerate().map(|(index, id)| benchmark_registration(index, id, &registrations));
        registrations.register_without_delta(all.collect::<Vec<_>>());
        let peer = RegistryPeer::start(&registrations, &SharedHistory::default())?;
        peer.set_compression(false);
        Ok(Self { registrations, ids, peer })
    }

    fn operator_config(&self) -> String {
        let peers = vec![self.peer.address];
        OperatorConfig { peers, interval: POLL_INTERVAL, extra: Vec::new() }.to_string()
    }

    /// Waits until the pooler has read this many deltas since the registry's start.
    fn wait_for_deltas(&self, count: u64) -> Result<(), TestbedError> {
        wait_until("the pooler's next delta read", || self.peer.received().delta_reads >= count)
    }

    /// Measures at least `MEASURED_DELTAS` deltas. Before each, `changes` instances switch between `UP` and
    /// `OUT_OF_SERVICE`.
    fn measure_deltas(&self, stats: &ProcessStats, changes: usize) -> Result<DeltaCost, TestbedError> {
        let before = self.peer.received();
        let cpu_before = stats.cpu_time()?;
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
        let spent = stats.cpu_time()? - cpu_before;
        Ok(DeltaCost {
            cpu_ms: as_ms(spent) / (deltas - before.delta_reads) as f64,
            full_reads: self.peer.received().full_reads - before.full_reads,
        })
    }
}

/// The registration of the server at this index. Each server has an address of its own.
fn benchmark_registration(index: usize, id: &str, registrations: &Registrations) -> Registration {
    let role = if index % GROUP_SIZE == 0 { "primary" } else { "replica" };
    Registration {
        app: "DB".into(),
        id: id.to_owned(),
        ip: format!("127.10.{}.{}", index / 250, index % 250 + 1),
        port: 6_543,
        status: "UP".into(),
        overridden_status: "UNKNOWN".into(),
        dirty_ms: registrations.next_timestamp(),
        metadata: BTreeMap::from([
            ("group".to_owned(), (index / GROUP_SIZE).to_string()),
            ("role".to_owned(), role.to_owned()),
            ("zone".to_owned(), "adum".to_owned()),
        ]),
        ..Registration::default()
    }
}

fn as_ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

fn to_3_decimals(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}

/// The excess of one size over another in MB, both given in KB; 0 if the first is smaller.
fn difference_mb(kb: u64, baseline_kb: u64) -> f64 {
    to_3_decimals(kb.saturating_sub(baseline_kb) as f64 / 1_024.0)
}

/// Measures the pooler with a registry of this many instances and returns the results as a JSON object.
///
/// # Errors
///
/// If the registry or the pooler does not start, a delta read takes too long or a process statistic is
/// missing.
pub fn measure(program: &Path, instances: usize) -> Result<Value, TestbedError> {
    let idle = IdleBaseline::measure(program)?;
    let registry = LargeRegistry::start(instances)?;
    let started = Instant::now();
    let pooler = PoolerProcess::start_with_registry(program, &registry.operator_config())?;
    let stats = ProcessStats { process_id: pooler.id() };
    let (full_cpu, full_elapsed) = (stats.cpu_time()?, started.elapsed());
    registry.wait_for_deltas(SETTLING_DELTAS)?;
    let (peak_kb, resident_kb) = (stats.memory_kb("VmHWM")?, stats.memory_kb("VmRSS")?);
    let (threads, descriptors) = (stats.threads()?, stats.descriptors()?);
    let empty = registry.measure_deltas(&stats, 0)?;
    let changing = registry.measure_deltas(&stats, CHANGES_PER_DELTA)?;
    Ok(json!({
        "instances": instances, "idle_mb": to_3_decimals(idle.memory_kb as f64 / 1_024.0),
        "full_peak_over_idle_mb": difference_mb(peak_kb, idle.memory_kb),
        "held_over_idle_mb": difference_mb(resident_kb, idle.memory_kb),
        "start_and_full_cpu_ms": to_3_decimals(as_ms(full_cpu)),
        "start_and_full_wall_ms": to_3_decimals(as_ms(full_elapsed)),
        "empty_delta_cpu_ms": to_3_decimals(empty.cpu_ms),
        "delta_of_10_cpu_ms": to_3_decimals(changing.cpu_ms),
        "ten_changes_cpu_ms": to_3_decimals(changing.cpu_ms - empty.cpu_ms),
        "fulls_meanwhile": changing.full_reads,
        "cpu_share_at_30_s": to_3_decimals(changing.cpu_ms / REFERENCE_POLL_INTERVAL_MS),
        "more_threads": threads - idle.threads, "more_descriptors": descriptors - idle.descriptors,
    }))
}

//! What takes up the process's memory: a section of the status report, and a warning when little is left.

use crate::client::connection_slots::ConnectionSlots;
use crate::discovery::endpoint_directory::EndpointDirectory;
use crate::memory_budget::MemoryBudget;
use crate::metrics::Counters;
use crate::server::pool::Pool;
use async_io::Timer;
use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

/// The interval at which the allocated memory is looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The percentages of the memory limit above which a warning is logged, once each until less is allocated again.
const WARNING_PERCENTAGES: [u64; 3] = [50, 75, 90];
/// The file in which the system reports the memory of this process.
const PROCESS_STATUS: &str = "/proc/self/status";
/// The field of that file with the memory that is not backed by files, in KiB.
const ALLOCATED_FIELD: &str = "RssAnon:";
const BYTES_PER_KIB: usize = 1024;

/// Reports what takes up the memory.
pub struct MemoryReport {
    limit_kib: u64,
    counters: Rc<Counters>,
    budget: Rc<MemoryBudget>,
    slots: Rc<ConnectionSlots>,
    pool: Rc<Pool>,
    directory: Rc<EndpointDirectory>,
    /// The number of warning percentages that the last check found exceeded.
    exceeded: Cell<usize>,
}

impl MemoryReport {
    /// Creates the report of a process with a memory limit of `limit` bytes.
    #[must_use]
    pub fn new(
        limit: usize,
        counters: Rc<Counters>,
        budget: Rc<MemoryBudget>,
        slots: Rc<ConnectionSlots>,
        pool: Rc<Pool>,
        directory: Rc<EndpointDirectory>,
    ) -> Self {
        let limit_kib = (limit / BYTES_PER_KIB) as u64;
        Self { limit_kib, counters, budget, slots, pool, directory, exceeded: Cell::new(0) }
    }

    /// Looks at the allocated memory from time to time, and logs a warning when much of the limit is in use; never
    /// returns.
    pub async fn run(&self) {
        loop {
            Timer::after(CHECK_INTERVAL).await;
            self.check();
        }
    }

    fn check(&self) {
        let Some(allocated_kib) = allocated_kib() else { return };
        self.counters.peak_allocated_memory_kib.raise_to(allocated_kib);
        let is_exceeded = |percentage: &&u64| allocated_kib * 100 > self.limit_kib * **percentage;
        let exceeded = WARNING_PERCENTAGES.iter().filter(is_exceeded).count();
        if exceeded > self.exceeded.replace(exceeded) {
            tracing::warn!("over {}% of the memory limit: {self}", WARNING_PERCENTAGES[exceeded - 1]);
        }
    }
}

impl fmt::Display for MemoryReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "memory limit_kib={} allocated_kib={}", self.limit_kib, allocated_kib().unwrap_or(0))?;
        let (open, served) = (self.slots.open_connections(), self.slots.served_clients());
        write!(f, " open_clients={open} served_clients={served}")?;
        write!(f, " server_connections={}", self.pool.open_connections())?;
        write!(f, " endpoints_kib={} {}", self.directory.memory_used() / BYTES_PER_KIB, self.budget)
    }
}

/// The memory that the process has allocated, in KiB; `None` if the system doesn't tell.
fn allocated_kib() -> Option<u64> {
    let status = std::fs::read_to_string(PROCESS_STATUS).ok()?;
    let field = status.lines().find_map(|line| line.strip_prefix(ALLOCATED_FIELD))?;
    field.split_whitespace().next()?.parse().ok()
}

//! Poolers with little memory, and what they allocate.

use crate::support::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// The interval at which the memory of the process is looked at.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
const KIB_PER_MIB: u64 = 1024;

/// The limits of a pooler, and the bad clients that it meets.
#[derive(Clone, Copy)]
pub struct Setup {
    pub memory_mib: u64,
    pub sockets: usize,
    pub bad_clients: usize,
}

/// Little memory for the descriptors.
pub const LITTLE_MEMORY: Setup = Setup { memory_mib: 20, sockets: 384, bad_clients: 190 };
/// The least memory and the most descriptors that the operators' pages name.
pub const LEAST_MEMORY_MOST_SOCKETS: Setup = Setup { memory_mib: 32, sockets: 1_024, bad_clients: 330 };
/// Looks at the memory that a process has allocated until it is dropped.
pub struct MemoryMonitor {
    limit_kib: u64,
    stop: Arc<AtomicBool>,
    sampler: Option<std::thread::JoinHandle<u64>>,
}

impl MemoryMonitor {
    pub fn start(pooler: &PoolerProcess, setup: Setup) -> Self {
        let (process, stop) = (pooler.id(), Arc::new(AtomicBool::new(false)));
        let stopped = stop.clone();
        let sampler = std::thread::spawn(move || {
            let mut peak = 0;
            while !stopped.load(Ordering::Relaxed) {
                peak = peak.max(allocated_kib(process));
                std::thread::sleep(SAMPLE_INTERVAL);
            }
            peak
        });
        Self { limit_kib: setup.memory_mib * KIB_PER_MIB, stop, sampler: Some(sampler) }
    }

    /// Asserts that the process has stayed below its limit.
    pub fn assert_below_limit(mut self, what: &str) {
        self.stop.store(true, Ordering::Relaxed);
        let peak = self.sampler.take().unwrap().join().unwrap();
        assert!(peak > 0, "{what}: the memory of the process is unknown");
        println!("{what}: {peak} KiB of {} at most", self.limit_kib);
        assert!(peak <= self.limit_kib, "{what}: the process allocated {peak} KiB");
    }
}

/// Starts a pooler with these limits.
pub fn start_pooler(
    setup: Setup,
    entries: Vec<serde_json::Value>,
    discovery: &FakeDiscovery,
) -> PoolerProcess {
    let config = PoolerConfig::new(discovery, entries).sockets(setup.sockets);
    PoolerProcess::start(&config.with("/limits/memory_mb", setup.memory_mib))
}

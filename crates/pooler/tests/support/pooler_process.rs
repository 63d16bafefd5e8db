//! The built pooler as a process.

use super::{FakeDiscovery, FakeServer, PATIENCE, PoolerConfig};
use rustix::process::{Pid, Resource, Rlimit, prlimit};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};

/// How often [`PoolerProcess::counts`] looks.
const COUNTER_POLLS: usize = 5_000;

/// The signals that tests send to a pooler.
#[derive(Clone, Copy)]
pub enum Signal {
    Terminate,
    Interrupt,
    Reload,
    ReportCounters,
    Stop,
    Continue,
}

impl Signal {
    /// Its name as `kill` takes it.
    fn name(self) -> &'static str {
        match self {
            Self::Terminate => "TERM",
            Self::Interrupt => "INT",
            Self::Reload => "HUP",
            Self::ReportCounters => "USR1",
            Self::Stop => "STOP",
            Self::Continue => "CONT",
        }
    }

    /// Sends it to a process; false if that could not be done.
    pub fn send_to(self, process: u32) -> bool {
        let status = Command::new("kill").args(["-s", self.name(), &process.to_string()]).status();
        status.is_ok_and(|status| status.success())
    }
}

/// A running pooler; killed when dropped.
pub struct PoolerProcess {
    child: Child,
    pub address: SocketAddr,
    log: Receiver<String>,
    file: PathBuf,
    /// Where the test does not speak for discovery, its watch stays open and silent.
    _silent_discovery: Option<FakeDiscovery>,
}

/// Starts the pooler on a file that holds `config`: the built one, or the program that `POOLER_PROGRAM` names.
pub fn spawn_pooler(config: &str) -> (Child, PathBuf) {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let file = std::env::temp_dir().join(format!("pooler-{}-{number}.json", std::process::id()));
    std::fs::write(&file, config).unwrap();
    let program = std::env::var("POOLER_PROGRAM").unwrap_or(env!("CARGO_BIN_EXE_pooler").to_owned());
    let mut command = Command::new(program);
    (command.env("GW_CONFIG", &file).stderr(Stdio::piped()).spawn().unwrap(), file)
}

impl PoolerProcess {
    /// Starts one that knows this server as a replica, and no other.
    pub fn with_replica(server: &FakeServer) -> Self {
        Self::with_server(server, "replica", |config| config)
    }

    /// Starts one that knows this server as the primary, and no other.
    pub fn with_primary(server: &FakeServer) -> Self {
        Self::with_server(server, "master", |config| config)
    }

    /// Starts one that knows this server in this role, with the configuration changed so.
    pub fn with_server(
        server: &FakeServer,
        role: &str,
        configure: impl FnOnce(PoolerConfig) -> PoolerConfig,
    ) -> Self {
        let discovery = FakeDiscovery::new();
        let config = PoolerConfig::new(&discovery, vec![server.entry("up", role)]);
        let mut pooler = Self::start(&configure(config));
        pooler._silent_discovery = Some(discovery);
        pooler
    }

    /// Starts one with this configuration, and waits until it listens.
    pub fn start(config: &PoolerConfig) -> Self {
        let (mut child, file) = spawn_pooler(&config.to_string());
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let (sender, log) = channel();
        std::thread::spawn(move || {
            while let Some(Ok(line)) = lines.next() {
                if sender.send(line).is_err() {
                    return;
                }
            }
        });
        let first = log.recv_timeout(PATIENCE).unwrap();
        let address = first.rsplit(' ').next().unwrap().parse().unwrap();
        Self { child, address, log, file, _silent_discovery: None }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: Signal) {
        assert!(signal.send_to(self.id()));
    }

    /// Tells it to end, and waits until it has begun to drain.
    pub fn begin_shutdown(&self) {
        self.signal(Signal::Terminate);
        self.wait_for_log("draining");
    }

    /// Lets it open only so many descriptors beyond those that it has open.
    pub fn limit_further_descriptors(&self, count: usize) {
        let open = std::fs::read_dir(format!("/proc/{}/fd", self.id())).unwrap();
        let open: BTreeSet<u64> =
            open.map(|file| file.unwrap().file_name().to_str().unwrap().parse().unwrap()).collect();
        // The limit holds for the numbers of descriptors, the lowest free one of which is opened next.
        let limit = (0..).filter(|number| !open.contains(number)).nth(count);
        let limit = Rlimit { current: limit, maximum: limit };
        prlimit(Some(Pid::from_child(&self.child)), Resource::Nofile, limit).unwrap();
    }

    /// Stops the process while `meanwhile` happens, and for a while after.
    pub fn while_stopped(&self, meanwhile: impl FnOnce()) {
        self.signal(Signal::Stop);
        meanwhile();
        std::thread::sleep(std::time::Duration::from_millis(300));
        self.signal(Signal::Continue);
    }

    /// The log line with its counters so far.
    pub fn counters(&self) -> String {
        self.signal(Signal::ReportCounters);
        self.wait_for_log("counters")
    }

    /// Waits until its counters hold this text.
    pub fn wait_for_counter(&self, text: &str) {
        while !self.counters().contains(text) {}
    }

    /// Waits until its counters hold this text; false if they never do.
    pub fn counts(&self, text: &str) -> bool {
        self.counts_within(COUNTER_POLLS, text)
    }

    /// The same with so many looks.
    pub fn counts_within(&self, polls: usize, text: &str) -> bool {
        (0..polls).any(|_| self.counters().contains(text))
    }

    /// Replaces its configuration file.
    pub fn write_configuration(&self, text: &str) {
        std::fs::write(&self.file, text).unwrap();
    }

    /// The next log line that holds this text.
    pub fn wait_for_log(&self, text: &str) -> String {
        loop {
            let line = self.log.recv_timeout(PATIENCE).unwrap();
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Waits for its end.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }

    /// How it ended, if it has.
    pub fn try_wait(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap()
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
    }
}

impl Drop for PoolerProcess {
    fn drop(&mut self) {
        self.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

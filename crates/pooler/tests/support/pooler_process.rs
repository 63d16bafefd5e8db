//! A pooler process under test, and the signals that tests send to it.

use super::{FakeDiscovery, FakeServer, PoolerConfig, STEP_TIMEOUT};
use rustix::process::{Pid, Resource, Rlimit, prlimit};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};

/// The number of counter reports that [`PoolerProcess::reaches_counter`] requests at most.
const MAX_COUNTER_POLLS: usize = 5_000;

/// A signal that tests send to a pooler.
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
    /// The signal's name as an argument of `kill -s`.
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

    /// Sends the signal to a process; false if that failed.
    pub fn send_to(self, process: u32) -> bool {
        let status = Command::new("kill").args(["-s", self.name(), &process.to_string()]).status();
        status.is_ok_and(|status| status.success())
    }
}

/// A running pooler process; killed on drop.
pub struct PoolerProcess {
    child: Child,
    pub address: SocketAddr,
    log: Receiver<String>,
    file: PathBuf,
    /// Keeps the pooler's watch open, without updates, if the test has no discovery service of its own.
    _silent_discovery: Option<FakeDiscovery>,
}

/// Writes `config` to a new file and starts a pooler with it: the built program, or the one that
/// `POOLER_PROGRAM` names. Returns the process and the file's path.
pub fn spawn_pooler(config: &str) -> (Child, PathBuf) {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let file = std::env::temp_dir().join(format!("pooler-{}-{number}.json", std::process::id()));
    std::fs::write(&file, config).unwrap();
    let program = std::env::var("POOLER_PROGRAM").unwrap_or(env!("CARGO_BIN_EXE_pooler").to_owned());
    let mut command = Command::new(program);
    (command.env("GW_CONFIG", &file).stderr(Stdio::piped()).spawn().unwrap(), file)
}

/// The memory that a process has allocated, in KiB; 0 if it has ended.
pub fn allocated_kib(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

impl PoolerProcess {
    /// Starts a pooler whose only endpoint is this server, as a replica.
    pub fn with_replica(server: &FakeServer) -> Self {
        Self::with_server(server, "replica", |config| config)
    }

    /// Starts a pooler whose only endpoint is this server, as the primary.
    pub fn with_primary(server: &FakeServer) -> Self {
        Self::with_server(server, "master", |config| config)
    }

    /// Starts a pooler whose only endpoint is this server in this role. `configure` may change the
    /// configuration.
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

    /// Starts a pooler with this configuration, and waits until it listens.
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
        let first_line = log.recv_timeout(STEP_TIMEOUT).unwrap();
        let address = first_line.rsplit(' ').next().unwrap().parse().unwrap();
        Self { child, address, log, file, _silent_discovery: None }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The number of write calls that the process has made so far.
    pub fn write_calls(&self) -> usize {
        let io = std::fs::read_to_string(format!("/proc/{}/io", self.id())).unwrap();
        let calls = io.lines().find_map(|line| line.strip_prefix("syscw: "));
        calls.unwrap().parse().unwrap()
    }

    pub fn signal(&self, signal: Signal) {
        assert!(signal.send_to(self.id()));
    }

    /// Sends SIGTERM, and waits until the pooler has begun to drain.
    pub fn begin_shutdown(&self) {
        self.signal(Signal::Terminate);
        self.wait_for_log("draining");
    }

    /// Limits the process to `count` descriptors beyond those that are open now.
    pub fn limit_further_descriptors(&self, count: usize) {
        let open = std::fs::read_dir(format!("/proc/{}/fd", self.id())).unwrap();
        let open: BTreeSet<u64> =
            open.map(|file| file.unwrap().file_name().to_str().unwrap().parse().unwrap()).collect();
        // RLIMIT_NOFILE bounds descriptor numbers, not their count; a new one gets the lowest free number.
        let limit = (0..).filter(|number| !open.contains(number)).nth(count);
        let limit = Rlimit { current: limit, maximum: limit };
        prlimit(Some(Pid::from_child(&self.child)), Resource::Nofile, limit).unwrap();
    }

    /// Stops the process with SIGSTOP while `meanwhile` runs, and for 300 ms after it.
    pub fn while_stopped(&self, meanwhile: impl FnOnce()) {
        self.signal(Signal::Stop);
        meanwhile();
        std::thread::sleep(std::time::Duration::from_millis(300));
        self.signal(Signal::Continue);
    }

    /// Requests a counter report, and returns its log line.
    pub fn counters(&self) -> String {
        self.signal(Signal::ReportCounters);
        self.wait_for_log("counters")
    }

    /// Requests a counter report, and returns the value of this counter.
    pub fn counter(&self, name: &str) -> u64 {
        let counters = self.counters();
        let mut fields = counters.split(' ').filter_map(|field| field.split_once('='));
        fields.find(|(key, _)| *key == name).unwrap().1.parse().unwrap()
    }

    /// Requests counter reports until one contains this text.
    pub fn wait_for_counter(&self, text: &str) {
        while !self.counters().contains(text) {}
    }

    /// Requests counter reports until one contains this text; false if [`MAX_COUNTER_POLLS`] reports don't.
    pub fn reaches_counter(&self, text: &str) -> bool {
        self.reaches_counter_within(MAX_COUNTER_POLLS, text)
    }

    /// Like [`Self::reaches_counter`], with at most `polls` reports.
    pub fn reaches_counter_within(&self, polls: usize, text: &str) -> bool {
        (0..polls).any(|_| self.counters().contains(text))
    }

    /// Overwrites the pooler's configuration file; the pooler reads it again on [`Signal::Reload`].
    pub fn write_configuration(&self, text: &str) {
        std::fs::write(&self.file, text).unwrap();
    }

    /// Waits for the next log line that contains this text. Discards the lines before it.
    pub fn wait_for_log(&self, text: &str) -> String {
        loop {
            let line = self.log.recv_timeout(STEP_TIMEOUT).unwrap();
            if line.contains(text) {
                return line;
            }
        }
    }

    /// The log lines that have not been waited for, joined.
    pub fn remaining_log(&self) -> String {
        self.log.try_iter().collect::<Vec<_>>().join("\n")
    }

    /// Waits until the process ends.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }

    /// The exit status, if the process has ended.
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

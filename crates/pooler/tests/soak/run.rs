//! One run of the soak test: a pooler with its servers and clients, and the faults, reloads and signals that
//! they go through.

use crate::bad_client::BadClient;
use crate::faulty_server;
use crate::history::{DRAIN_GRACE, Drain, SharedHistory};
use crate::load_client::LoadClient;
use crate::random::SharedRandom;
use crate::support::*;
use pooler_proxy::lifecycle::shutdown::ShutdownSchedule;
use std::process::ExitStatus;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The number of clients that send requests.
const ACTIVE_CLIENTS: usize = 12;
/// The number of clients that stay connected without a request, in runs at the connection limit.
const IDLE_CLIENTS: usize = 70;
/// The number of bad clients, in runs with a crowd of them.
const BAD_CLIENTS: usize = 50;
/// The pooler's memory limit: the least that the operators' pages name.
const MEMORY_MIB: u64 = 32;
/// The pooler's descriptor limit in runs at the connection limit.
const SOCKETS_AT_CONNECTION_LIMIT: usize = 128;
/// The pooler's descriptor limit in all other runs.
const SOCKETS_BELOW_CONNECTION_LIMIT: usize = 640;
/// How long clients send requests before SIGTERM, besides the quiet time and the reloads.
const TRAFFIC_BEFORE_SHUTDOWN: Duration = Duration::from_millis(1_200);
/// The pooler has usually applied a series of new configurations after this time.
const RELOAD_SETTLE_TIME: Duration = Duration::from_millis(300);
/// The time limit from SIGHUP until the pooler watches the new discovery service. From then on, an update
/// that was sent counts as reported to the pooler.
const WATCH_MOVE_LIMIT: Duration = Duration::from_secs(4);
/// The interval at which new watches are looked for.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long the process is stopped each time. It may be stopped for 0.15 s at any time, and the `kill`
/// commands take 10 ms of that.
const STOP_DURATION: Duration = Duration::from_millis(140);
/// The shortest pause between two stops: without one, two stops could become a single one of twice the
/// length.
const MIN_STOP_PAUSE_MS: u64 = 200;
/// The index in [`SERVERS`] of the endpoint whose drain is reported.
const DRAINED_SERVER: usize = 3;
/// The number of server seeds reserved for each run: no two runs use the same one.
const SERVER_SEEDS_PER_RUN: u64 = 8;
/// The ids of the servers, the primary first.
const SERVERS: [&str; 4] = ["s-1", "s-2", "s-3", "s-4"];

/// The conditions of a run, which its seed determines.
struct Plan {
    seed: u64,
    /// The deadline of every request class.
    deadline_ms: u64,
    /// Whether idle clients bring the pooler to its connection limit.
    at_connection_limit: bool,
    /// Whether a crowd of bad clients comes again and again.
    has_bad_clients: bool,
    /// Whether the pooler is stopped with SIGSTOP repeatedly.
    is_stopped_repeatedly: bool,
}

impl Plan {
    fn new(seed: u64) -> Self {
        Self {
            seed,
            deadline_ms: [300, 1_000, 3_000][seed as usize / 3 % 3],
            at_connection_limit: seed % 4 == 0,
            has_bad_clients: seed % 4 == 2,
            is_stopped_repeatedly: seed % 3 == 1,
        }
    }

    /// The time for which the pooler may be stopped while a client waits for an error.
    fn longest_stop(&self) -> Duration {
        if self.is_stopped_repeatedly { STOP_DURATION } else { Duration::ZERO }
    }

    /// One configuration for each discovery service, all with the same endpoints.
    fn configurations(&self, discoveries: &[FakeDiscovery], servers: &[FakeServer]) -> Vec<PoolerConfig> {
        let sockets = if self.at_connection_limit {
            SOCKETS_AT_CONNECTION_LIMIT
        } else {
            SOCKETS_BELOW_CONNECTION_LIMIT
        };
        let role = |index: usize| if index == 0 { "master" } else { "replica" };
        let entries: Vec<_> =
            servers.iter().enumerate().map(|(index, server)| server.entry("up", role(index))).collect();
        let configuration = |discovery: &FakeDiscovery| {
            PoolerConfig::new(discovery, entries.clone())
                .sockets(sockets)
                .with("/limits/memory_mb", MEMORY_MIB)
                .with_every_class("Deadline", self.deadline_ms)
                .with_every_class("Objective", self.deadline_ms / 2)
                .with("/settings/Limits/DialTimeout", 250)
                .with("/settings/Rules/DrainGrace", DRAIN_GRACE.as_millis() as u64)
        };
        discoveries.iter().map(configuration).collect()
    }
}

/// The client threads of a run, and the thread that stops the pooler repeatedly.
struct Load {
    ended: Arc<AtomicBool>,
    /// While set, no client sends anything.
    quiet: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
    /// Stops the pooler repeatedly.
    stop_thread: Option<JoinHandle<()>>,
    idle: Vec<Client>,
}

impl Load {
    fn start(plan: &Plan, pooler: &PoolerProcess, slack: Duration, history: &SharedHistory) -> Self {
        let ended = Arc::new(AtomicBool::new(false));
        let quiet = Arc::new(AtomicBool::new(false));
        let seed = plan.seed;
        let client = |index: usize| LoadClient {
            name: format!("c{seed}x{index}"),
            address: pooler.address,
            random: SharedRandom::new(seed * 100 + index as u64),
            deadline_ms: plan.deadline_ms,
            at_connection_limit: plan.at_connection_limit,
            slack,
            ended: ended.clone(),
            quiet: quiet.clone(),
            history: history.clone(),
            requests_sent: 0,
        };
        let spawn = |client: LoadClient| std::thread::spawn(move || client.run());
        let bad_client = |index: usize| BadClient {
            address: pooler.address,
            random: SharedRandom::new(seed * 1_000 + index as u64),
            slack: slack + plan.longest_stop(),
            ended: ended.clone(),
            history: history.clone(),
        };
        let bad_count = if plan.has_bad_clients { BAD_CLIENTS } else { 0 };
        let spawn_bad = |client: BadClient| std::thread::spawn(move || client.run());
        let clients = (0..ACTIVE_CLIENTS).map(|index| spawn(client(index)));
        let clients = clients.chain((0..bad_count).map(|index| spawn_bad(bad_client(index)))).collect();
        let stop_thread = plan.is_stopped_repeatedly.then(|| {
            let (process, ended) = (pooler.id(), ended.clone());
            std::thread::spawn(move || stop_repeatedly(process, seed, &ended))
        });
        let idle_count = if plan.at_connection_limit { IDLE_CLIENTS } else { 0 };
        let idle = (0..idle_count).map(|_| idle_client(pooler)).collect();
        Self { ended, quiet, clients, stop_thread, idle }
    }

    /// Has all clients send nothing for `SOAK_QUIET_S` seconds, by default 0.
    fn keep_quiet(&self) {
        let seconds = std::env::var("SOAK_QUIET_S").map_or(0, |text| text.parse().unwrap());
        self.quiet.store(seconds > 0, Ordering::Relaxed);
        std::thread::sleep(Duration::from_secs(seconds));
        self.quiet.store(false, Ordering::Relaxed);
    }

    /// Ends the load; returns the number of client threads that panicked, as they do when no response
    /// arrives.
    fn end(self) -> usize {
        self.ended.store(true, Ordering::Relaxed);
        let _ = self.stop_thread.map(JoinHandle::join);
        let panicked = self.clients.into_iter().filter_map(|client| client.join().err()).count();
        drop(self.idle);
        panicked
    }
}

/// Connects a client that sends an empty query and then stays idle.
fn idle_client(pooler: &PoolerProcess) -> Client {
    let mut client = Client::connect_with(pooler, b"Q\0\0\0\x05\0");
    client.read_response();
    client
}

/// Stops and continues a process repeatedly, until `ended` is set.
fn stop_repeatedly(process: u32, seed: u64, ended: &AtomicBool) {
    let random = SharedRandom::new(seed);
    while !ended.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(MIN_STOP_PAUSE_MS + random.below(200)));
        Signal::Stop.send_to(process);
        std::thread::sleep(STOP_DURATION);
        Signal::Continue.send_to(process);
    }
}

/// Sends 1, 3 or 5 reloads, each to the other discovery service, the last to the second one; returns the time
/// at which the last was sent.
fn reload_in_series(
    pooler: &PoolerProcess,
    configurations: &[PoolerConfig],
    random: &SharedRandom,
) -> Instant {
    let texts: Vec<String> = configurations.iter().map(PoolerConfig::to_string).collect();
    let mut sent_at = Instant::now();
    for number in 1..=1 + random.below(3) as usize * 2 {
        pooler.write_configuration(&texts[number % 2]);
        sent_at = Instant::now();
        pooler.signal(Signal::Reload);
        pooler.signal(Signal::ReportCounters);
        std::thread::sleep(Duration::from_millis(random.below(40)));
    }
    std::thread::sleep(RELOAD_SETTLE_TIME);
    sent_at
}

/// Waits, up to `limit`, until the pooler has opened a watch at a discovery service; returns all that it has
/// opened.
fn wait_for_watches(discovery: &FakeDiscovery, limit: Instant) -> Vec<Watch> {
    loop {
        let watches = discovery.pending_watches();
        if !watches.is_empty() || Instant::now() >= limit {
            return watches;
        }
        std::thread::sleep(WATCH_POLL_INTERVAL);
    }
}

/// Reports an endpoint as draining, in an update on the last watch. All watches must stay open until the run
/// ends.
fn report_drain(watches: &[Watch], server: &FakeServer) -> Drain {
    let change = delta(42, vec![server.entry("draining", "replica")]);
    watches.last().expect("the pooler watches the discovery service of the last reload").send(change);
    Drain { endpoint: server.id, reported_at: Instant::now() }
}

/// Checks that the process has stayed below its memory limit.
fn check_memory(pooler: &PoolerProcess, history: &SharedHistory) {
    let peak_kib = pooler.counter("peak_allocated_memory_kib");
    if peak_kib == 0 || peak_kib > MEMORY_MIB * 1_024 {
        history.lock().unwrap().violations.push(format!("the process allocated {peak_kib} KiB"));
    }
}

/// Sends the pooler several termination signals and a reload, and kills it at the earliest time for SIGKILL;
/// returns its exit status if it exited before.
fn shut_down(pooler: &mut PoolerProcess, deadline_ms: u64, history: &SharedHistory) -> Option<ExitStatus> {
    let signalled = Instant::now();
    history.lock().unwrap().shutdown_at = Some(signalled);
    for signal in [Signal::Terminate, Signal::Reload, Signal::Terminate, Signal::Interrupt] {
        pooler.signal(signal);
    }
    let kill_at = signalled + ShutdownSchedule::earliest_kill(Duration::from_millis(deadline_ms));
    let mut status = None;
    while status.is_none() && Instant::now() < kill_at {
        std::thread::sleep(Duration::from_millis(5));
        status = pooler.try_wait();
    }
    pooler.kill();
    status
}

/// Runs one seed; returns the figures of the run, with the violations if it fails.
pub fn run_seed(seed: u64, slack: Duration) -> Result<String, String> {
    let plan = Plan::new(seed);
    let random = SharedRandom::new(seed);
    let history = SharedHistory::default();
    let server = |(i, id)| faulty_server::start(id, i == 0, seed * SERVER_SEEDS_PER_RUN + i as u64, &history);
    let servers: Vec<FakeServer> = SERVERS.into_iter().enumerate().map(server).collect();
    let discoveries = [FakeDiscovery::new(), FakeDiscovery::new()];
    let configurations = plan.configurations(&discoveries, &servers);
    let mut pooler = PoolerProcess::start(&configurations[0]);
    let load = Load::start(&plan, &pooler, slack, &history);

    // Reloads in quick succession move the watch to the second discovery service, which then reports that a
    // replica drains.
    std::thread::sleep(TRAFFIC_BEFORE_SHUTDOWN / 2);
    load.keep_quiet();
    let reloaded_at = reload_in_series(&pooler, &configurations, &random);
    let watches = wait_for_watches(&discoveries[1], reloaded_at + WATCH_MOVE_LIMIT);
    let drain = report_drain(&watches, &servers[DRAINED_SERVER]);
    std::thread::sleep(TRAFFIC_BEFORE_SHUTDOWN / 2);
    check_memory(&pooler, &history);
    let status = shut_down(&mut pooler, plan.deadline_ms, &history);
    let panicked = load.end();
    report(&plan, &history, &drain, slack, status, panicked)
}

/// Checks the history and summarizes the run in one line; an error if a rule was violated.
fn report(
    plan: &Plan,
    history: &SharedHistory,
    drain: &Drain,
    slack: Duration,
    status: Option<ExitStatus>,
    panicked: usize,
) -> Result<String, String> {
    let mut history = history.lock().unwrap();
    history.check_executions(drain, slack);
    if !status.is_some_and(|status| status.success()) {
        history.violations.push(format!("exit status of the pooler: {status:?}"));
    }
    if panicked > 0 {
        history.violations.push(format!("{panicked} client threads panicked"));
    }
    let figures = format!(
        "seed {}: deadline {} ms, at connection limit {}, bad clients {}, stopped repeatedly {}: \
         {} sent, {} answered, {} rejected, {} sent during a close, {} executed",
        plan.seed,
        plan.deadline_ms,
        plan.at_connection_limit,
        plan.has_bad_clients,
        plan.is_stopped_repeatedly,
        history.requests.len(),
        history.answered,
        history.rejected.len(),
        history.sent_during_close,
        history.executions.len()
    );
    if history.violations.is_empty() {
        Ok(figures)
    } else {
        Err(format!("{figures}: {:?}", history.violations))
    }
}

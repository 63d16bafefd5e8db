//! One run of the soak: a fleet, its clients, and what happens to them.

use crate::faulty_server;
use crate::history::{DRAIN_GRACE, Drain, SharedHistory};
use crate::load_client::LoadClient;
use crate::random::SharedRandom;
use crate::support::*;
use pooler_proxy::lifecycle::shutdown::Schedule;
use std::process::ExitStatus;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const CLIENTS: usize = 12;
const IDLE_CLIENTS: usize = 70;
/// Descriptors that the pooler may hold, at the connection limit and elsewhere.
const FEW_SOCKETS: usize = 128;
const MANY_SOCKETS: usize = 640;
/// Traffic before SIGTERM.
const TRAFFIC_BEFORE_SHUTDOWN: Duration = Duration::from_millis(1_200);
/// A series of new configurations has usually been taken up by then.
const RELOADS_SETTLE: Duration = Duration::from_millis(300);
/// The pooler watches discovery where it moved to no later than this after SIGHUP, from when on what discovery has to
/// tell counts as told.
const MOVE_LIMIT: Duration = Duration::from_secs(4);
/// How often a watch is looked for.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The process may be stopped for 0.15 s at any time; the commands that do so take 10 ms of that, measured.
const STOPPED: Duration = Duration::from_millis(140);
/// The least pause between two of these: one is not to become twice as long.
const BETWEEN_STOPS_MS: u64 = 200;
/// The endpoint whose drain is reported.
const DRAINED: usize = 3;
/// Seeds of servers that no other run has.
const SEEDS_PER_RUN: u64 = 8;
const SERVERS: [&str; 4] = ["s-1", "s-2", "s-3", "s-4"];

/// The kinds of trouble of a run, which its seed decides.
struct Plan {
    seed: u64,
    deadline_ms: u64,
    at_connection_limit: bool,
    is_stopped_repeatedly: bool,
}

impl Plan {
    fn new(seed: u64) -> Self {
        Self {
            seed,
            deadline_ms: [300, 1_000, 3_000][seed as usize / 3 % 3],
            at_connection_limit: seed % 4 == 0,
            is_stopped_repeatedly: seed % 3 == 1,
        }
    }

    /// The same fleet with each of the discovery services.
    fn configurations(&self, discoveries: &[FakeDiscovery], servers: &[FakeServer]) -> Vec<PoolerConfig> {
        let sockets = if self.at_connection_limit { FEW_SOCKETS } else { MANY_SOCKETS };
        let role = |at: usize| if at == 0 { "master" } else { "replica" };
        let entries: Vec<_> =
            servers.iter().enumerate().map(|(at, server)| server.entry("up", role(at))).collect();
        let configuration = |discovery: &FakeDiscovery| {
            PoolerConfig::new(discovery, entries.clone())
                .sockets(sockets)
                .with_every_class("Deadline", self.deadline_ms)
                .with_every_class("Objective", self.deadline_ms / 2)
                .with("/settings/Limits/DialTimeout", 250)
                .with("/settings/Rules/DrainGrace", DRAIN_GRACE.as_millis() as u64)
        };
        discoveries.iter().map(configuration).collect()
    }
}

/// What runs beside the pooler until it is told to stop.
struct Load {
    stop: Arc<AtomicBool>,
    quiet: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
    stopper: Option<JoinHandle<()>>,
    idle: Vec<Client>,
}

impl Load {
    fn start(plan: &Plan, pooler: &PoolerProcess, slack: Duration, history: &SharedHistory) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let quiet = Arc::new(AtomicBool::new(false));
        let seed = plan.seed;
        let client = |at: usize| LoadClient {
            name: format!("c{seed}x{at}"),
            address: pooler.address,
            random: SharedRandom::new(seed * 100 + at as u64),
            deadline_ms: plan.deadline_ms,
            at_connection_limit: plan.at_connection_limit,
            slack,
            stop: stop.clone(),
            quiet: quiet.clone(),
            history: history.clone(),
            requests_sent: 0,
        };
        let spawn = |client: LoadClient| std::thread::spawn(move || client.run());
        let clients = (0..CLIENTS).map(|at| spawn(client(at))).collect();
        let stopper = plan.is_stopped_repeatedly.then(|| {
            let (process, stop) = (pooler.id(), stop.clone());
            std::thread::spawn(move || stop_repeatedly(process, seed, &stop))
        });
        let idle_count = if plan.at_connection_limit { IDLE_CLIENTS } else { 0 };
        let idle = (0..idle_count).map(|_| idle_client(pooler)).collect();
        Self { stop, quiet, clients, stopper, idle }
    }

    /// Has all clients rest for as long as `SOAK_QUIET_S` says.
    fn rest(&self) {
        let seconds = std::env::var("SOAK_QUIET_S").map_or(0, |text| text.parse().unwrap());
        self.quiet.store(seconds > 0, Ordering::Relaxed);
        std::thread::sleep(Duration::from_secs(seconds));
        self.quiet.store(false, Ordering::Relaxed);
    }

    /// Ends all of it; how many clients waited in vain.
    fn end(self) -> usize {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.stopper.map(JoinHandle::join);
        let panicked = self.clients.into_iter().filter_map(|client| client.join().err()).count();
        drop(self.idle);
        panicked
    }
}

fn idle_client(pooler: &PoolerProcess) -> Client {
    let mut client = Client::connect_with(pooler, b"Q\0\0\0\x05\0");
    client.read_response();
    client
}

/// Stops a process for a moment, again and again.
fn stop_repeatedly(process: u32, seed: u64, stop: &AtomicBool) {
    let random = SharedRandom::new(seed);
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(BETWEEN_STOPS_MS + random.below(200)));
        Signal::Stop.send_to(process);
        std::thread::sleep(STOPPED);
        Signal::Continue.send_to(process);
    }
}

/// Reloads in series, each to the other discovery service; it ends at the second. When the last one was sent.
fn reload_in_series(
    pooler: &PoolerProcess,
    configurations: &[PoolerConfig],
    random: &SharedRandom,
) -> Instant {
    let texts: Vec<String> = configurations.iter().map(PoolerConfig::to_string).collect();
    let mut sent_at = Instant::now();
    for turn in 1..=1 + random.below(3) as usize * 2 {
        pooler.write_configuration(&texts[turn % 2]);
        sent_at = Instant::now();
        pooler.signal(Signal::Reload);
        pooler.signal(Signal::ReportCounters);
        std::thread::sleep(Duration::from_millis(random.below(40)));
    }
    std::thread::sleep(RELOADS_SETTLE);
    sent_at
}

/// The watches that the pooler has opened at a discovery service, the first of them by `limit` at the latest.
fn wait_for_watches(discovery: &FakeDiscovery, limit: Instant) -> Vec<Watch> {
    loop {
        let watches = discovery.pending_watches();
        if !watches.is_empty() || Instant::now() >= limit {
            return watches;
        }
        std::thread::sleep(WATCH_POLL_INTERVAL);
    }
}

/// Reports on the last watch that an endpoint drains. The watches must stay open for as long as the run.
fn drain(watches: &[Watch], server: &FakeServer) -> Drain {
    let change = delta(42, vec![server.entry("draining", "replica")]);
    watches.last().expect("discovery is watched where it moved to").send(change);
    Drain { endpoint: server.id, reported_at: Instant::now() }
}

/// Tells the pooler to end, several times over, and waits until the earliest kill.
fn shut_down(pooler: &mut PoolerProcess, deadline_ms: u64, history: &SharedHistory) -> Option<ExitStatus> {
    let signalled = Instant::now();
    history.lock().unwrap().shutdown_at = Some(signalled);
    for signal in [Signal::Terminate, Signal::Reload, Signal::Terminate, Signal::Interrupt] {
        pooler.signal(signal);
    }
    let kill_at = signalled + Schedule::earliest_kill(Duration::from_millis(deadline_ms));
    let mut status = None;
    while status.is_none() && Instant::now() < kill_at {
        std::thread::sleep(Duration::from_millis(5));
        status = pooler.try_wait();
    }
    pooler.kill();
    status
}

/// Plays the run of a seed; its figures, or what went wrong.
pub fn play(seed: u64, slack: Duration) -> Result<String, String> {
    let plan = Plan::new(seed);
    let random = SharedRandom::new(seed);
    let history = SharedHistory::default();
    let server = |(at, id)| faulty_server::start(id, at == 0, seed * SEEDS_PER_RUN + at as u64, &history);
    let servers: Vec<FakeServer> = SERVERS.into_iter().enumerate().map(server).collect();
    let discoveries = [FakeDiscovery::new(), FakeDiscovery::new()];
    let configurations = plan.configurations(&discoveries, &servers);
    let mut pooler = PoolerProcess::start(&configurations[0]);
    let load = Load::start(&plan, &pooler, slack, &history);

    // Signals in series, while discovery moves; then a replica drains by an update from where it moved to.
    std::thread::sleep(TRAFFIC_BEFORE_SHUTDOWN / 2);
    load.rest();
    let reloaded_at = reload_in_series(&pooler, &configurations, &random);
    let watches = wait_for_watches(&discoveries[1], reloaded_at + MOVE_LIMIT);
    let drain = drain(&watches, &servers[DRAINED]);
    std::thread::sleep(TRAFFIC_BEFORE_SHUTDOWN / 2);
    let status = shut_down(&mut pooler, plan.deadline_ms, &history);
    let panicked = load.end();
    report(&plan, &history, &drain, slack, status, panicked)
}

/// Checks the history, and sums the run up.
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
        history.violations.push(format!("the pooler ended with {status:?}"));
    }
    if panicked > 0 {
        history.violations.push(format!("{panicked} clients waited in vain"));
    }
    let figures = format!(
        "seed {}: deadline {} ms, at connection limit {}, stopped repeatedly {}: \
         {} asked, {} answered, {} rejected, {} crossed a close, {} executed",
        plan.seed,
        plan.deadline_ms,
        plan.at_connection_limit,
        plan.is_stopped_repeatedly,
        history.requests.len(),
        history.answered,
        history.rejected.len(),
        history.crossed_a_close,
        history.executions.len()
    );
    if history.violations.is_empty() {
        Ok(figures)
    } else {
        Err(format!("{figures}: {:?}", history.violations))
    }
}

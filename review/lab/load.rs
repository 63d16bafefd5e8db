//! The usual clients, and a small deployment for them: one group of a primary and four replicas.

use crate::client::{Answer, Client, insert, new_id, select};
use crate::discovery::{Discovery, Entry};
use crate::record::Record;
use crate::server::{Kind, Log, Server};
use crate::{Random, now_us};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A final answer may come this long after the request's time: 0.5 s, and 50 ms on sockets.
const SLACK: Duration = Duration::from_millis(550);
/// How long a statement takes at a data server; work, aims and times are scaled to the faster requests.
pub const WORK: Duration = Duration::from_millis(2);

/// The lag of a replica that keeps up.
pub const REPLICA_LAG_US: i64 = 10_000;

/// The entry of a data server in the list.
pub fn entry(server: &Server, started_at_ms: i64) -> Entry {
    Entry {
        id: server.id.to_owned(),
        address: server.address,
        cell: 1,
        lifecycle: "up",
        primary: server.kind().is_primary(),
        started_at_ms,
    }
}

/// A group of a primary (the first) and four replicas, and the discovery that lists it.
pub struct Deployment {
    pub servers: Vec<Server>,
    pub log: Log,
    pub discovery: Discovery,
}

impl Deployment {
    pub fn start(record: &Record) -> Result<Self, String> {
        let log = Log::default();
        let mut servers = Vec::new();
        for id in ["s-1", "s-2", "s-3", "s-4", "s-5"] {
            let kind = if servers.is_empty() { Kind::Primary } else { Kind::Replica { lag_us: REPLICA_LAG_US } };
            servers.push(Server::start(id, kind, &log, WORK, record).map_err(|error| error.to_string())?);
        }
        let entries = servers.iter().map(|server| entry(server, 0)).collect();
        let discovery = Discovery::start(entries, record).map_err(|error| error.to_string())?;
        Ok(Self { servers, log, discovery })
    }
}

/// What the usual clients were answered.
#[derive(Default)]
pub struct Counts {
    served: AtomicU64,
    refused_or_failed: AtomicU64,
    closed: AtomicU64,
    unanswered: AtomicU64,
}

/// Usual clients that send until they are stopped.
pub struct Load {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

struct Shared {
    address: SocketAddr,
    stop: AtomicBool,
    counts: Counts,
    record: Record,
    mean_pause_s: f64,
}

/// The numbers of requests by their end.
#[derive(Clone, Copy)]
pub struct Totals {
    pub served: u64,
    pub refused_or_failed: u64,
    /// Closed or not accepted with nothing sent, which the rule excuses.
    pub closed: u64,
    /// No whole answer, or one later than it may be.
    pub unanswered: u64,
}

impl std::fmt::Display for Totals {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { served, refused_or_failed, closed, unanswered } = self;
        write!(f, "{served} served, {refused_or_failed} refused or failed, {closed} closed, ")?;
        write!(f, "{unanswered} without a final answer in time")
    }
}

impl Load {
    /// Starts `clients` clients, each of which pauses for `mean_pause_s` in the mean between its requests.
    pub fn start(address: SocketAddr, clients: usize, mean_pause_s: f64, record: &Record) -> Self {
        let stop = AtomicBool::new(false);
        let shared =
            Arc::new(Shared { address, stop, counts: Counts::default(), record: record.clone(), mean_pause_s });
        let threads = (0..clients).map(|number| {
            let shared = shared.clone();
            std::thread::spawn(move || shared.run(number))
        });
        Self { threads: threads.collect(), shared }
    }

    /// Stops the clients once each has finished its request.
    pub fn finish(self) -> Totals {
        self.shared.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        let get = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
        let counts = &self.shared.counts;
        Totals {
            served: get(&counts.served),
            refused_or_failed: get(&counts.refused_or_failed),
            closed: get(&counts.closed),
            unanswered: get(&counts.unanswered),
        }
    }
}

impl Shared {
    fn run(&self, number: usize) {
        let mut random = Random(now_us() as u64 ^ ((number as u64) << 40));
        let mut client = Client::new(self.address);
        while !self.stop.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_secs_f64(random.exponential(self.mean_pause_s)));
            let (key, id) = (format!("{:016x}", random.next()), new_id());
            // A try is given up after 40 to 100% of the class's time.
            let share = 0.4 + 0.6 * random.unit();
            let (class, deadline, text) = if random.unit() < 0.12 {
                let deadline = Duration::from_millis((3_000.0 * share) as u64);
                ("place-order", deadline, insert(&key, "01", &id, deadline))
            } else {
                let deadline = Duration::from_millis((1_000.0 * share) as u64);
                ("stock-history", deadline, select("stock-history", &key, &id, deadline))
            };
            self.record.line(&format!("sent id={id} c={class} d={}", deadline.as_millis()));
            let sent = Instant::now();
            let answer = client.request(&text, deadline);
            let took = sent.elapsed();
            let counter = match &answer {
                Answer::None(_) => &self.counts.unanswered,
                Answer::Closed(_) => &self.counts.closed,
                _ if took > deadline + SLACK => &self.counts.unanswered,
                Answer::Served(_) => &self.counts.served,
                Answer::Error(_) => &self.counts.refused_or_failed,
            };
            counter.fetch_add(1, Ordering::SeqCst);
            let took = took.as_secs_f64() * 1_000.0;
            self.record.line(&format!("answer id={id} c={class} after {took:.1} ms: {answer:?}"));
        }
    }
}

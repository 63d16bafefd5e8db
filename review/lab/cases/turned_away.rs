//! Usual clients read and write; beside them one bad client asks for TLS, is turned away, and asks again at once, at
//! full speed. Every request of the usual clients has to get its final answer.

use super::Verdict;
use crate::client::{Answer, Client, insert, new_id, select};
use crate::discovery::{Discovery, Entry};
use crate::pooler::{Options, Pooler};
use crate::record::Record;
use crate::server::{Kind, Log, Server};
use crate::{Random, now_us};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The message with which a client asks for TLS, and how many of them the bad client sends at once.
const SSL_REQUEST: [u8; 8] = [0, 0, 0, 8, 4, 210, 22, 47];
const AT_ONCE: usize = 500;
const CLIENTS: usize = 20;
/// The mean pause between a client's requests: about 200 a second in all.
const MEAN_PAUSE_S: f64 = 0.1;
const WORK: Duration = Duration::from_millis(2);
const BEFORE: Duration = Duration::from_secs(3);
/// How long the bad client sends.
const BAD: Duration = Duration::from_secs(6);
const AFTER: Duration = Duration::from_secs(3);
/// A final answer may come this long after the request's time.
const SLACK: Duration = Duration::from_millis(550);

#[derive(Default)]
struct Counts {
    served: AtomicU64,
    refused_or_failed: AtomicU64,
    unanswered: AtomicU64,
}

struct Load {
    address: SocketAddr,
    stop: AtomicBool,
    counts: Counts,
    record: Record,
}

impl Load {
    fn run(&self, number: usize) {
        let mut random = Random(now_us() as u64 ^ ((number as u64) << 40));
        let mut client = Client::new(self.address);
        while !self.stop.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_secs_f64(random.exponential(MEAN_PAUSE_S)));
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

/// The bad client: it asks for TLS hundreds of times at once, and asks once more for each time that it is
/// turned away. If its connection ends, it does the same on a new one.
struct BadClient<'a> {
    address: SocketAddr,
    record: &'a Record,
    asked: u64,
    turned_away: u64,
    connections: u64,
}

impl BadClient<'_> {
    fn run(&mut self, until: Instant) {
        while Instant::now() < until {
            let result = self.run_connection(until);
            let (asked, turned_away) = (self.asked, self.turned_away);
            self.record.line(&format!(
                "bad client: asked {asked} times, turned away {turned_away} times, connection ended: {result:?}"
            ));
        }
    }

    fn run_connection(&mut self, until: Instant) -> std::io::Result<()> {
        let mut stream = TcpStream::connect(self.address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        self.connections += 1;
        self.record.line("bad client: connected");
        let requests = SSL_REQUEST.repeat(AT_ONCE);
        stream.write_all(&requests)?;
        self.asked += AT_ONCE as u64;
        let mut answers = [0; AT_ONCE];
        while Instant::now() < until {
            let count = stream.read(&mut answers)?;
            if count == 0 || answers[..count].iter().any(|answer| *answer != b'N') {
                return Ok(());
            }
            self.turned_away += count as u64;
            stream.write_all(&requests[..count * SSL_REQUEST.len()])?;
            self.asked += count as u64;
        }
        Ok(())
    }
}

pub fn run(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let log = Log::default();
    let start = |id, kind| Server::start(id, kind, &log, WORK, record).map_err(|error| error.to_string());
    let replica = Kind::Replica { lag_us: 10_000 };
    let servers = [start("s-1", Kind::Primary)?, start("s-2", replica)?, start("s-3", replica)?];
    let entry = |server: &Server| Entry {
        id: server.id.to_owned(),
        address: server.address,
        cell: 1,
        lifecycle: "up",
        primary: server.kind().is_primary(),
        started_at_ms: 0,
    };
    let discovery = Discovery::start(servers.iter().map(entry).collect(), record).map_err(|e| e.to_string())?;
    let options = Options { fleet: 3, memory_mb: 64, sockets: 512 };
    let mut pooler = Pooler::start(&discovery, &options, record)?;
    let load = Arc::new(Load {
        address: pooler.address,
        stop: AtomicBool::new(false),
        counts: Counts::default(),
        record: record.clone(),
    });
    let threads: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let load = load.clone();
            std::thread::spawn(move || load.run(number))
        })
        .collect();
    std::thread::sleep(BEFORE);
    if trouble {
        let mut bad = BadClient { address: pooler.address, record, asked: 0, turned_away: 0, connections: 0 };
        bad.run(Instant::now() + BAD);
    } else {
        std::thread::sleep(BAD);
    }
    std::thread::sleep(AFTER);
    load.stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    if let Some(status) = pooler.ended() {
        return Ok(Verdict::Broken(format!("the pooler ended: {status}")));
    }
    let get = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
    let counts = &load.counts;
    let (served, refused, unanswered) =
        (get(&counts.served), get(&counts.refused_or_failed), get(&counts.unanswered));
    let text = format!("{served} served, {refused} refused or failed, {unanswered} without a final answer in time");
    if unanswered > 0 {
        return Ok(Verdict::Broken(text));
    }
    if served < 500 {
        return Err(format!("too little load: {text}"));
    }
    Ok(Verdict::Held(text))
}

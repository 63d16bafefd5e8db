//! A data server joins while a pooler has received over 8,192 writes of different sessions. Every session
//! reads its own writes, one request at a time on one connection.

use super::Verdict;
use crate::client::{Answer, Client, insert, new_id, select};
use crate::load::{Deployment, REPLICA_LAG_US, WORK, entry};
use crate::pooler::{Options, Pooler};
use crate::record::Record;
use crate::server::{Kind, Server};
use crate::{Random, now_us};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Sessions that write before the data server joins.
const SESSIONS_BEFORE: u64 = 8_230;
/// How long the load goes on after the data server was listed.
const AFTER: Duration = Duration::from_secs(8);
/// The longest wait for the sessions before.
const LONGEST_RAMP: Duration = Duration::from_secs(95);
/// Clients of place-order and my-orders, and of formula-lookup.
const SESSION_CLIENTS: usize = 150;
const LOOKUP_CLIENTS: usize = 14;
/// The mean time from a session's write to its next read, and between its reads (100 to 800 ms).
const MEAN_GAP_S: f64 = 0.4;
/// Reads after a write: 2 or 3 (30% of the requests are of my-orders, 12% of place-order).
const READS_PER_WRITE: [usize; 2] = [2, 3];
const WRITE_DEADLINE: Duration = Duration::from_millis(3_000);
const READ_DEADLINE: Duration = Duration::from_millis(1_000);
const LOOKUP_DEADLINE: Duration = Duration::from_millis(800);
/// The age of the copy from which the new data server starts (2.7 to 6.8 s), and how long after its start it
/// is listed (0.34 to 1.7 s).
const COPY_AGE_US: i64 = 6_000_000;
const LISTED_AFTER: Duration = Duration::from_millis(500);
/// Seconds of log that one apply thread applies in a second, if the log keeps it busy for 50% of the time.
const APPLY_RATE: f64 = 2.0;

#[derive(Default)]
struct Counts {
    requests: AtomicU64,
    writes: AtomicU64,
    own_reads: AtomicU64,
    stale: AtomicU64,
    refused_or_failed: AtomicU64,
    unanswered: AtomicU64,
}

fn add(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::SeqCst);
}

struct Load {
    address: SocketAddr,
    stop: AtomicBool,
    counts: Counts,
    record: Record,
}

impl Load {
    fn request(&self, client: &mut Client, class: &str, id: &str, text: &str, deadline: Duration) -> Answer {
        add(&self.counts.requests);
        let sent = now_us();
        self.record.line(&format!("sent id={id} c={class} d={}", deadline.as_millis()));
        let answer = client.request(text, deadline);
        match &answer {
            Answer::Served(_) => {}
            Answer::Error(_) => add(&self.counts.refused_or_failed),
            Answer::Closed(_) | Answer::None(_) => add(&self.counts.unanswered),
        }
        let took = (now_us() - sent) as f64 / 1_000.0;
        self.record.line(&format!("answer id={id} c={class} after {took:.1} ms: {answer:?}"));
        answer
    }

    /// A client that opens one session after another: a write, then reads of what was written.
    fn run_sessions(&self, number: usize) {
        let mut random = Random(now_us() as u64 ^ ((number as u64) << 40));
        let mut client = Client::new(self.address);
        let pause = |random: &mut Random| {
            std::thread::sleep(Duration::from_secs_f64(random.exponential(MEAN_GAP_S).min(3.0)));
        };
        pause(&mut random);
        while !self.stop.load(Ordering::SeqCst) {
            let (key, id) = (format!("{:016x}", random.next()), new_id());
            let text = insert(&key, "01", &id, WRITE_DEADLINE);
            let answer = self.request(&mut client, "place-order", &id, &text, WRITE_DEADLINE);
            if answer != Answer::Served(id.clone()) {
                pause(&mut random);
                continue;
            }
            add(&self.counts.writes);
            for _ in 0..READS_PER_WRITE[(random.next() % 2) as usize] {
                pause(&mut random);
                self.read_own(&mut client, &key, &id);
            }
        }
    }

    fn read_own(&self, client: &mut Client, key: &str, written: &str) {
        let id = new_id();
        let text = select("my-orders", key, &id, READ_DEADLINE);
        if let Answer::Served(value) = self.request(client, "my-orders", &id, &text, READ_DEADLINE) {
            add(&self.counts.own_reads);
            if value.split(' ').next() != Some(written) {
                add(&self.counts.stale);
                self.record.line(&format!(
                    "STALE: read id={id} of session {key} must see write {written}, got '{value}'"
                ));
            }
        }
    }

    fn run_lookups(&self, number: usize) {
        let mut random = Random(now_us() as u64 ^ ((number as u64) << 48));
        let mut client = Client::new(self.address);
        while !self.stop.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_secs_f64(random.exponential(0.045)));
            let (key, id) = (format!("{:016x}", random.next()), new_id());
            let text = select("formula-lookup", &key, &id, LOOKUP_DEADLINE);
            self.request(&mut client, "formula-lookup", &id, &text, LOOKUP_DEADLINE);
        }
    }
}

pub fn run(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let deployment = Deployment::start(record)?;
    let options = Options { fleet: 3, memory_mb: 64, sockets: 672 };
    let mut pooler = Pooler::start(&deployment.discovery, &options, record)?;
    let load = Arc::new(Load {
        address: pooler.address,
        stop: AtomicBool::new(false),
        counts: Counts::default(),
        record: record.clone(),
    });
    let mut threads = Vec::new();
    for number in 0..SESSION_CLIENTS + LOOKUP_CLIENTS {
        let load = load.clone();
        threads.push(std::thread::spawn(move || match number < SESSION_CLIENTS {
            true => load.run_sessions(number),
            false => load.run_lookups(number),
        }));
    }
    let started = Instant::now();
    let writes = || load.counts.writes.load(Ordering::SeqCst);
    while writes() < SESSIONS_BEFORE && started.elapsed() < LONGEST_RAMP {
        std::thread::sleep(Duration::from_millis(2));
        if let Some(status) = pooler.ended() {
            return Err(format!("the pooler ended: {status}"));
        }
    }
    let (ramp, enough) = (started.elapsed(), writes() >= SESSIONS_BEFORE);
    record.line(&format!("{} sessions have written after {:.1} s", writes(), ramp.as_secs_f64()));
    let mut joined = None;
    if trouble {
        // The machine starts, and discovery lists it shortly afterwards.
        let started_us = now_us() - LISTED_AFTER.as_micros() as i64;
        let kind =
            Kind::Joined { started_us, age_us: COPY_AGE_US, rate: APPLY_RATE, lag_us: REPLICA_LAG_US };
        let server = Server::start("s-6", kind, &deployment.log, WORK, record).map_err(|error| error.to_string())?;
        deployment.discovery.change(&[entry(&server, started_us / 1_000)]);
        joined = Some(server);
    }
    std::thread::sleep(AFTER);
    load.stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let counts = &load.counts;
    let get = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
    let text = format!(
        "{} own reads served, {} of them without the session's write; {} requests in {:.1} s, {} writes served, \
         {} refused or failed, {} unanswered, {} reads answered by the new data server",
        get(&counts.own_reads),
        get(&counts.stale),
        get(&counts.requests),
        started.elapsed().as_secs_f64(),
        get(&counts.writes),
        get(&counts.refused_or_failed),
        get(&counts.unanswered),
        joined.as_ref().map_or(0, Server::reads)
    );
    if get(&counts.stale) > 0 {
        return Ok(Verdict::Broken(text));
    }
    if !enough || (trouble && joined.is_some_and(|server| server.reads() < 20)) {
        return Err(format!("too little load: {text}"));
    }
    Ok(Verdict::Held(text))
}

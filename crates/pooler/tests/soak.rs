//! Clients that go on asking on open connections until the earliest SIGKILL, while servers hang, break off and drain,
//! signals come in series and, on some seeds, a crowd sits there idle or the pooler is held up again and again. Each run is judged by the clauses of the pages.
//!
//! `SOAK_SEEDS=1-60` plays other seeds, `SOAK_SLACK_MS=40` grants the machine that runs it less time, and
//! `SOAK_QUIET_S=60` has all clients rest for so long before the trouble begins.

mod peers;

use peers::*;
use pooler_proxy::lifecycle::shutdown::Schedule;
use pooler_proxy::protocol::write;
use serde_json::Value;
use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SEEDS: &str = "1-10";
/// Runs at the same time.
const SIDE_BY_SIDE: usize = 5;
const SLACK_MS: u64 = 250;
const CLIENTS: usize = 12;
const IDLE_CROWD: usize = 70;
/// Traffic before SIGTERM.
const BEFORE: Duration = Duration::from_millis(1_200);
/// A series of new configurations has been taken up by then.
const SETTLES: Duration = Duration::from_millis(300);
/// The page's figures.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
const AFTER_CLOSE: Duration = Duration::from_millis(100);
const AFTER_DEADLINE: Duration = Duration::from_millis(500);
const WAIT_SLACK: Duration = Duration::from_millis(150);
/// The pooler may be held up for 0.15 s at any time; the commands that do so take 10 ms of that, measured.
const HELD_UP: Duration = Duration::from_millis(140);
/// The least pause between two of these: one is not to become twice as long.
const BETWEEN_HOLDS: u64 = 200;
/// A close that comes this soon after a request has crossed it.
const CROSSING: Duration = Duration::from_millis(60);

/// Random numbers that threads share.
struct Dice(AtomicU64);

impl Dice {
    fn new(seed: u64) -> Self {
        Self(AtomicU64::new(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1))
    }

    fn below(&self, bound: u64) -> u64 {
        let mut state = self.0.load(Ordering::Relaxed);
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        self.0.store(state, Ordering::Relaxed);
        (state >> 11) % bound
    }
}

/// What a client asked.
struct Asked {
    at: Instant,
    wait: Duration,
    closed: Option<Instant>,
}

/// A statement that reached a server.
struct Begun {
    id: String,
    server: &'static str,
    at: Instant,
    told: Duration,
    write: bool,
    ran: bool,
}

#[derive(Default)]
struct Ledger {
    asked: HashMap<String, Asked>,
    begun: Vec<Begun>,
    refused: Vec<String>,
    answered: usize,
    /// When the pooler was told to end.
    signalled: Option<Instant>,
    crossed: usize,
    wrong: Vec<String>,
}

type Shared = Arc<Mutex<Ledger>>;

fn field<'s>(statement: &'s str, name: &str) -> &'s str {
    let rest = statement.split(name).nth(1).unwrap_or("");
    rest.split([',', ' ']).next().unwrap_or("")
}

/// A server that hangs, breaks off and errs now and then.
fn server(id: &'static str, primary: bool, seed: u64, ledger: &Shared) -> Server {
    let (dice, ledger) = (Dice::new(seed), ledger.clone());
    let part = if primary { "master" } else { "replica" };
    Server::new(id, move |wire, statement| {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
        if statement.starts_with("SHOW") {
            wire.row(format!("x0={:.6},x1={}", now.as_secs_f64(), u8::from(primary)).as_bytes(), part, "");
            return true;
        }
        let luck = dice.below(200);
        let misses = statement.starts_with("INSERT") && !primary;
        let told = Duration::from_millis(field(statement, ",d=").parse().unwrap());
        ledger.lock().unwrap().begun.push(Begun {
            id: field(statement, "id=").to_owned(),
            server: id,
            at: Instant::now(),
            told,
            write: statement.starts_with("INSERT"),
            ran: !misses && luck != 0,
        });
        std::thread::sleep(Duration::from_millis(dice.below(25)));
        match luck {
            _ if misses => wire.error("25006", part),
            0 => wire.error("53300", part),
            1 => wire.error("XX000", part),
            2 => return false,
            3 | 4 => {
                std::thread::sleep(Duration::from_secs(5));
                return false;
            }
            _ => wire.row(b"value", part, &now.as_millis().to_string()),
        }
        true
    })
}

/// One client's life: it asks on its connection for as long as that lasts, and comes back while it may.
struct Asker {
    name: String,
    address: std::net::SocketAddr,
    dice: Dice,
    deadline: u64,
    /// Connections may be asked to make room.
    crowded: bool,
    slack: Duration,
    stop: Arc<AtomicBool>,
    quiet: Arc<AtomicBool>,
    ledger: Shared,
    number: u64,
}

impl Asker {
    fn statement(&mut self) -> (String, String) {
        self.number += 1;
        let id = format!("{}-{}", self.name, self.number);
        let wait = self.deadline / 4 + self.dice.below(self.deadline * 3 / 4);
        let comment = |class: &str| format!("/* id={id},c={class},d={wait},cluster=2 */");
        let text = match self.dice.below(5) {
            0 => format!(
                "INSERT INTO kv (name, content) VALUES ('{}', '\\x01') RETURNING content {}",
                self.name,
                comment("top-up")
            ),
            1 => format!("SELECT content FROM kv WHERE name = '{}' {}", self.name, comment("my-recent")),
            _ => format!("SELECT content FROM kv WHERE name = 'm' {}", comment("bundle-menu")),
        };
        let asked = Asked { at: Instant::now(), wait: Duration::from_millis(wait), closed: None };
        self.ledger.lock().unwrap().asked.insert(id.clone(), asked);
        (id, text)
    }

    fn run(mut self) {
        while !self.stop.load(Ordering::Relaxed) {
            let Ok(stream) = TcpStream::connect(self.address) else { return };
            let mut client = Client::on(stream, "");
            // The welcome, and the answer to the empty query.
            if !(client.answer().tags.ends_with('Z') && client.answer().tags.ends_with('Z')) {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            }
            while !self.stop.load(Ordering::Relaxed) && self.turn(&mut client) {
                std::thread::sleep(Duration::from_millis(self.dice.below(8)));
                while self.quiet.load(Ordering::Relaxed) {
                    std::thread::sleep(Duration::from_millis(5));
                }
            }
        }
    }

    /// Asks; false once the connection has ended.
    fn turn(&mut self, client: &mut Client) -> bool {
        let way = self.dice.below(20);
        let count = if way == 0 { 6 } else { 1 };
        let mut bytes = Vec::new();
        let mut ids = Vec::new();
        for _ in 0..count {
            let (id, text) = self.statement();
            write::query(&mut bytes, &text);
            ids.push(id);
        }
        if way == 1 {
            let half = bytes.len() / 2;
            client.0.put(&bytes[..half]);
            std::thread::sleep(Duration::from_millis(self.dice.below(30)));
            let _ = (&client.0.stream).write_all(&bytes[half..]);
            self.ledger.lock().unwrap().asked.get_mut(&ids[0]).unwrap().at = Instant::now();
        } else {
            client.0.put(&bytes);
        }
        if way == 2 {
            std::thread::sleep(Duration::from_millis(self.dice.below(30)));
            self.leave(client, &ids[0]);
            return false;
        }
        ids.iter().all(|id| self.take(client, id))
    }

    fn leave(&self, client: &Client, id: &str) {
        let _ = client.0.stream.shutdown(std::net::Shutdown::Both);
        self.ledger.lock().unwrap().asked.get_mut(id).unwrap().closed = Some(Instant::now());
    }

    /// Takes one answer and judges it; false if the connection ended with it.
    fn take(&self, client: &mut Client, id: &str) -> bool {
        let begun = Instant::now();
        let answer = client.answer();
        let mut ledger = self.ledger.lock().unwrap();
        let Asked { at, wait, .. } = ledger.asked[id];
        let took = at.elapsed();
        if answer.tags.is_empty() {
            let parting = self.crowded || ledger.signalled.is_some();
            if parting && took <= CROSSING + self.slack {
                ledger.crossed += 1;
            } else {
                ledger.wrong.push(format!("{id} lost: closed {took:?} after it was sent"));
            }
            return false;
        }
        let whole = answer.tags.ends_with('Z') || answer.code.is_some();
        if !whole {
            ledger.wrong.push(format!("{id} cut off: {answer:?}"));
        }
        // Behind others on its connection it has its time from when they were answered.
        if begun.elapsed().min(took) > wait + AFTER_DEADLINE + self.slack {
            ledger.wrong.push(format!("{id} late: {took:?} of {wait:?}"));
        }
        if matches!(answer.code.as_deref(), Some("53300" | "57P03")) {
            ledger.refused.push(id.to_owned());
        }
        ledger.answered += 1;
        answer.tags.ends_with('Z')
    }
}

impl Ledger {
    /// What the servers saw, against the pages.
    fn judge(&mut self, drained: (&str, Instant), slack: Duration) {
        let mut wrong = Vec::new();
        let mut runs: HashMap<&str, usize> = HashMap::new();
        for Begun { id, server, at, told, write, ran } in &self.begun {
            let Some(asked) = self.asked.get(id) else {
                wrong.push(format!("{id} was never asked"));
                continue;
            };
            if asked.closed.is_some_and(|closed| *at > closed + AFTER_CLOSE + slack) {
                wrong.push(format!("{id} begun after its client had left"));
            }
            let left = (asked.at + asked.wait).saturating_duration_since(*at);
            if *told > left + WAIT_SLACK + slack {
                wrong.push(format!("{id} told {told:?} with {left:?} left"));
            }
            if *server == drained.0 && *at > drained.1 + DRAIN_GRACE + slack {
                wrong.push(format!("{id} sent to {server}, which drains"));
            }
            if *write {
                *runs.entry(id.as_str()).or_default() += usize::from(*ran);
            }
        }
        for (id, count) in runs {
            if count > 1 {
                wrong.push(format!("{id} ran {count} times"));
            }
            if count > 0 && self.refused.iter().any(|refused| refused == id) {
                wrong.push(format!("{id} refused though it may have run"));
            }
        }
        self.wrong.extend(wrong);
    }
}

/// Holds a process up, again and again, until it is told to stop.
fn hold_up(process: u32, seed: u64, stop: Arc<AtomicBool>) {
    let dice = Dice::new(seed);
    let signal = |name: &str| {
        let _ = std::process::Command::new("kill").args(["-s", name, &process.to_string()]).status();
    };
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(BETWEEN_HOLDS + dice.below(200)));
        signal("STOP");
        std::thread::sleep(HELD_UP);
        signal("CONT");
    }
}

fn run(seed: u64, slack: Duration) -> Result<String, String> {
    let dice = Dice::new(seed);
    let ledger = Shared::default();
    let deadline = [300, 1_000, 3_000][seed as usize / 3 % 3];
    let crowded = seed % 4 == 0;
    let servers: Vec<Server> = ["s-1", "s-2", "s-3", "s-4"]
        .into_iter()
        .enumerate()
        .map(|(at, id)| server(id, at == 0, seed * 8 + at as u64, &ledger))
        .collect();
    let part = |at: usize| if at == 0 { "master" } else { "replica" };
    let entries: Vec<Value> = servers.iter().enumerate().map(|(at, one)| one.entry("up", part(at))).collect();
    let discoveries = [Discovery::new(), Discovery::new()];
    let sockets = if crowded { 128 } else { 640 };
    let texts: Vec<String> = discoveries
        .iter()
        .map(|discovery| {
            let mut text: Value = serde_json::from_str(&config(discovery, entries.clone(), sockets)).unwrap();
            for class in text["settings"]["Lanes"].as_array_mut().unwrap() {
                class["Deadline"] = deadline.into();
                class["Objective"] = (deadline / 2).into();
            }
            text["settings"]["Limits"]["DialTimeout"] = 250.into();
            text["settings"]["Rules"]["DrainGrace"] = 500.into();
            text.to_string()
        })
        .collect();
    let mut pooler = Pooler::on(&texts[0]);
    let stop = Arc::new(AtomicBool::new(false));
    let quiet = Arc::new(AtomicBool::new(false));
    let askers: Vec<_> = (0..CLIENTS)
        .map(|at| {
            let asker = Asker {
                name: format!("c{seed}x{at}"),
                address: pooler.address,
                dice: Dice::new(seed * 100 + at as u64),
                deadline,
                crowded,
                slack,
                stop: stop.clone(),
                quiet: quiet.clone(),
                ledger: ledger.clone(),
                number: 0,
            };
            std::thread::spawn(move || asker.run())
        })
        .collect();
    let holds = seed % 3 == 1;
    let holder = holds.then(|| {
        let (process, stop) = (pooler.child.id(), stop.clone());
        std::thread::spawn(move || hold_up(process, seed, stop))
    });
    let crowd: Vec<_> = (0..if crowded { IDLE_CROWD } else { 0 })
        .map(|_| {
            let mut client = Client::dial(&pooler, b"Q\0\0\0\x05\0");
            client.answer();
            client
        })
        .collect();

    // Signals in series, while discovery moves; then a replica drains by the word of where it moved to.
    std::thread::sleep(BEFORE / 2);
    let seconds = std::env::var("SOAK_QUIET_S").map_or(0, |text| text.parse().unwrap());
    quiet.store(seconds > 0, Ordering::Relaxed);
    std::thread::sleep(Duration::from_secs(seconds));
    quiet.store(false, Ordering::Relaxed);
    for turn in 1..=1 + dice.below(3) as usize * 2 {
        pooler.configure(&texts[turn % 2]);
        pooler.signal("HUP");
        pooler.signal("USR1");
        std::thread::sleep(Duration::from_millis(dice.below(40)));
    }
    std::thread::sleep(SETTLES);
    let watches: Vec<_> = discoveries[1].watches.try_iter().collect();
    let change = list(42, false, vec![servers[3].entry("draining", "replica")]);
    watches.last().expect("discovery is followed where it moved to").1.send(Some(change)).unwrap();
    let drained = Instant::now();
    std::thread::sleep(BEFORE / 2);
    let signalled = Instant::now();
    ledger.lock().unwrap().signalled = Some(signalled);
    for signal in ["TERM", "HUP", "TERM", "INT"] {
        pooler.signal(signal);
    }
    let kill = signalled + Schedule::earliest_kill(Duration::from_millis(deadline));
    let mut ended = None;
    while ended.is_none() && Instant::now() < kill {
        std::thread::sleep(Duration::from_millis(5));
        ended = pooler.child.try_wait().unwrap();
    }
    let _ = pooler.child.kill();
    stop.store(true, Ordering::Relaxed);
    let _ = holder.map(std::thread::JoinHandle::join);
    let panicked = askers.into_iter().filter_map(|asker| asker.join().err()).count();
    drop(crowd);
    let mut ledger = ledger.lock().unwrap();
    ledger.judge(("s-4", drained), slack);
    if !ended.is_some_and(|status| status.success()) {
        ledger.wrong.push(format!("the pooler ended with {ended:?}"));
    }
    if panicked > 0 {
        ledger.wrong.push(format!("{panicked} clients waited in vain"));
    }
    let figures = format!(
        "seed {seed}: deadline {deadline} ms, crowd {crowded}, held up {holds}: {} asked, {} answered, {} refused, {} crossed an end, {} begun",
        ledger.asked.len(),
        ledger.answered,
        ledger.refused.len(),
        ledger.crossed,
        ledger.begun.len()
    );
    if ledger.wrong.is_empty() { Ok(figures) } else { Err(format!("{figures}: {:?}", ledger.wrong)) }
}

#[test]
fn clients_that_ask_until_the_kill_lose_nothing() {
    let seeds = std::env::var("SOAK_SEEDS").unwrap_or(SEEDS.to_owned());
    let (first, last) = seeds.split_once('-').expect("SOAK_SEEDS=first-last");
    let (first, last): (u64, u64) = (first.parse().unwrap(), last.parse().unwrap());
    let slack = std::env::var("SOAK_SLACK_MS").map_or(SLACK_MS, |text| text.parse().unwrap());
    let next = Arc::new(AtomicU64::new(first));
    let (done, outcomes) = channel();
    for _ in 0..SIDE_BY_SIDE {
        let (next, done) = (next.clone(), done.clone());
        std::thread::spawn(move || {
            loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed > last {
                    return;
                }
                let outcome = std::panic::catch_unwind(|| run(seed, Duration::from_millis(slack)));
                let outcome = outcome.unwrap_or_else(|_| Err(format!("seed {seed} could not be played")));
                done.send(outcome).unwrap();
            }
        });
    }
    drop(done);
    let outcomes: Vec<_> = outcomes.iter().collect();
    outcomes.iter().for_each(|outcome| println!("{outcome:?}"));
    assert_eq!(outcomes.len() as u64, last + 1 - first);
    let wrong: Vec<_> = outcomes.into_iter().filter_map(Result::err).collect();
    assert!(wrong.is_empty(), "{wrong:#?}");
}

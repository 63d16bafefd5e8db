//! Spoilt input from all peers of a pooler process at once: clients, data servers and discovery send what they usually
//! send with parts replaced, repeated or left out. Whatever arrives, the process goes on and shuts down as usual.
//!
//! `FUZZ_SEEDS=1-100` runs other seeds.

#[path = "../soak/random.rs"]
mod random;
#[path = "../support/mod.rs"]
mod support;

mod mutation;

use mutation::mutate;
use random::SharedRandom;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::*;

/// The first and last seed, unless `FUZZ_SEEDS` names others.
const DEFAULT_SEEDS: &str = "1-4";
/// The time for which the peers of one seed send.
const TROUBLE: Duration = Duration::from_secs(3);
/// The clients of one seed.
const CLIENTS: u64 = 12;
/// How long a client reads what it is sent.
const READ_TIMEOUT: Duration = Duration::from_millis(20);
/// One in so many messages of data servers and lists of discovery is spoilt.
const SPOILT_RESPONSES: u64 = 3;
/// The time that clients give their requests.
const DEADLINE_MS: u32 = 300;

/// What a client sends on one connection, before it is spoilt.
fn client_bytes(random: &SharedRandom, name: &str) -> Vec<u8> {
    let statements = (0..=random.below(4)).map(|number| {
        let id = format!("{name}-{number}");
        let statement = match random.below(4) {
            0 => write_statement(&id),
            1 => read_statement(&id).replace("bundle-menu", "my-recent"),
            2 => read_statement(&id).replace(" */", ",after=1767225600123 */"),
            _ => read_statement(&id),
        };
        with_deadline(&statement, DEADLINE_MS)
    });
    let encryption_request = b"\0\0\0\x08\x04\xd2\x16\x2f";
    let opening: &[u8] = if random.below(8) == 0 { encryption_request } else { b"" };
    [opening, &startup_bytes(&query_bytes(statements))].concat()
}

/// Sends spoilt bytes on one connection after another.
fn client(pooler: SocketAddr, seed: u64, until: Instant) {
    let random = SharedRandom::new(seed);
    for connection in 0.. {
        if Instant::now() >= until {
            return;
        }
        let Ok(mut socket) = TcpStream::connect(pooler) else { return };
        socket.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        socket.set_write_timeout(Some(READ_TIMEOUT)).unwrap();
        let bytes = mutate(client_bytes(&random, &format!("c{seed}x{connection}")), &random);
        for piece in bytes.chunks(1 + random.below(400) as usize) {
            if socket.write_all(piece).is_err() {
                break;
            }
        }
        if random.below(4) == 0 {
            let _ = socket.shutdown(Shutdown::Write);
        }
        while matches!(socket.read(&mut [0; 4096]), Ok(1..)) {}
    }
}

/// A data server that spoils some of its responses.
fn spoiling_server(id: &'static str, role: &'static str, seed: u64) -> FakeServer {
    let random = SharedRandom::new(seed);
    FakeServer::with_empty_queries(id, move |stream, statement| {
        let response = MessageStream::recorded(|recorded| match statement {
            "" => recorded.write_empty_response(),
            _ if statement.starts_with("SHOW") => recorded.write_load_report("x0=1767225600.1,x1=0", role),
            _ if random.below(8) == 0 => recorded.write_error("25006", role),
            _ => recorded.write_row(id.as_bytes(), role, ANY_POSITION_MS),
        });
        let is_spoilt = random.below(SPOILT_RESPONSES) == 0;
        stream.write_bytes(&if is_spoilt { mutate(response, &random) } else { response });
        AfterStatement::KeepOpen
    })
}

/// A discovery service that spoils some of its lists, and whole responses.
fn spoiling_discovery(entries: Vec<serde_json::Value>, seed: u64) -> FakeDiscovery {
    let random = SharedRandom::new(seed);
    FakeDiscovery::with_response(move |socket| {
        let mut response = CHUNKED_RESPONSE_HEAD.to_vec();
        for generation in 0..4 {
            let list = if generation % 2 == 0 { snapshot } else { delta };
            let mut list = list(42 + generation, entries.clone()).to_string().into_bytes();
            if random.below(SPOILT_RESPONSES) == 0 {
                list = mutate(list, &random);
            }
            response.extend_from_slice(format!("{:x}\r\n", list.len()).as_bytes());
            response.extend_from_slice(&list);
            response.extend_from_slice(b"\r\n");
        }
        let is_spoilt = random.below(SPOILT_RESPONSES) == 0;
        let _ = socket.write_all(&if is_spoilt { mutate(response, &random) } else { response });
        std::thread::sleep(Duration::from_millis(random.below(200)));
    })
}

/// Plays one seed.
fn run_seed(seed: u64) {
    let servers = [
        spoiling_server("s-1", "master", seed * 100 + 1),
        spoiling_server("s-2", "replica", seed * 100 + 2),
        spoiling_server("s-3", "replica", seed * 100 + 3),
    ];
    let entries: Vec<_> = servers.iter().map(|server| server.entry("up", "replica")).collect();
    let discovery = spoiling_discovery(entries.clone(), seed * 100);
    let mut pooler = PoolerProcess::start(&PoolerConfig::new(&discovery, entries));
    let (address, until) = (pooler.address, Instant::now() + TROUBLE);
    std::thread::scope(|scope| {
        for number in 0..CLIENTS {
            scope.spawn(move || client(address, seed * 1_000 + number, until));
        }
    });
    assert_eq!(pooler.try_wait(), None, "seed {seed}: the process has ended: {}", pooler.remaining_log());
    let mut sound = Client::connect(&pooler);
    assert_eq!(sound.query("").tags, "IZ", "seed {seed}");
    drop(sound);
    println!("seed {seed}: {}", pooler.counters());
    pooler.begin_shutdown();
    let status = pooler.wait();
    assert!(status.success(), "seed {seed}: {status}: {}", pooler.remaining_log());
}

#[test]
fn spoilt_input_from_all_peers_never_ends_the_process() {
    // Guards against a message, a number or a list by which any one peer ends the process for all others.
    let seeds = std::env::var("FUZZ_SEEDS").unwrap_or(DEFAULT_SEEDS.to_owned());
    let (first, last) = seeds.split_once('-').expect("FUZZ_SEEDS must have the form first-last");
    let seeds = Arc::new((first.parse().unwrap()..=last.parse::<u64>().unwrap()).collect::<Vec<_>>());
    for seeds in seeds.chunks(4) {
        std::thread::scope(|scope| {
            for seed in seeds {
                scope.spawn(|| run_seed(*seed));
            }
        });
    }
}

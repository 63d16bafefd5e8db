//! The memory limit: whatever mix of peers connects, and however they stop, the process stays below it, bad
//! clients are turned away in time, and the others are served.

use crate::memory_monitor::{LEAST_MEMORY_MOST_SOCKETS, LITTLE_MEMORY, MemoryMonitor, Setup, start_pooler};
use crate::run_alone;
use crate::support::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Barrier;
use std::time::{Duration, Instant};

/// The bytes that are missing of a command left incomplete.
const MISSING: usize = 20;
/// The time that a bad client gives each of its whole requests. With the time limit of a command it is below the
/// limit for bad clients.
const WHOLE_DEADLINE_MS: u32 = 500;
/// A bad client is owed an error or a close within this time.
const BAD_CLIENT_LIMIT: Duration = Duration::from_secs(3);
/// The time that other clients give their requests, and the lateness that the operators' pages allow.
const DEADLINE_MS: u32 = 1_000;
const LATENESS_ALLOWED: Duration = Duration::from_millis(500);
/// The pause between two requests of the other client.
const PAUSE: Duration = Duration::from_millis(100);

/// A write of the largest value: 64 KiB, as hexadecimal digits.
fn largest_write(id: &str) -> Vec<u8> {
    let value = "ab".repeat(64 * 1024);
    query_bytes([write_statement(id).replace("9f03", &value)])
}

/// A read whose comment has very many short fields.
fn read_with_many_fields(id: &str) -> Vec<u8> {
    query_bytes([read_statement(id).replace(" */", &format!("{} */", ",a=1".repeat(32_000)))])
}

/// A startup message of the largest size, with very many short fields.
fn startup_with_many_fields() -> Vec<u8> {
    let mut body = vec![0, 3, 0, 0];
    body.extend_from_slice(&b"a\0b\0".repeat(2_490));
    body.push(0);
    let mut bytes = u32::try_from(body.len() + 4).unwrap().to_be_bytes().to_vec();
    bytes.extend(body);
    bytes
}

/// What a bad client does on each of its connections before it stops and stays.
struct BadBehavior {
    name: &'static str,
    /// Whether the client makes a request first, which is served.
    is_established: bool,
    /// The bytes to write, given the number of the client; the last [`MISSING`] are left out.
    bytes: fn(usize) -> Vec<u8>,
    /// The size of the pieces in which the bytes are written, and the pause after each.
    pieces: Option<(usize, Duration)>,
}

const BAD_BEHAVIORS: [BadBehavior; 7] = [
    BadBehavior {
        name: "half a command",
        is_established: true,
        bytes: |client| largest_write(&format!("half-{client}")),
        pieces: None,
    },
    BadBehavior {
        name: "half a command on a new connection",
        is_established: false,
        bytes: |client| [startup_bytes(b""), largest_write(&format!("half-{client}"))].concat(),
        pieces: None,
    },
    BadBehavior {
        name: "half a command behind many empty queries",
        is_established: true,
        bytes: |client| {
            let whole = query_bytes(std::iter::repeat_n("", 300));
            [whole, largest_write(&format!("half-{client}"))].concat()
        },
        pieces: None,
    },
    BadBehavior {
        name: "half a command behind many requests",
        is_established: true,
        bytes: |client| {
            let request = |number| read_statement(&format!("whole-{client}-{number}"));
            let whole = query_bytes((0..10).map(|number| with_deadline(&request(number), WHOLE_DEADLINE_MS)));
            [whole, largest_write(&format!("half-{client}"))].concat()
        },
        pieces: None,
    },
    BadBehavior {
        name: "half a command written slowly",
        is_established: true,
        bytes: |client| largest_write(&format!("slow-{client}")),
        pieces: Some((4 * 1024, Duration::from_millis(30))),
    },
    BadBehavior {
        name: "half a command of many short fields",
        is_established: true,
        bytes: |client| read_with_many_fields(&format!("half-{client}")),
        pieces: None,
    },
    BadBehavior {
        name: "half a startup message of many short fields",
        is_established: false,
        bytes: |_| startup_with_many_fields(),
        pieces: None,
    },
];

impl BadBehavior {
    /// Behaves badly on one connection, together with the other bad clients. Returns the time from the last byte to the end of the connection, or
    /// to the error before it.
    fn play(&self, number: usize, pooler: SocketAddr, together: &Barrier) -> Duration {
        let mut bytes = (self.bytes)(number);
        bytes.truncate(bytes.len() - MISSING);
        together.wait();
        let mut socket = TcpStream::connect(pooler).unwrap();
        if self.is_established {
            let mut client = Client { stream: MessageStream::new(socket) };
            client.stream.write_bytes(&startup_bytes(b""));
            client.read_response();
            client.query(&with_deadline(&read_statement(&format!("first-{number}")), WHOLE_DEADLINE_MS));
            socket = client.stream.socket;
        }
        let (size, pause) = self.pieces.unwrap_or((bytes.len(), Duration::ZERO));
        for piece in bytes.chunks(size) {
            if socket.write_all(piece).is_err() {
                break;
            }
            std::thread::sleep(pause);
        }
        let stopped_at = Instant::now();
        let mut client = Client { stream: MessageStream::new(socket) };
        while client.read_response().tags.ends_with('Z') {}
        stopped_at.elapsed()
    }
}

/// Makes requests until `until`, and asserts that each is served in time, or rejected in time where the other
/// clients' requests load the server.
fn assert_served_until(pooler: &PoolerProcess, what: &str, is_loaded: bool, until: Instant) {
    let mut client = Client::connect(pooler);
    for number in 0.. {
        let statement = with_deadline(&read_statement(&format!("other-{number}")), DEADLINE_MS);
        let sent_at = Instant::now();
        let mut response = client.query(&statement);
        if response.tags.is_empty() {
            // A client between two requests may be evicted; it sends its request on a new connection.
            client = Client::connect(pooler);
            response = client.query(&statement);
        }
        let elapsed = sent_at.elapsed();
        let allowed = Duration::from_millis(u64::from(DEADLINE_MS)) + LATENESS_ALLOWED;
        assert!(elapsed <= allowed, "{what}: request {number} was answered after {elapsed:?}: {response:?}");
        let is_rejected = is_loaded && response.sql_state() == Some("53300") && response.is_ready();
        assert!(is_rejected || response.text() == Some("s-1"), "{what}: request {number}: {response:?}");
        if Instant::now() >= until {
            return;
        }
        std::thread::sleep(PAUSE);
    }
}

/// Plays each kind of bad client, and asserts that the process stays below its limit, that the bad clients are
/// turned away in time, and that another client is served.
fn assert_incomplete_commands_stay_below_the_limit(setup: Setup) {
    let server = FakeServer::answering("s-1", "replica");
    for behavior in &BAD_BEHAVIORS {
        let discovery = FakeDiscovery::new();
        let pooler = start_pooler(setup, vec![server.entry("up", "replica")], &discovery);
        let monitor = MemoryMonitor::start(&pooler, setup);
        let (address, together) = (pooler.address, &Barrier::new(setup.bad_clients + 1));
        let slowest = std::thread::scope(|scope| {
            let play = |client| scope.spawn(move || behavior.play(client, address, together));
            let clients: Vec<_> = (0..setup.bad_clients).map(play).collect();
            together.wait();
            assert_served_until(
                &pooler,
                behavior.name,
                behavior.is_established,
                Instant::now() + BAD_CLIENT_LIMIT,
            );
            clients.into_iter().map(|client| client.join().unwrap()).max()
        });
        monitor.assert_below_limit(behavior.name);
        assert!(
            slowest.is_some_and(|slowest| slowest <= BAD_CLIENT_LIMIT),
            "{}: a bad client had neither an error nor a close after {slowest:?}",
            behavior.name
        );
    }
}

#[test]
fn incomplete_commands_of_many_clients_stay_below_the_memory_limit() {
    // Guards against hundreds of clients that stop in the middle of a command, each of which keeps a buffer of
    // up to twice the largest command, and the process being killed for its memory.
    let _alone = run_alone();
    assert_incomplete_commands_stay_below_the_limit(LITTLE_MEMORY);
}

#[test]
fn incomplete_commands_stay_below_the_least_memory_with_the_most_descriptors() {
    // Guards against the allowances of a thousand descriptors and the budget adding up to more than the memory.
    let _alone = run_alone();
    assert_incomplete_commands_stay_below_the_limit(LEAST_MEMORY_MOST_SOCKETS);
}

#[test]
fn unread_responses_of_many_clients_stay_below_the_memory_limit() {
    // Guards against hundreds of clients that ask for large values, again and again, and read none of them.
    let _alone = run_alone();
    let value = vec![b'x'; 64 * 1024];
    let server = FakeServer::new("s-1", move |stream, statement| {
        let value: &[u8] = if statement.contains("other") { b"s-1" } else { &value };
        stream.write_row(value, "replica", ANY_POSITION_MS);
        AfterStatement::KeepOpen
    });
    let discovery = FakeDiscovery::new();
    let pooler = start_pooler(LITTLE_MEMORY, vec![server.entry("up", "replica")], &discovery);
    let monitor = MemoryMonitor::start(&pooler, LITTLE_MEMORY);
    let address = pooler.address;
    let clients: Vec<_> = (0..LITTLE_MEMORY.bad_clients)
        .map(|client| {
            std::thread::spawn(move || {
                let requests = (0..1_500).map(|number| read_statement(&format!("unread-{client}-{number}")));
                let mut socket = TcpStream::connect(address).unwrap();
                socket.set_write_timeout(Some(STEP_TIMEOUT)).unwrap();
                let _ = socket.write_all(&startup_bytes(&query_bytes(requests)));
                socket
            })
        })
        .collect();
    assert_served_until(&pooler, "unread responses", true, Instant::now() + Duration::from_secs(5));
    monitor.assert_below_limit("unread responses");
    drop(pooler);
    for client in clients {
        client.join().unwrap();
    }
}

#[test]
fn incomplete_responses_and_lists_stay_below_the_memory_limit() {
    // Guards against data servers that stop in the middle of a large response, beside a discovery service whose
    // list never ends and clients that stop in the middle of a command.
    let _alone = run_alone();
    let notice = [b"N\0\0\x1f\xf8".as_slice(), &[b'x'; 8_180]].concat();
    let ids = ["s-1", "s-2", "s-3", "s-4", "s-5", "s-6", "s-7", "s-8", "s-9"];
    let servers = ids.map(|id| {
        let notice = notice.clone();
        FakeServer::new(id, move |stream, _| {
            stream.write_bytes(&notice.repeat(16));
            stream.wait_until_closed();
            AfterStatement::Close
        })
    });
    let discovery = FakeDiscovery::with_response(|socket| {
        let list = format!("{{\"generation\":42,\"instances\":[],\"x\":\"{}", "y".repeat(4_000_000));
        let _ = socket.write_all(CHUNKED_RESPONSE_HEAD);
        let _ = socket.write_all(format!("{:x}\r\n{list}\r\n", list.len()).as_bytes());
        let rest = "y".repeat(4_000_000);
        let _ = socket.write_all(format!("{:x}\r\n{rest}\r\n", rest.len()).as_bytes());
        std::thread::sleep(STEP_TIMEOUT);
    });
    let entries = servers.iter().map(|server| server.entry("up", "replica")).collect();
    let pooler = start_pooler(LITTLE_MEMORY, entries, &discovery);
    let monitor = MemoryMonitor::start(&pooler, LITTLE_MEMORY);
    let waiting: Vec<Client> = (0..110)
        .map(|client| {
            let mut waiting = Client::connect(&pooler);
            waiting.send_query(&read_statement(&format!("waiting-{client}")));
            waiting
        })
        .collect();
    let (half, address, together) = (&BAD_BEHAVIORS[1], pooler.address, &Barrier::new(80));
    std::thread::scope(|scope| {
        let bad: Vec<_> =
            (0..80).map(|client| scope.spawn(move || half.play(client, address, together))).collect();
        for client in bad {
            assert!(client.join().unwrap() <= BAD_CLIENT_LIMIT);
        }
    });
    let counters = pooler.counters();
    monitor.assert_below_limit(&format!("incomplete responses, {counters}"));
    drop(waiting);
}

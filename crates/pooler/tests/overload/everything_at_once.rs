//! All that takes up memory, at the same time: the endpoints of the largest fleet, hundreds of clients that come again
//! at once, reloads in series, and a pause of the process after which all that has arrived is read.

use crate::memory_monitor::{LEAST_MEMORY_MOST_SOCKETS, MemoryMonitor, start_pooler};
use crate::support::*;
use crate::{EndOnDrop, run_alone};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The known endpoints: the largest fleet that the operators' pages name, six in ten of it replaced at once.
const ENDPOINTS: usize = 5_120;
/// The time for which clients come.
const TROUBLE: Duration = Duration::from_secs(5);
/// The pause between two reloads.
const RELOAD_PAUSE: Duration = Duration::from_millis(200);
/// How long a client stays after it has sent all that it sends.
const STAY: Duration = Duration::from_millis(1_800);
/// The size of a large part of a command, in bytes.
const LARGE: usize = 120_000;
/// The time that clients give their requests.
const DEADLINE_MS: u32 = 500;

/// The bytes that a client of a kind sends on a connection, given its id.
type Opening = fn(&str) -> Vec<u8>;

/// The kinds of clients, and how many there are of each.
const KINDS: [(Opening, usize); 3] = [
    // A request, and a large command without its end.
    (
        |id| {
            let request = query_bytes([with_deadline(&read_statement(id), DEADLINE_MS)]);
            let mut large = query_bytes([" ".repeat(LARGE)]);
            large.truncate(LARGE);
            startup_bytes(&[request, large].concat())
        },
        300,
    ),
    // Many requests at once.
    (
        |id| {
            let request = |number| with_deadline(&read_statement(&format!("{id}-{number}")), DEADLINE_MS);
            startup_bytes(&query_bytes((0..5).map(request)))
        },
        100,
    ),
    // A startup message without its end.
    (|_| [&[0, 0, 0x27, 0x0f, 0, 3, 0, 0], &b"a\0b\0".repeat(2_000)[..]].concat(), 100),
];

fn client(pooler: SocketAddr, name: &str, opening: Opening, ended: &AtomicBool) {
    for connection in 0.. {
        if ended.load(Ordering::Relaxed) {
            return;
        }
        let Ok(mut socket) = TcpStream::connect(pooler) else { return };
        socket.set_write_timeout(Some(STAY)).unwrap();
        let _ = socket.write_all(&opening(&format!("{name}-{connection}")));
        std::thread::sleep(STAY);
    }
}

#[test]
fn all_that_takes_up_memory_at_once_stays_below_the_memory_limit() {
    // Guards against bounds that hold each by itself, and are more than the memory together.
    let _alone = run_alone();
    let (server, discovery) = (FakeServer::answering("s-1", "replica"), FakeDiscovery::new());
    let known = (0..ENDPOINTS).map(|number| server.numbered_entry(number, "draining"));
    let known: Vec<_> = known.chain([server.entry("up", "replica")]).collect();
    let setup = LEAST_MEMORY_MOST_SOCKETS;
    let pooler = start_pooler(setup, known, &discovery);
    let monitor = MemoryMonitor::start(&pooler, setup);
    let (address, ended) = (pooler.address, AtomicBool::new(false));
    std::thread::scope(|scope| {
        let ended = &ended;
        let _end = EndOnDrop(ended);
        for (kind, (opening, clients)) in KINDS.into_iter().enumerate() {
            for number in 0..clients {
                scope.spawn(move || client(address, &format!("c{kind}x{number}"), opening, ended));
            }
        }
        let until = Instant::now() + TROUBLE;
        while Instant::now() < until {
            for _ in 0..5 {
                pooler.signal(Signal::Reload);
                std::thread::sleep(RELOAD_PAUSE);
            }
            pooler.while_stopped(|| std::thread::sleep(RELOAD_PAUSE));
        }
    });
    monitor.assert_below_limit(&format!("everything at once, {}", pooler.counters()));
    let response = Client::connect(&pooler).query(&read_statement("sound"));
    assert!(response.is_ready(), "{response:?}");
}

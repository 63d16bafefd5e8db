//! Endpoint lists at the memory limit: however many endpoints discovery names, and however long their names are,
//! the process stays below its limit and goes on serving.

use crate::memory_monitor::{LEAST_MEMORY_MOST_SOCKETS, MemoryMonitor, start_pooler};
use crate::support::*;
use crate::{EndOnDrop, run_alone};
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

/// The time for which lists come.
const TROUBLE: Duration = Duration::from_secs(4);
/// The number of data servers in the largest fleet that the operators' pages name.
const LARGEST_FLEET: usize = 3_200;
/// The data servers of it that others replace while they still drain: six in ten.
const REPLACED_AT_ONCE: usize = LARGEST_FLEET * 6 / 10;
/// The entries in one of the lists that come in a row.
const ENTRIES_PER_LIST: usize = 1_000;
/// The clients that write slowly, the part of a command that each writes at once, in bytes, and the interval
/// between its other bytes.
const SLOW_WRITERS: usize = 200;
const FIRST_PART: usize = 60_000;
const BYTE_INTERVAL: Duration = Duration::from_millis(5);
/// The time after which an endpoint that has been listed as draining must get nothing new, with the slack on sockets.
const LIST_LIMIT: Duration = Duration::from_millis(550);
/// The pause between two reads.
const PAUSE: Duration = Duration::from_millis(20);

/// The list with this number that discovery sends on each watch.
type List = fn(usize) -> String;

/// An entry with as little text as an endpoint needs.
fn short_entry(number: usize, lifecycle: &str) -> String {
    format!(r#"{{"instanceId":"{number:x}","lifecycle":"{lifecycle}"}}"#)
}

/// An entry with an id and a zone of this length.
fn long_entry(number: usize, length: usize) -> String {
    let padding = "x".repeat(length);
    format!(r#"{{"instanceId":"{number:x}-{padding}","zone":"{padding}","lifecycle":"up","cell":{number}}}"#)
}

/// A list of changed endpoints.
fn changes(generation: usize, entries: impl Iterator<Item = String>) -> String {
    let entries: Vec<String> = entries.collect();
    format!(r#"{{"generation":{generation},"reset":false,"instances":[{}]}}"#, entries.join(","))
}

/// The numbers of the endpoints in a list.
fn numbers_of(list: usize) -> std::ops::Range<usize> {
    list * ENTRIES_PER_LIST..(list + 1) * ENTRIES_PER_LIST
}

/// Sends lists, one chunk each, and then keeps the watch open.
fn send_lists(socket: &mut TcpStream, lists: usize, list: List) {
    let _ = socket.write_all(CHUNKED_RESPONSE_HEAD);
    for number in 1..=lists {
        let list = list(number);
        let chunk = format!("{:x}\r\n{list}\n\r\n", list.len() + 1);
        if socket.write_all(chunk.as_bytes()).is_err() {
            return;
        }
    }
    std::thread::sleep(TROUBLE);
}

/// Sends this many lists on each watch, and asserts that the process stays below its limit and serves reads.
fn assert_lists_stay_below_the_limit(name: &str, lists: usize, list: List) {
    let _alone = run_alone();
    let server = FakeServer::answering("s-1", "replica");
    let discovery = FakeDiscovery::with_response(move |socket| send_lists(socket, lists, list));
    let setup = LEAST_MEMORY_MOST_SOCKETS;
    let pooler = start_pooler(setup, vec![server.entry("up", "replica")], &discovery);
    let monitor = MemoryMonitor::start(&pooler, setup);
    let (mut client, until) = (Client::connect(&pooler), Instant::now() + TROUBLE);
    for number in 0.. {
        let response = client.query(&read_statement(&format!("read-{number}")));
        assert_eq!(response.text(), Some("s-1"), "{name}: {response:?}");
        if Instant::now() >= until {
            break;
        }
        std::thread::sleep(PAUSE);
    }
    monitor.assert_below_limit(&format!("{name}, {}", pooler.counters()));
}

#[test]
fn one_list_of_very_many_short_entries_stays_below_the_memory_limit() {
    // Guards against a list that takes up many times its length when it is decoded.
    assert_lists_stay_below_the_limit("very many short entries", 1, |list| {
        changes(list, (0..50_000).map(|number| short_entry(number, "")))
    });
}

#[test]
fn ever_new_endpoints_stay_below_the_memory_limit() {
    // Guards against endpoints that are kept without a limit that the memory suffices for.
    assert_lists_stay_below_the_limit("ever new endpoints", 100, |list| {
        changes(list, numbers_of(list).map(|number| short_entry(number, "up")))
    });
}

#[test]
fn endpoints_that_are_removed_stay_below_the_memory_limit() {
    // Guards against removed endpoints that are remembered without a limit that the memory suffices for.
    assert_lists_stay_below_the_limit("removed endpoints", 100, |list| {
        let lifecycle = if list % 2 == 0 { "up" } else { "removed" };
        changes(list, numbers_of(list / 2).map(|number| short_entry(number, lifecycle)))
    });
}

#[test]
fn long_names_of_endpoints_stay_below_the_memory_limit() {
    // Guards against ids and zones of any length, which are kept with each endpoint.
    assert_lists_stay_below_the_limit("long names", 100, |list| {
        changes(list, (0..10).map(|number| long_entry(10 * list + number, 30_000)))
    });
}

#[test]
fn a_list_that_never_ends_stays_below_the_memory_limit() {
    // Guards against a list whose text takes up the memory before it is counted.
    assert_lists_stay_below_the_limit("a list without an end", 100, |list| {
        format!("{{\"generation\":{list},\"x\":\"{}", "y".repeat(4_000_000))
    });
}

#[test]
fn the_endpoints_of_the_largest_fleet_fit_into_the_least_memory() {
    // Guards against a limit on endpoints that the fleets of the operators' pages reach.
    let _alone = run_alone();
    let (server, discovery) = (FakeServer::answering("s-1", "replica"), FakeDiscovery::new());
    let setup = LEAST_MEMORY_MOST_SOCKETS;
    let pooler = start_pooler(setup, vec![], &discovery);
    let monitor = MemoryMonitor::start(&pooler, setup);
    let entry = |number, lifecycle| server.numbered_entry(number, lifecycle);
    let watch = discovery.accept_watch();
    watch.send(snapshot(42, (0..LARGEST_FLEET).map(|number| entry(number, "draining")).collect()));
    // The endpoint in service is the last of those that join.
    let joining = LARGEST_FLEET..LARGEST_FLEET + REPLACED_AT_ONCE;
    watch.send(delta(43, joining.clone().map(|number| entry(number, "draining")).collect()));
    watch.send(delta(44, vec![entry(joining.end, "up")]));
    let mut client = Client::connect(&pooler);
    assert_eq!(client.query(&read_statement("read")).text(), Some("s-1"), "{}", pooler.counters());
    monitor.assert_below_limit("the largest fleet");
}

/// Writes the first part of a large command, and then its other bytes one at a time, on one connection after
/// another.
fn slow_writer(pooler: SocketAddr, number: usize, ended: &AtomicBool) {
    let statement =
        read_statement(&format!("slow-{number}")).replace(" /*", &format!(" {} /*", " ".repeat(100_000)));
    let command = query_bytes([statement]);
    while !ended.load(Ordering::Relaxed) {
        let Ok(mut socket) = TcpStream::connect(pooler) else { return };
        socket.set_nodelay(true).unwrap();
        let mut client = Client { stream: MessageStream::new(socket.try_clone().unwrap()) };
        let mut result = socket.write_all(&startup_bytes(&command[..FIRST_PART]));
        client.read_response();
        socket.set_nonblocking(true).unwrap();
        for byte in &command[FIRST_PART..] {
            // It comes again the moment it is turned away.
            let is_turned_away =
                !matches!(socket.peek(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock);
            if is_turned_away || result.is_err() || ended.load(Ordering::Relaxed) {
                break;
            }
            std::thread::sleep(BYTE_INTERVAL);
            result = socket.write_all(&[*byte]);
        }
    }
}

/// Answers a watch with keep-alives until `list` is there, and then with that list. Sets `told_at` once it has
/// been written.
fn answer_watch(socket: &mut TcpStream, list: &OnceLock<String>, told_at: &OnceLock<Instant>) {
    let mut result = socket.write_all(CHUNKED_RESPONSE_HEAD).and_then(|()| socket.write_all(b"1\r\n\n\r\n"));
    while result.is_ok() && list.get().is_none() {
        std::thread::sleep(PAUSE);
        result = socket.write_all(b"1\r\n\n\r\n");
    }
    let Some(list) = list.get() else { return };
    let _ = socket.write_all(format!("{:x}\r\n{list}\r\n", list.len()).as_bytes());
    told_at.get_or_init(Instant::now);
    std::thread::sleep(STEP_TIMEOUT);
}

#[test]
fn an_endpoint_list_is_applied_in_time_beside_clients_that_fill_the_memory() {
    // Guards against drains that are not heard while clients hold all the memory that they may, and go on sending.
    let _alone = run_alone();
    let server = FakeServer::answering("s-1", "replica");
    let (list, told_at) = (Arc::new(OnceLock::new()), Arc::new(OnceLock::new()));
    let discovery = FakeDiscovery::with_response({
        let (list, told_at) = (list.clone(), told_at.clone());
        move |socket| answer_watch(socket, &list, &told_at)
    });
    let setup = LEAST_MEMORY_MOST_SOCKETS;
    let pooler = start_pooler(setup, vec![], &discovery);
    let monitor = MemoryMonitor::start(&pooler, setup);
    let (address, ended) = (pooler.address, AtomicBool::new(false));
    let draining = |number| server.numbered_entry(number, "draining");
    let entries = (0..LARGEST_FLEET).map(draining).chain([server.entry("up", "replica")]).collect();
    let snapshot = format!("{}\n", snapshot(42, entries));
    let applied_at = std::thread::scope(|scope| {
        let ended = &ended;
        let _end = EndOnDrop(ended);
        for number in 0..SLOW_WRITERS {
            scope.spawn(move || slow_writer(address, number, ended));
        }
        std::thread::sleep(Duration::from_secs(1));
        list.set(snapshot).unwrap();
        for number in 0.. {
            let statement = with_deadline(&read_statement(&format!("read-{number}")), 100);
            if Client::connect(&pooler).query(&statement).text() == Some("s-1") {
                break;
            }
        }
        Instant::now()
    });
    let took = applied_at.saturating_duration_since(*told_at.get().unwrap());
    println!("applied after {took:?}: {}", pooler.counters());
    assert!(took <= LIST_LIMIT, "the list had no effect for {took:?}: {}", pooler.counters());
    monitor.assert_below_limit("a list beside slow writers");
}

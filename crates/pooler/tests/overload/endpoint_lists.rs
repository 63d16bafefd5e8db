//! Endpoint lists at the memory limit: however many endpoints discovery names, and however long their names are,
//! the process stays below its limit and goes on serving.

use crate::memory_monitor::{LEAST_MEMORY_MOST_SOCKETS, MemoryMonitor, start_pooler};
use crate::run_alone;
use crate::support::*;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The time for which lists come.
const TROUBLE: Duration = Duration::from_secs(4);
/// The number of data servers in the largest fleet that the operators' pages name.
const LARGEST_FLEET: usize = 3_200;
/// The data servers of it that others replace while they still drain: six in ten.
const REPLACED_AT_ONCE: usize = LARGEST_FLEET * 6 / 10;
/// The entries in one of the lists that come in a row.
const ENTRIES_PER_LIST: usize = 1_000;
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
    let entry = |number: usize, lifecycle: &str| {
        let mut entry = server.entry(lifecycle, "replica");
        entry["instanceId"] = format!("s-{number:08x}").into();
        entry
    };
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

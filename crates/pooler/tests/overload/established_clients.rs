//! Clients that have made requests and hold their connections, as many as the operators' pages allow: a third of the
//! descriptors. Those that are idle for less than the pages name must not lose their connections to the others.

use crate::support::*;
use crate::{EndOnDrop, run_alone};
use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// The descriptors of the pooler, and the clients that hold connections, together a third of them.
const SOCKETS: usize = 1_024;
const HOLDING_CLIENTS: usize = 320;
const USUAL_CLIENTS: usize = 20;
/// The time for which requests are made, and the pause of a usual client before each.
const TROUBLE: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(200);
/// The least number of requests of usual clients in that time.
const MIN_REQUESTS: usize = 300;
/// The interval at which a client that stays looks whether it is to end.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The time that clients give their requests.
const DEADLINE_MS: u32 = 1_000;

/// Whether a read found nothing in time.
fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}

/// Makes a request on one connection after another, sends `rest` and waits until the connection ends.
fn holding_client(pooler: SocketAddr, number: usize, rest: &[u8], ended: &AtomicBool) {
    for connection in 0.. {
        if ended.load(Ordering::Relaxed) {
            return;
        }
        let Ok(socket) = TcpStream::connect(pooler) else { return };
        let statement =
            with_deadline(&read_statement(&format!("holding-{number}-{connection}")), DEADLINE_MS);
        let mut client = Client::on_socket(socket, &statement);
        client.read_response();
        client.read_response();
        client.stream.write_bytes(rest);
        client.stream.socket.set_read_timeout(Some(CHECK_INTERVAL)).unwrap();
        while !ended.load(Ordering::Relaxed) {
            match client.stream.socket.read(&mut [0; 4096]) {
                Ok(0) => break,
                Err(error) if !is_timeout(&error) => break,
                _ => {}
            }
        }
    }
}

/// Connects, and waits for the startup response.
fn connect(pooler: SocketAddr) -> Client {
    let mut client = Client::on_socket(TcpStream::connect(pooler).unwrap(), "");
    assert!(client.read_response().is_ready() && client.read_response().is_ready());
    client
}

/// Makes requests until `until` on one connection, and returns how many there were and how many of them found it
/// closed.
fn usual_client(pooler: SocketAddr, number: usize, until: Instant) -> (usize, usize) {
    let (mut client, mut requests, mut closed) = (connect(pooler), 0, 0);
    while Instant::now() < until {
        let statement = with_deadline(&read_statement(&format!("usual-{number}-{requests}")), DEADLINE_MS);
        requests += 1;
        let response = client.query(&statement);
        if response.is_ready() {
            // Hundreds of requests at once load the server, so that some may be rejected.
            let is_rejected = response.sql_state() == Some("53300");
            assert!(is_rejected || response.text() == Some("s-1"), "{response:?}");
        } else {
            closed += 1;
            client = connect(pooler);
        }
        std::thread::sleep(PAUSE);
    }
    (requests, closed)
}

/// Plays the usual clients beside clients that make a request, send `rest` and stay.
fn assert_usual_clients_stay_connected(what: &str, rest: &[u8]) {
    let _alone = run_alone();
    let server = FakeServer::answering("s-1", "replica");
    let pooler = PoolerProcess::with_server(&server, "replica", |config| config.sockets(SOCKETS));
    let (ended, requests, closed) = (AtomicBool::new(false), AtomicUsize::new(0), AtomicUsize::new(0));
    let counters = std::thread::scope(|scope| {
        let (address, ended) = (pooler.address, &ended);
        for number in 0..HOLDING_CLIENTS {
            scope.spawn(move || holding_client(address, number, rest, ended));
        }
        let _end = EndOnDrop(ended);
        let until = Instant::now() + TROUBLE;
        std::thread::scope(|usual| {
            for number in 0..USUAL_CLIENTS {
                let (requests, closed) = (&requests, &closed);
                usual.spawn(move || {
                    let (made, lost) = usual_client(address, number, until);
                    requests.fetch_add(made, Ordering::Relaxed);
                    closed.fetch_add(lost, Ordering::Relaxed);
                });
            }
        });
        pooler.counters()
    });
    let (requests, closed) = (requests.into_inner(), closed.into_inner());
    println!("{what}: {closed} of {requests} requests found their connection closed");
    assert!(requests >= MIN_REQUESTS, "{what}: {requests} requests");
    assert_eq!(
        closed, 0,
        "{what}: of {requests} requests, {closed} found their connection closed: {counters}"
    );
}

#[test]
fn clients_that_stop_in_a_command_cost_no_idle_client_its_connection() {
    // Guards against idle clients that are closed within a fraction of a second, before clients that have stopped.
    assert_usual_clients_stay_connected("half a command", b"Q\0\0\0\x40SELECT");
}

#[test]
fn clients_that_ask_once_and_stay_cost_no_other_idle_client_its_connection() {
    // Guards against clients between two requests that are closed for those that ask once and hold their connection.
    assert_usual_clients_stay_connected("nothing more", b"");
}

//! Requests on new connections beside many clients that are turned away: whatever the pooler does for those, it
//! must not keep the others waiting to be accepted and served.

use crate::support::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The descriptors of the pooler, and the clients that are turned away, which are more.
const SOCKETS: usize = 256;
const BAD_CLIENTS: usize = 280;
/// The time for which bad clients come.
const TROUBLE: Duration = Duration::from_secs(4);
/// The clients that make each request on a new connection, and the pause before each.
const USUAL_CLIENTS: usize = 6;
const PAUSE: Duration = Duration::from_millis(50);
/// The time that they give their requests, and the lateness that the operators' pages allow.
const DEADLINE_MS: u32 = 500;
const LATENESS_ALLOWED: Duration = Duration::from_millis(500);
/// The longest value of a bad client, in bytes, and the size of its writes.
const HUGE_VALUE: u32 = 60_000_000;
const WRITE_SIZE: usize = 256 * 1024;

/// A client that writes `opening` and then `rest` over and over, on one connection after another, and reads
/// whatever it is sent.
fn bad_client(pooler: SocketAddr, opening: &[u8], rest: &[u8], ended: &AtomicBool) {
    while !ended.load(Ordering::Relaxed) {
        let Ok(mut socket) = TcpStream::connect_timeout(&pooler, TROUBLE) else { continue };
        socket.set_write_timeout(Some(TROUBLE)).unwrap();
        let mut reader = socket.try_clone().unwrap();
        std::thread::scope(|scope| {
            scope.spawn(move || while matches!(reader.read(&mut [0; 4096]), Ok(1..)) {});
            let mut result = socket.write_all(opening);
            while result.is_ok() && !ended.load(Ordering::Relaxed) {
                result = socket.write_all(rest);
            }
            let _ = socket.shutdown(std::net::Shutdown::Both);
        });
    }
}

/// Makes requests on new connections, and asserts that each has its final response in time.
fn assert_answered_in_time(pooler: SocketAddr, client: usize, ended: &AtomicBool) -> usize {
    let mut requests = 0;
    while !ended.load(Ordering::Relaxed) {
        std::thread::sleep(PAUSE);
        let statement = with_deadline(&read_statement(&format!("usual-{client}-{requests}")), DEADLINE_MS);
        let mut client = Client::on_socket(TcpStream::connect(pooler).unwrap(), &statement);
        let sent_at = Instant::now();
        let mut response = client.read_response();
        if response.is_ready() {
            response = client.read_response();
        }
        let elapsed = sent_at.elapsed();
        let allowed = Duration::from_millis(u64::from(DEADLINE_MS)) + LATENESS_ALLOWED;
        assert!(elapsed <= allowed, "request {requests} was answered after {elapsed:?}: {response:?}");
        assert!(response.value.is_some() || response.sql_state.is_some(), "{requests}: {response:?}");
        requests += 1;
    }
    requests
}

/// Asserts that requests on new connections are answered in time beside bad clients that write these bytes.
fn assert_answered_beside(opening: &[u8], rest: &[u8]) {
    let server = FakeServer::answering("s-1", "replica");
    let pooler = PoolerProcess::with_server(&server, "replica", |config| config.sockets(SOCKETS));
    let (address, ended) = (pooler.address, AtomicBool::new(false));
    std::thread::scope(|scope| {
        for _ in 0..BAD_CLIENTS {
            scope.spawn(|| bad_client(address, opening, rest, &ended));
        }
        let ended = &ended;
        let usual = (0..USUAL_CLIENTS)
            .map(|client| scope.spawn(move || assert_answered_in_time(address, client, ended)));
        let usual: Vec<_> = usual.collect();
        std::thread::sleep(TROUBLE);
        ended.store(true, Ordering::Relaxed);
        let requests: Vec<_> = usual.into_iter().map(|client| client.join()).collect();
        // The connections end first, so that no thread waits for them.
        drop(pooler);
        for requests in requests {
            assert!(requests.unwrap() > 0, "each client must have made a request");
        }
    });
}

#[test]
fn clients_that_send_huge_values_delay_no_new_connection() {
    // Guards against reading from hundreds of clients that have had their error as fast as they send, while new
    // connections wait in the backlog.
    let mut opening = startup_bytes(b"Q");
    opening.extend_from_slice(&HUGE_VALUE.to_be_bytes());
    assert_answered_beside(&opening, &vec![b'x'; WRITE_SIZE]);
}

//! Requests on new connections beside many clients that are turned away: whatever the pooler does for those, it
//! must not keep the others waiting to be accepted and served.

use crate::run_alone;
use crate::support::*;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The descriptors of the pooler, and the clients that are turned away, which are more.
const SOCKETS: usize = 256;
const BAD_CLIENTS: usize = 280;
/// The time for which bad clients come.
const TROUBLE: Duration = Duration::from_secs(2);
/// The clients that make each request on a new connection, and the pause before each.
const USUAL_CLIENTS: usize = 6;
const PAUSE: Duration = Duration::from_millis(50);
/// The time that they give their requests, and the lateness that the operators' pages allow.
const DEADLINE_MS: u32 = 500;
const LATENESS_ALLOWED: Duration = Duration::from_millis(500);
/// How much more time than is left the operators' pages allow a server to be told.
const TOLD_SLACK: Duration = Duration::from_millis(150);
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

/// The deadlines that the server is told, against what is left of those of the clients.
#[derive(Default)]
struct Deadlines {
    /// When each request was sent, by its id.
    sent_at: Mutex<HashMap<String, Instant>>,
    /// The requests whose server was told more time than was left.
    too_long: Mutex<Vec<String>>,
}

impl Deadlines {
    /// Checks the deadline in a statement that has just arrived at the server.
    fn check(&self, statement: &str) {
        let field = |key: &str| statement.split_once(key)?.1.split_once(',').map(|(value, _)| value);
        let (Some(id), Some(told)) = (field("id="), field(",d=")) else { return };
        let Some(sent_at) = self.sent_at.lock().unwrap().get(id).copied() else { return };
        let elapsed = sent_at.elapsed();
        let told = Duration::from_secs_f64(told.parse::<f64>().unwrap() / 1000.0);
        if elapsed + told > Duration::from_millis(u64::from(DEADLINE_MS)) + TOLD_SLACK {
            self.too_long.lock().unwrap().push(format!("{id}: {told:?} told {elapsed:?} after it was sent"));
        }
    }
}

/// Makes requests on new connections, and asserts that each has its final response in time.
fn assert_answered_in_time(
    what: &str,
    pooler: SocketAddr,
    client: usize,
    deadlines: &Deadlines,
    ended: &AtomicBool,
) -> usize {
    let mut requests = 0;
    while !ended.load(Ordering::Relaxed) {
        std::thread::sleep(PAUSE);
        let id = format!("usual-{client}-{requests}");
        let statement = with_deadline(&read_statement(&id), DEADLINE_MS);
        let socket = TcpStream::connect(pooler).unwrap();
        let sent_at = Instant::now();
        deadlines.sent_at.lock().unwrap().insert(id, sent_at);
        let mut client = Client::on_socket(socket, &statement);
        let mut response = client.read_response();
        if response.is_ready() {
            response = client.read_response();
        }
        let elapsed = sent_at.elapsed();
        let allowed = Duration::from_millis(u64::from(DEADLINE_MS)) + LATENESS_ALLOWED;
        assert!(
            elapsed <= allowed,
            "{what}: request {requests} was answered after {elapsed:?}: {response:?}"
        );
        assert!(response.value.is_some() || response.sql_state.is_some(), "{what}: {requests}: {response:?}");
        requests += 1;
    }
    requests
}

/// Asserts that requests on new connections are answered in time beside bad clients that write these bytes.
fn assert_answered_beside(what: &str, opening: &[u8], rest: &[u8]) {
    let deadlines = Arc::new(Deadlines::default());
    let checked = deadlines.clone();
    let server = FakeServer::new("s-1", move |stream, statement| {
        checked.check(statement);
        stream.write_row(b"s-1", "replica", ANY_POSITION_MS);
        AfterStatement::KeepOpen
    });
    let pooler = PoolerProcess::with_server(&server, "replica", |config| config.sockets(SOCKETS));
    let (address, ended) = (pooler.address, AtomicBool::new(false));
    std::thread::scope(|scope| {
        for _ in 0..BAD_CLIENTS {
            scope.spawn(|| bad_client(address, opening, rest, &ended));
        }
        let (ended, deadlines) = (&ended, &*deadlines);
        let usual = (0..USUAL_CLIENTS).map(|client| {
            scope.spawn(move || assert_answered_in_time(what, address, client, deadlines, ended))
        });
        let usual: Vec<_> = usual.collect();
        std::thread::sleep(TROUBLE);
        ended.store(true, Ordering::Relaxed);
        let requests: Vec<_> = usual.into_iter().map(|client| client.join()).collect();
        // The connections end first, so that no thread waits for them.
        drop(pooler);
        for requests in requests {
            assert!(requests.unwrap() > 0, "each client must have made a request");
        }
        let too_long = deadlines.too_long.lock().unwrap();
        assert!(too_long.is_empty(), "{what}: {} deadlines told: {too_long:?}", too_long.len());
    });
}

#[test]
fn clients_that_send_huge_values_delay_no_new_connection() {
    // Guards against reading from hundreds of clients that have had their error as fast as they send, while new
    // connections wait in the backlog.
    let _alone = run_alone();
    let mut opening = startup_bytes(b"Q");
    opening.extend_from_slice(&HUGE_VALUE.to_be_bytes());
    assert_answered_beside("huge values", &opening, &vec![b'x'; WRITE_SIZE]);
}

#[test]
fn clients_that_repeat_cheap_or_unsound_commands_delay_no_new_connection() {
    // Guards against hundreds of clients at full speed whose commands cost little or are rejected, but together
    // take the time of the clients that are served.
    let _alone = run_alone();
    let unsound = |statement: &str| query_bytes([statement]);
    let many_fields = format!("SELECT 1 /* id=1,c=unheard-of,d=100,cluster=2{} */", ",a=1".repeat(32_000));
    let kinds: [(&str, Vec<u8>, Vec<u8>); 8] = [
        ("empty queries", startup_bytes(b""), query_bytes(std::iter::repeat_n("", 1_000))),
        ("copy messages", startup_bytes(b""), b"d\0\0\0\x04".repeat(1_000)),
        ("syncs", startup_bytes(b""), b"S\0\0\0\x04".repeat(1_000)),
        ("statements that are no requests", startup_bytes(b""), unsound("SELECT now()").repeat(100)),
        ("many short fields", startup_bytes(b""), unsound(&many_fields)),
        ("nothing that can be read", b"GET / HTTP/1.1\r\n\r\n".to_vec(), vec![b'x'; WRITE_SIZE]),
        (
            "input that is discarded until Sync",
            startup_bytes(b"P\0\0\0\x08\0\0\0\0"),
            b"H\0\0\0\x04".repeat(1_000),
        ),
        (
            "commands ahead",
            startup_bytes(&query_bytes([read_statement("held")])),
            query_bytes(std::iter::repeat_n("", 1_000)),
        ),
    ];
    for (name, opening, rest) in kinds {
        assert_answered_beside(name, &opening, &rest);
    }
}

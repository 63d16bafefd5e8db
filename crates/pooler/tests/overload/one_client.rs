//! One client that sends small or unsound requests at full speed, under ever new names: the others are answered in
//! time and not rejected for it, and the memory of the process does not grow with the names.

use crate::support::*;
use crate::{EndOnDrop, run_alone};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The time for which the client sends, and the number of its statements in one write.
const TROUBLE: Duration = Duration::from_millis(1_500);
const STATEMENTS_AT_ONCE: usize = 200;
/// The time that the others give their requests, and the lateness that the operators' pages allow.
const DEADLINE_MS: u32 = 500;
const LATENESS_ALLOWED: Duration = Duration::from_millis(500);
const PAUSE: Duration = Duration::from_millis(20);
/// The memory that the process may allocate beside what it needs for a few clients. Some megabytes may be added
/// over a whole day.
const MAX_MEMORY_KIB: u64 = 8 * 1024;

/// The statement with this number of a kind of client.
type Statement = fn(usize) -> String;

const KINDS: [(&str, Statement); 8] = [
    ("small reads", |number| read_statement(&format!("new-{number}"))),
    ("reads of new sessions", |number| {
        read_statement(&format!("new-{number}"))
            .replace("bundle-menu", "my-recent")
            .replace("m1", &format!("k{number}"))
    }),
    ("writes of new sessions", |number| {
        write_statement(&format!("new-{number}")).replace("a1", &format!("k{number}"))
    }),
    ("new classes", |number| read_statement("1").replace("bundle-menu", &format!("class-{number}"))),
    ("new groups", |number| {
        read_statement(&format!("new-{number}")).replace("cluster=2", &format!("cluster={number}"))
    }),
    ("new fields", |number| read_statement("1").replace("cluster=2", &format!("cluster=2,f{number}=1,d=1"))),
    ("new settings", |number| format!("SET name{number} = {number}")),
    ("new statements", |number| format!("SELECT {number}")),
];

/// Sends statements at full speed on one connection after another, and reads whatever it is sent.
fn bad_client(pooler: SocketAddr, statement: Statement, ended: &AtomicBool) {
    let mut number = 0;
    while !ended.load(Ordering::Relaxed) {
        let Ok(mut socket) = TcpStream::connect(pooler) else { continue };
        socket.set_write_timeout(Some(TROUBLE)).unwrap();
        let mut reader = socket.try_clone().unwrap();
        std::thread::scope(|scope| {
            scope.spawn(move || {
                while matches!(reader.read(&mut [0; 16 * 1024]), Ok(1..)) {}
                // The client comes again the moment it is turned away.
                let _ = reader.shutdown(std::net::Shutdown::Both);
            });
            let mut result = socket.write_all(&startup_bytes(b""));
            while result.is_ok() && !ended.load(Ordering::Relaxed) {
                let statements = (number..number + STATEMENTS_AT_ONCE).map(statement);
                result = socket.write_all(&query_bytes(statements));
                number += STATEMENTS_AT_ONCE;
            }
            let _ = socket.shutdown(std::net::Shutdown::Both);
        });
    }
}

/// Makes requests until `ended`, on one connection and on new ones in turns, and asserts that each has its final
/// response in time.
fn assert_answered_in_time(what: &str, pooler: &PoolerProcess) {
    let (mut kept, until) = (Client::connect(pooler), Instant::now() + TROUBLE);
    for number in 0.. {
        std::thread::sleep(PAUSE);
        let id = format!("usual-{number}");
        let statement = if number % 3 == 0 { write_statement(&id) } else { read_statement(&id) };
        let statement = with_deadline(&statement, DEADLINE_MS);
        let sent_at = Instant::now();
        let response =
            if number % 2 == 0 { kept.query(&statement) } else { Client::connect(pooler).query(&statement) };
        let elapsed = sent_at.elapsed();
        let allowed = Duration::from_millis(u64::from(DEADLINE_MS)) + LATENESS_ALLOWED;
        assert!(elapsed <= allowed, "{what}: request {number} was answered after {elapsed:?}: {response:?}");
        assert_eq!(response.text(), Some("s-1"), "{what}: request {number}: {response:?}");
        if Instant::now() >= until {
            return;
        }
    }
}

#[test]
fn one_client_at_full_speed_neither_delays_the_others_nor_fills_the_memory() {
    let _alone = run_alone();
    // Guards against one client whose small or unsound requests, under ever new names, are served at the others'
    // cost, or leave something behind each.
    let server = FakeServer::answering("s-1", "master");
    for (name, statement) in KINDS {
        let pooler = PoolerProcess::with_primary(&server);
        let (address, ended) = (pooler.address, AtomicBool::new(false));
        std::thread::scope(|scope| {
            scope.spawn(|| bad_client(address, statement, &ended));
            {
                let _end = EndOnDrop(&ended);
                assert_answered_in_time(name, &pooler);
            }
            let memory = allocated_kib(pooler.id());
            assert!(memory <= MAX_MEMORY_KIB, "{name}: the process allocated {memory} KiB");
            drop(pooler);
        });
    }
}

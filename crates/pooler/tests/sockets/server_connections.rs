//! Connections to servers: reuse, broken and silent connections, connect timeouts, malformed and rejecting
//! responses.

use crate::support::*;
use std::net::Shutdown;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::channel;

#[test]
fn a_connection_closed_by_the_server_is_not_reused() {
    let (closed_sender, closed_receiver) = channel();
    let closed_sender = Mutex::new(closed_sender);
    let server = FakeServer::new("s-1", move |stream, _| {
        stream.write_row(b"s-1", "replica", ANY_POSITION_MS);
        stream.socket.shutdown(Shutdown::Both).unwrap();
        closed_sender.lock().unwrap().send(()).unwrap();
        AfterStatement::Close
    });
    let pooler = PoolerProcess::with_replica(&server);
    let mut client = Client::connect(&pooler);
    for id in ["1", "2", "3"] {
        assert_eq!(client.query(&read_statement(id)).text(), Some("s-1"));
        closed_receiver.recv().unwrap();
    }
    assert_eq!(server.statements().len(), 3);
    let counters = pooler.counters();
    assert!(
        counters.contains(" outcome.ok=3 ") && counters.contains(" outcome.connection_reset=0 "),
        "{counters}"
    );
}

#[test]
fn a_broken_or_silent_pooled_connection_loses_no_request() {
    // The server abandons each connection after one response, which the pooler can detect only by writing to
    // it. On the empty query that validates the connection, the server alternately stays silent and closes
    // the connection.
    let was_silent = AtomicBool::new(false);
    let server = FakeServer::with_empty_queries("s-1", move |stream, statement| {
        if !statement.is_empty() {
            stream.write_row(b"done", "master", ANY_POSITION_MS);
            return AfterStatement::KeepOpen;
        }
        if !was_silent.fetch_xor(true, Ordering::Relaxed) {
            stream.wait_until_closed();
        }
        AfterStatement::Close
    });
    let pooler = PoolerProcess::with_primary(&server);
    let mut client = Client::connect(&pooler);
    for id in ["1", "2", "3"] {
        assert_eq!(client.query(&write_statement(id)).text(), Some("done"));
    }
    assert_eq!(server.statements().len(), 3);
    let counters = pooler.counters();
    assert!(
        counters.contains(" failed_validations=2 ") && counters.contains(" outcome.connection_reset=0 "),
        "{counters}"
    );
}

#[test]
fn a_request_is_retried_after_a_connect_timeout_and_sent_once() {
    let (gate, waiter) = Gate::new();
    let first_waiter = Mutex::new(Some(waiter));
    let on_accept = move || {
        let first = first_waiter.lock().unwrap().take();
        if let Some(waiter) = first {
            waiter.wait();
        }
    };
    let server = FakeServer::with_accept_hook("s-1", on_accept, |stream, _| {
        stream.write_row(b"done", "replica", ANY_POSITION_MS);
        AfterStatement::KeepOpen
    });
    let pooler = PoolerProcess::with_server(&server, "replica", |config| {
        config.with("/settings/Limits/DialTimeout", 100.0)
    });
    let mut client = Client::connect(&pooler);
    assert_eq!(client.query(&read_statement("1")).text(), Some("done"));
    assert_eq!(server.statements().len(), 1);
    let counters = pooler.counters();
    assert!(counters.contains(" outcome.connect_timeout=1 "), "{counters}");
    gate.open();
}

/// Responses that violate the protocol or are incomplete.
fn malformed_responses() -> Vec<Vec<u8>> {
    let column: &[u8] = b"T\0\0\0\x20\0\x01content\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";
    let (row, tag): (&[u8], &[u8]) = (b"D\0\0\0\x0c\0\x01\0\0\0\x02ab", b"C\0\0\0\x0dSELECT 1\0");
    let ready: &[u8] = b"Z\0\0\0\x05I";
    vec![
        [b"noise".as_slice(), row, tag, ready].concat(),
        [row, tag, ready].concat(),
        [column, tag, ready].concat(),
        [column, row, row, tag, ready].concat(),
        [column, row, tag, tag, ready].concat(),
        [tag, row, column, ready].concat(),
        [column, b"D\0\0\0\x0c\0\x01\0\0\0\x07ab", tag, ready].concat(),
        [column, b"D\0\0\0\x0a\0\x01\xff\xff\xff\xff", tag, ready].concat(),
        [column, b"D\xb2\xd0\x5e\0\0\x01\xb2\xd0\x5d\xf6".as_slice(), &[b'x'; 65_536]].concat(),
        [column, row, b"C\0\0\0\x0dSELECT 1!", ready].concat(),
        [b"E\0\0\0\x0aC5330".as_slice(), ready].concat(),
    ]
}

#[test]
fn a_malformed_response_is_never_forwarded() {
    let malformed = malformed_responses();
    let count = malformed.len();
    let next_id = AtomicUsize::new(0);
    let server = FakeServer::new("s-1", move |stream, statement| {
        // The first attempt of each request gets a malformed response, and the connection stays open. The
        // second attempt gets a surplus copy of its response.
        let id = statement.split_once("id=").unwrap().1.split_once(',').unwrap().0;
        let id: usize = id.parse().unwrap();
        if next_id.fetch_max(id + 1, Ordering::Relaxed) <= id {
            stream.write_bytes(&malformed[id % count]);
        } else {
            let value = format!("value {id}");
            stream.write_row(value.as_bytes(), "replica", ANY_POSITION_MS);
            stream.write_row(value.as_bytes(), "replica", ANY_POSITION_MS);
        }
        AfterStatement::KeepOpen
    });
    let pooler = PoolerProcess::with_replica(&server);
    let mut client = Client::connect(&pooler);
    for id in 0..count {
        let response = client.query(&read_statement(&id.to_string()));
        let expected = format!("value {id}");
        assert_eq!((response.tags.as_str(), response.text()), ("TDCZ", Some(expected.as_str())));
    }
    assert_eq!(server.statements().len(), 2 * count);
    // A write that may have run fails, since it must not run twice.
    let response = client.query(&write_statement(&count.to_string()));
    assert_eq!((response.tags.as_str(), response.sql_state()), ("EZ", Some("08007")));
    assert_eq!(server.statements().len(), 2 * count + 1);
}

#[test]
fn a_rejected_request_carries_a_retry_after() {
    let server = FakeServer::failing("s-1", "53300", "replica");
    let pooler = PoolerProcess::with_replica(&server);
    let mut client = Client::connect(&pooler);
    let response = client.query(&read_statement("1"));
    assert_eq!((response.tags.as_str(), response.sql_state()), ("EZ", Some("53300")));
    let retry_after: u64 = response.detail.unwrap().parse().unwrap();
    assert!((1..=2_000).contains(&retry_after), "{retry_after}");
    assert!(!server.statements().is_empty());
}

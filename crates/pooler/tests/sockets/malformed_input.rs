//! Invalid and incomplete input from clients.

use crate::support::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Instant;

/// Statements that the pooler answers without a server, with the tags of their responses.
const ANSWERED_BY_THE_POOLER: [(&str, &str); 13] = [
    ("", "IZ"),
    (" ; ", "IZ"),
    ("SET x = 1", "CZ"),
    ("SELECT now()", "EZ"),
    ("SELECT 1 /* id=1,c=unheard-of,d=100,cluster=2 */", "EZ"),
    ("SELECT 1 /* id=1,c=bundle-menu,d=soon,cluster=2 */", "EZ"),
    ("SELECT 1 /* id=1,c=bundle-menu,d=nan,cluster=2 */", "EZ"),
    ("SELECT 1 /* id=1,c=bundle-menu,d=-5,cluster=2 */", "EZ"),
    ("SELECT 1 /* id=1,c=bundle-menu,d=1e3,cluster=2 */", "EZ"),
    ("SELECT 1 /* id=1,c=bundle-menu,cluster=2 */", "EZ"),
    ("SELECT 1 /* c=bundle-menu,d=100,cluster=2 */", "EZ"),
    ("SELECT 1 /* id=,c=bundle-menu,d=100,cluster=2 */", "EZ"),
    ("SELECT 1 /* prose */", "EZ"),
];

/// Messages that violate the protocol.
const PROTOCOL_VIOLATIONS: [&[u8]; 4] =
    [b"Q\xff\xff\xff\xff", b"Q\0\0\0\0", b"Q\0\0\0\x06ab", b"\x01\0\0\0\x04"];

const SSL_REQUEST: &[u8] = b"\0\0\0\x08\x04\xd2\x16\x2f";
const GSSENC_REQUEST: &[u8] = b"\0\0\0\x08\x04\xd2\x16\x30";

#[test]
fn malformed_input_is_rejected_and_affects_no_other_client() {
    let server = FakeServer::answering("s-1", "replica");
    let pooler = PoolerProcess::with_replica(&server);
    // This client makes a request first, as connections without one may be closed after 2 s and the checks
    // below may take longer.
    let mut other = Client::connect(&pooler);
    assert_eq!(other.query(&read_statement("0")).text(), Some("s-1"));
    for (statement, tags) in ANSWERED_BY_THE_POOLER {
        assert_eq!(Client::connect(&pooler).query(statement).tags, tags, "{statement}");
    }
    // A series of messages of the extended query protocol is rejected with a single error, up to Sync.
    let mut client = Client::connect(&pooler);
    client.stream.write_bytes(b"P\0\0\0\x08\0\0\0\0B\0\0\0\x04S\0\0\0\x04");
    assert_eq!(client.read_response().tags, "EZ");
    assert_eq!(client.query("").tags, "IZ", "the session must continue");
    for violation in PROTOCOL_VIOLATIONS {
        let mut client = Client::connect(&pooler);
        client.stream.write_bytes(violation);
        let response = client.read_response();
        assert_eq!((response.tags.as_str(), response.sql_state()), ("E", Some("08P01")), "{violation:?}");
    }
    // A client that keeps sending statements that are rejected gets a few errors; then its connection is
    // closed.
    let mut flood = Client::connect(&pooler);
    for _ in 0..20 {
        flood.send_query("SELECT now()");
    }
    let tags: Vec<String> = (0..8).map(|_| flood.read_response().tags).collect();
    assert_eq!((tags.concat().as_str(), flood.is_closed()), ("EZEZEZEZEZEZEZE", true));
    // A client receives the error even while it is still sending 60 MB.
    let mut huge = Client::connect(&pooler);
    let mut socket = huge.stream.socket.try_clone().unwrap();
    let sender = std::thread::spawn(move || {
        let _ = socket.write_all(b"Q\x03\x93\x87\0");
        (0..916).all(|_| socket.write_all(&[b'x'; 65_536]).is_ok())
    });
    let response = huge.read_response();
    assert_eq!((response.tags.as_str(), response.sql_state()), ("E", Some("08P01")));
    drop(huge);
    sender.join().unwrap();
    assert_eq!(server.statements().len(), 1, "only the other client's request may be sent");
    assert_eq!(other.query(&read_statement("1")).text(), Some("s-1"));
}

#[test]
fn a_client_that_requests_encryption_again_and_again_is_rejected() {
    // Guards against one client that repeats SSLRequest and is answered for as long as it goes on.
    let server = FakeServer::answering("s-1", "replica");
    let pooler = PoolerProcess::with_replica(&server);
    let mut socket = TcpStream::connect(pooler.address).unwrap();
    socket.write_all(&[GSSENC_REQUEST, SSL_REQUEST].concat()).unwrap();
    let mut answers = [0; 2];
    socket.read_exact(&mut answers).unwrap();
    assert_eq!(&answers, b"NN", "each kind of encryption may be requested");
    let mut client = Client::on_socket(socket.try_clone().unwrap(), &read_statement("1"));
    assert!(client.read_response().is_ready(), "the session must start");
    assert_eq!(client.read_response().text(), Some("s-1"));

    let mut socket = TcpStream::connect(pooler.address).unwrap();
    socket.write_all(&SSL_REQUEST.repeat(500)).unwrap();
    socket.read_exact(&mut answers).unwrap();
    let mut client = Client { stream: MessageStream::new(socket) };
    let response = client.read_response();
    assert_eq!((response.tags.as_str(), response.sql_state()), ("E", Some("08P01")));
}

#[test]
fn a_request_id_in_use_is_rejected() {
    let (gate, server) = FakeServer::with_gated_responses("s-1");
    let pooler = PoolerProcess::with_replica(&server);
    let (mut owner, mut other) = (Client::connect(&pooler), Client::connect(&pooler));
    owner.send_query(&read_statement("7"));
    server.wait_for_statement();
    assert_eq!(other.query(&read_statement("7")).tags, "EZ");
    gate.open();
    assert_eq!(owner.read_response().text(), Some("s-1"));
    assert_eq!(server.statements().len(), 1);
    // The id may be used again once the response has been sent.
    assert_eq!(owner.query(&read_statement("7")).text(), Some("s-1"));
}

#[test]
fn an_incomplete_command_at_end_of_stream_is_not_forwarded() {
    let server = FakeServer::answering("s-1", "replica");
    let pooler = PoolerProcess::with_replica(&server);
    let mut client = Client::connect(&pooler);
    let mut bytes = query_bytes([read_statement("1")]);
    let complete = bytes.len();
    bytes.extend(query_bytes([read_statement("2")]));
    client.stream.write_bytes(&bytes[..complete + 20]);
    assert_eq!(client.read_response().text(), Some("s-1"), "the complete command must be answered");
    client.half_close();
    assert!(client.is_closed_without_reset());
    assert_eq!(server.statements().len(), 1);
}

#[test]
fn a_command_left_incomplete_is_rejected_within_3_seconds() {
    let server = FakeServer::answering("s-1", "replica");
    let pooler = PoolerProcess::with_replica(&server);
    let mut incomplete = query_bytes([read_statement("half")]);
    incomplete.truncate(incomplete.len() / 2);
    for is_established in [false, true] {
        let mut client = Client::connect(&pooler);
        if is_established {
            assert_eq!(client.query(&read_statement("1")).text(), Some("s-1"));
        }
        client.stream.write_bytes(&incomplete);
        let sent_at = Instant::now();
        let response = client.read_response();
        assert_eq!(response.sql_state(), Some("57P03"), "established {is_established}: {response:?}");
        assert!(
            sent_at.elapsed().as_millis() < 3_000,
            "a command left incomplete must be rejected within 3 s"
        );
    }
    assert!(server.statements().iter().all(|statement| !statement.contains("half")));
}

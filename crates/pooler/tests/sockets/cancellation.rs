//! Cancel requests and their secret keys.

use crate::support::*;
use std::io::{Read, Write};
use std::net::TcpStream;

/// The first 8 bytes of a CancelRequest message: its length and request code. The process id and secret key
/// follow.
const CANCEL_REQUEST: &[u8] = b"\0\0\0\x10\x04\xd2\x16\x2e";

fn send_cancel_request(pooler: &PoolerProcess, key: &[u8]) {
    let mut stream = TcpStream::connect(pooler.address).unwrap();
    stream.write_all(&[CANCEL_REQUEST, key].concat()).unwrap();
    assert!(matches!(stream.read(&mut [0]), Ok(0) | Err(_)), "a cancel request must get no response");
}

#[test]
fn a_request_is_cancelled_only_with_its_own_secret_key() {
    let (gate, server) = FakeServer::with_gated_responses("s-1");
    let pooler = PoolerProcess::with_replica(&server);
    let mut client = Client::connect_with(&pooler, b"");
    let key = client.read_cancellation_key();
    send_cancel_request(&pooler, &key);
    client.send_query(&read_statement("1"));
    client.send_query("SET x = 1");
    server.wait_for_statement();
    // A cancel request with the right process id and a wrong secret key has no effect.
    let wrong_key: Vec<u8> = key[..4].iter().chain(&[0; 4]).copied().collect();
    send_cancel_request(&pooler, &wrong_key);
    assert!(pooler.counters().contains(" cancelled=0 "));
    send_cancel_request(&pooler, &key);
    let response = client.read_response();
    assert_eq!((response.tags.as_str(), response.sql_state()), ("EZ", Some("57014")));
    assert_eq!(client.read_response().tags, "CZ", "the statement after the cancelled one must be answered");
    gate.open();
    assert_eq!(client.query(&read_statement("2")).text(), Some("s-1"));
    assert!(pooler.counters().contains(" cancelled=1 "));
}

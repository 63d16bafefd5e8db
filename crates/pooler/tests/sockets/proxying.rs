//! Forwarding of statements and responses, and their order.

use crate::support::*;
use std::io::{Read, Write};
use std::net::TcpStream;

#[test]
fn values_pass_through_unchanged_and_only_the_deadline_is_rewritten() {
    let big = vec![0xA5; 65_536];
    let value = big.clone();
    let server = FakeServer::new("s-1", move |stream, _| {
        stream.write_row(&value, "replica", ANY_POSITION_MS);
        AfterStatement::KeepOpen
    });
    let pooler = PoolerProcess::with_replica(&server);
    // The first query follows the startup message without a wait, as in the load balancer's health check.
    let mut client = Client::connect_with(&pooler, b"Q\0\0\0\x05\0");
    assert_eq!(client.read_response().tags.chars().last(), Some('Z'));
    assert_eq!(client.read_response().tags, "IZ", "response to the empty query");
    // Two requests that are sent without a wait between them are answered in their order.
    client.send_query(&read_statement("11"));
    client.send_query(&read_statement("12"));
    for _ in 0..2 {
        let response = client.read_response();
        assert_eq!((response.tags.as_str(), response.value.as_ref()), ("TDCZ", Some(&big)));
    }
    let with_original_deadline = |statement: &String| {
        let (before, rest) = statement.split_once(",d=").unwrap();
        let (deadline, after) = rest.split_once(',').unwrap();
        let deadline: u64 = deadline.parse().unwrap();
        assert!((1..=8_000).contains(&deadline), "{deadline}");
        format!("{before},d=8000,{after}")
    };
    let statements: Vec<String> = server.statements().iter().map(with_original_deadline).collect();
    assert_eq!(statements, [read_statement("11"), read_statement("12")]);
    let counters = pooler.counters();
    for count in
        [" requests=2 ", " attempts=2 ", " served=2 ", " server_connections_opened=1 ", " outcome.ok=2 "]
    {
        assert!(counters.contains(count), "{counters}");
    }
}

#[test]
fn small_responses_are_sent_without_waiting_for_an_acknowledgement() {
    let server = FakeServer::answering("s-1", "replica");
    let pooler = PoolerProcess::with_replica(&server);
    let mut client = Client::connect(&pooler);
    let pair = query_bytes(["SET x = 1", "SET x = 1"]);
    // The pooler closes the connection of a client without a request after 2 s. If it held each second
    // response back until the first is acknowledged, which takes 40 ms, the 100 pairs would take 4 s.
    for _ in 0..100 {
        client.stream.write_bytes(&pair);
        for _ in 0..2 {
            assert_eq!(client.read_response().tags, "CZ");
        }
    }
}

#[test]
fn a_command_written_byte_by_byte_is_one_request() {
    let server = FakeServer::answering("s-1", "replica");
    let pooler = PoolerProcess::with_replica(&server);
    let stream = TcpStream::connect(pooler.address).unwrap();
    stream.set_nodelay(true).unwrap();
    for byte in startup_bytes(&query_bytes([read_statement("1")])) {
        (&stream).write_all(&[byte]).unwrap();
    }
    stream.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
    let (mut received, mut chunk) = (Vec::new(), [0; 1_024]);
    while !received.windows(3).any(|window| window == b"s-1") {
        let count = (&stream).read(&mut chunk).unwrap();
        assert!(count > 0, "the connection must stay open until the response");
        received.extend_from_slice(&chunk[..count]);
    }
    assert_eq!(server.statements().len(), 1);
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let server = FakeServer::new("s-1", |stream, statement| {
        let id = statement.split("id=").nth(1).and_then(|rest| rest.split(',').next()).unwrap();
        stream.write_row(id.as_bytes(), "replica", ANY_POSITION_MS);
        AfterStatement::KeepOpen
    });
    let pooler = PoolerProcess::with_replica(&server);
    let mut client = Client::connect(&pooler);
    let mut pipelined = Vec::new();
    let mut count = 0;
    while pipelined.len() <= BEYOND_READ_AHEAD_BYTES {
        pipelined.extend(query_bytes([read_statement(&count.to_string())]));
        count += 1;
    }
    let socket = client.stream.socket.try_clone().unwrap();
    let writer = std::thread::spawn(move || (&socket).write_all(&pipelined).unwrap());
    let mut served = 0;
    for index in 0..count {
        let response = client.read_response();
        if let Some(value) = &response.value {
            assert_eq!(value, index.to_string().as_bytes(), "responses must keep the order of the requests");
            served += 1;
        } else {
            assert_eq!(response.sql_state(), Some("53300"), "request {index}: {response:?}");
        }
    }
    writer.join().unwrap();
    assert!(served > 0);
    // The connection stays usable.
    assert_eq!(client.query(&read_statement("last")).text(), Some("last"));
}

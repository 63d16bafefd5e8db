//! What passes through the pooler, and in which order.

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
    // The first query comes straight after the startup message, as the load balancer's health check does.
    let mut client = Client::connect_with(&pooler, b"Q\0\0\0\x05\0");
    assert_eq!(client.read_response().tags.chars().last(), Some('Z'));
    assert_eq!(client.read_response().tags, "IZ", "ready");
    // Two commands in one go are answered in their order.
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
    let both = query_bytes(["SET x = 1", "SET x = 1"]);
    // A client that makes no request is closed after 2 s. Each second response held back until the first is
    // acknowledged takes 40 ms, and the pairs twice that.
    for _ in 0..100 {
        client.stream.write_bytes(&both);
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
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let (mut read, mut more) = (Vec::new(), [0; 1_024]);
    while !read.windows(3).any(|three| three == b"s-1") {
        let count = (&stream).read(&mut more).unwrap();
        assert!(count > 0, "the response comes");
        read.extend_from_slice(&more[..count]);
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
    let mut ahead = Vec::new();
    let mut count = 0;
    while ahead.len() <= FAR_AHEAD {
        ahead.extend(query_bytes([read_statement(&count.to_string())]));
        count += 1;
    }
    let socket = client.stream.socket.try_clone().unwrap();
    let writer = std::thread::spawn(move || (&socket).write_all(&ahead).unwrap());
    let mut served = 0;
    for turn in 0..count {
        let response = client.read_response();
        if let Some(value) = &response.value {
            assert_eq!(value, turn.to_string().as_bytes(), "in order");
            served += 1;
        } else {
            assert_eq!(response.sql_state(), Some("53300"), "{turn}: {response:?}");
        }
    }
    writer.join().unwrap();
    assert!(served > 0);
    // And it goes on as before.
    assert_eq!(client.query(&read_statement("last")).text(), Some("last"));
}

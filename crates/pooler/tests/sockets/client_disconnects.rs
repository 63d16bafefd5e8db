//! Clients that disconnect while they have requests without a response.

use crate::support::*;
use std::sync::Mutex;
use std::sync::mpsc::channel;

#[test]
fn the_request_of_a_disconnected_client_is_aborted() {
    let (closed_sender, closed_receiver) = channel();
    let closed_sender = Mutex::new(closed_sender);
    let server = FakeServer::new("s-1", move |stream, statement| {
        if statement.contains("id=1,") {
            // Sends no response; the pooler closes this connection once the client has disconnected.
            stream.wait_until_closed();
            closed_sender.lock().unwrap().send(()).unwrap();
            return AfterStatement::Close;
        }
        stream.write_row(b"s-1", "replica", ANY_POSITION_MS);
        AfterStatement::KeepOpen
    });
    let pooler = PoolerProcess::with_replica(&server);
    let mut client = Client::connect(&pooler);
    client.send_query(&read_statement("1"));
    server.wait_for_statement();
    drop(client);
    assert_eq!(closed_receiver.recv(), Ok(()));
    let mut client = Client::connect(&pooler);
    assert_eq!(client.query(&read_statement("2")).text(), Some("s-1"));
    let counters = pooler.counters();
    assert!(
        counters.contains(" client_disconnects=1 ") && counters.contains(" outcome.cancelled=1 "),
        "{counters}"
    );
}

#[test]
fn a_disconnect_during_a_connect_sends_nothing() {
    let (gate, server) = FakeServer::with_gated_startup("s-1");
    let pooler = PoolerProcess::with_replica(&server);
    let mut client = Client::connect(&pooler);
    client.send_query(&read_statement("1"));
    assert!(pooler.reaches_counter(" server_connections_opened=1 "));
    drop(client);
    assert!(pooler.reaches_counter(" client_disconnects=1 "));
    gate.open();
    // The second request is served on a server connection of its own. By then the connect for the first
    // request has completed as well.
    assert_eq!(Client::connect(&pooler).query(&read_statement("2")).text(), Some("s-1"));
    let statements = server.statements();
    assert!(statements.iter().all(|statement| statement.contains("id=2,")), "{statements:?}");
}

#[test]
fn a_disconnect_while_a_write_is_queued_sends_nothing() {
    let replica = FakeServer::new("s-1", |stream, statement| {
        if statement.starts_with("SHOW") {
            stream.write_load_report("x0=1767225600.1,x1=0", "replica");
        } else {
            stream.write_error("25006", "replica");
        }
        AfterStatement::KeepOpen
    });
    let primary = FakeServer::answering("s-2", "master");
    let discovery = FakeDiscovery::new();
    let pooler = PoolerProcess::start(&PoolerConfig::new(&discovery, vec![replica.entry("up", "replica")]));
    let watch = discovery.accept_watch();
    let mut client = Client::connect(&pooler);
    client.send_query(&write_statement("1"));
    assert!(pooler.reaches_counter(" outcome.not_eligible=1"));
    drop(client);
    assert!(pooler.reaches_counter(" client_disconnects=1 "));
    watch.send(delta(42, vec![primary.entry("up", "master")]));
    assert_eq!(Client::connect(&pooler).query(&write_statement("2")).text(), Some("s-2"));
    assert_eq!(
        primary.statements().len(),
        1,
        "only the second write may be sent: {:?}",
        primary.statements()
    );
}

#[test]
fn a_late_response_is_never_sent_to_another_client() {
    let (gate, waiter) = Gate::new();
    let server = FakeServer::new("s-1", move |stream, statement| {
        if statement.contains("id=1,") {
            waiter.wait();
            stream.write_row(b"the first", "replica", ANY_POSITION_MS);
        } else {
            stream.write_row(b"the second", "replica", ANY_POSITION_MS);
        }
        AfterStatement::KeepOpen
    });
    let pooler = PoolerProcess::with_replica(&server);
    let mut client = Client::connect(&pooler);
    client.send_query(&read_statement("1"));
    server.wait_for_statement();
    drop(client);
    assert!(pooler.reaches_counter(" client_disconnects=1 "));
    gate.open();
    let mut next = Client::connect(&pooler);
    for id in ["2", "3", "4"] {
        assert_eq!(next.query(&read_statement(id)).text(), Some("the second"));
    }
}

#[test]
fn a_disconnect_after_pipelined_requests_is_detected() {
    let (gate, server) = FakeServer::with_gated_responses("s-1");
    let pooler = PoolerProcess::with_replica(&server);
    let mut client = Client::connect(&pooler);
    client.send_query(&read_statement("1"));
    server.wait_for_statement();
    let pipelined = query_bytes((0..1_000).map(|id| read_statement(&format!("2-{id}"))));
    assert!(pipelined.len() > 64 * 1024);
    client.stream.write_bytes(&pipelined);
    drop(client);
    // The disconnect is detected while the first request is in flight, and the requests after it are dropped.
    assert!(
        pooler.reaches_counter_within(2_000, " client_disconnects=1 "),
        "the disconnect must be detected"
    );
    gate.open();
    assert_eq!(Client::connect(&pooler).query(&read_statement("3")).text(), Some("s-1"));
    assert_eq!(server.statements().len(), 2, "no pipelined request may be sent");
}

#[test]
fn a_disconnect_after_more_pipelined_bytes_than_are_read_ahead_is_detected() {
    let (gate, server) = FakeServer::with_gated_responses("s-1");
    let pooler = PoolerProcess::with_replica(&server);
    // More clients than may have a large read-ahead buffer.
    let mut clients: Vec<_> = (0..20).map(|_| Client::connect(&pooler)).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        let mut pipelined = Vec::new();
        for request in 0.. {
            pipelined.extend(query_bytes([read_statement(&format!("{number}-{request}"))]));
            if pipelined.len() > BEYOND_READ_AHEAD_BYTES {
                break;
            }
        }
        client.stream.write_bytes(&pipelined);
    }
    assert!(pooler.reaches_counter(" requests=20 "));
    drop(clients);
    assert!(
        pooler.reaches_counter(" client_disconnects=20 "),
        "all disconnects must be detected while the first requests are in flight"
    );
    gate.open();
    assert_eq!(Client::connect(&pooler).query(&read_statement("last")).text(), Some("s-1"));
    let is_pipelined = |statement: &String| !statement.contains("-0,") && !statement.contains("last");
    let sent_later: Vec<_> = server.statements().into_iter().filter(is_pipelined).collect();
    assert_eq!(sent_later, [""; 0], "no request may be sent for a disconnected client");
}

#[test]
fn a_disconnect_while_the_process_was_stopped_sends_nothing() {
    for round in 0..5 {
        let (gate, server) = FakeServer::with_gated_startup("s-1");
        let pooler = PoolerProcess::with_replica(&server);
        let mut client = Client::connect(&pooler);
        client.send_query(&read_statement("gone"));
        assert!(pooler.reaches_counter(" server_connections_opened=1 "));
        pooler.while_stopped(|| {
            drop(client);
            gate.open();
        });
        assert!(pooler.reaches_counter(" client_disconnects=1 "));
        assert_eq!(Client::connect(&pooler).query(&read_statement("next")).text(), Some("s-1"));
        let statements = server.statements();
        assert!(
            statements.iter().all(|statement| statement.contains("id=next,")),
            "round {round}: {statements:?}"
        );
    }
}

#[test]
fn a_client_that_half_closes_receives_the_rejection_of_its_request() {
    // The pooler cannot tell a half-close from a close, so it starts no attempt; but the client may still be
    // reading.
    let (gate, server) = FakeServer::with_gated_startup("s-1");
    let pooler = PoolerProcess::with_replica(&server);
    for statement in [read_statement("1"), write_statement("2")] {
        let mut client = Client::connect(&pooler);
        client.send_query(&statement);
        client.half_close();
        assert_eq!(
            client.read_response().sql_state(),
            Some("53300"),
            "a request that was never sent must be rejected"
        );
    }
    gate.open();
}

#[test]
fn a_request_is_not_sent_for_a_client_that_left_long_ago_with_much_unread() {
    // Guards against requests that are sent on after their client has closed its connection, as the close is
    // behind much that the pooler has not read.
    let server = FakeServer::answering("s-1", "master");
    let pooler = PoolerProcess::with_primary(&server);
    assert_eq!(Client::connect(&pooler).query(&write_statement("first")).text(), Some("s-1"));
    // Copy messages get no response, whose failure would show that the client has left.
    let copy_messages = b"d\0\0\0\x04".repeat(700_000);
    for (number, unread_bytes) in [0, 1_000_000, 2_000_000, 3_500_000].into_iter().enumerate() {
        let request = query_bytes([write_statement(&format!("gone-{number}"))]);
        let mut client = Client::connect(&pooler);
        client.stream.write_bytes(
            &[&copy_messages[..500_000], request.as_slice(), &copy_messages[..unread_bytes]].concat(),
        );
        drop(client);
    }
    assert!(pooler.reaches_counter(" client_disconnects=4 "), "{}", pooler.counters());
    let sent: Vec<_> =
        server.statements().into_iter().filter(|statement| statement.contains("gone")).collect();
    assert_eq!(sent, [""; 0], "no request may be sent for a client that has left");
}

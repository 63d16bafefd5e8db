//! Graceful shutdown on SIGTERM.

use crate::support::*;
use std::net::TcpStream;
use std::time::Instant;

#[test]
fn a_request_sent_while_the_pooler_closes_the_connection_causes_no_reset_and_is_not_forwarded() {
    let server = FakeServer::answering("s-1", "replica");
    let mut pooler = PoolerProcess::with_replica(&server);
    let mut client = Client::connect(&pooler);
    assert_eq!(client.query(&read_statement("1")).text(), Some("s-1"));
    pooler.signal(Signal::Terminate);
    assert!(client.is_closed(), "an idle connection must be closed");
    // Simulates a request that was in transit when the pooler closed the connection.
    client.send_query(&read_statement("2"));
    client.half_close();
    assert!(pooler.wait().success());
    assert!(client.is_closed_without_reset(), "the connection must not be reset");
    assert_eq!(server.statements().len(), 1, "the request sent after the close must not be forwarded");
}

#[test]
fn a_graceful_shutdown_answers_every_accepted_request() {
    // New connections arrive for up to 0.4 s after SIGTERM. If the machine stalls so long that the late
    // client connects after that time, the attempt shows nothing and is repeated.
    while !shut_down_under_load() {}
}

/// Shuts a pooler down that has clients; false if the late client connected too late for the checks.
fn shut_down_under_load() -> bool {
    let (gate, server) = FakeServer::with_gated_responses("s-1");
    let mut pooler = PoolerProcess::with_replica(&server);
    let (mut idle, mut busy) = (Client::connect(&pooler), Client::connect(&pooler));
    busy.send_query(&read_statement("1"));
    let signalled = Instant::now();
    pooler.signal(Signal::Terminate);
    // The pooler still accepts a client that connects now.
    let late = TcpStream::connect(pooler.address);
    if signalled.elapsed().as_millis() >= 400 {
        return false;
    }
    let mut late =
        Client::on_socket(late.expect("the pooler must still accept connections"), &read_statement("2"));
    gate.open();
    assert!(late.read_response().is_ready(), "the startup of the late client must complete");
    for client in [&mut busy, &mut late] {
        assert_eq!(client.read_response().text(), Some("s-1"));
    }
    // A client uses no other pooler while it has a connection, so the pooler keeps the connection open and
    // goes on serving the client.
    let mut answered = 2;
    let mut last_served = signalled.elapsed();
    while busy.query(&read_statement("3")).value.is_some() {
        answered += 1;
        last_served = signalled.elapsed();
    }
    assert!(last_served.as_millis() > 1_000, "last response {last_served:?} after SIGTERM");
    for client in [&mut idle, &mut late] {
        assert!(client.is_closed(), "the connections of the other clients must be closed");
    }
    assert!(pooler.wait().success());
    let counters = pooler.wait_for_log("counters");
    let expected = [format!(" requests={answered} "), format!(" served={answered} ")];
    assert!(expected.iter().all(|count| counters.contains(count)), "{answered} answered: {counters}");
    assert!(TcpStream::connect(pooler.address).is_err());
    true
}

/// A pooler that received SIGTERM while it connects to a server for a client's request. The connect completes
/// once the gate is open.
struct ShutdownDuringConnect {
    gate: Gate,
    server: FakeServer,
    pooler: PoolerProcess,
    client: Client,
}

impl ShutdownDuringConnect {
    fn begin() -> Self {
        let (gate, server) = FakeServer::with_gated_startup("s-1");
        let pooler = PoolerProcess::with_replica(&server);
        let mut client = Client::connect(&pooler);
        client.send_query(&read_statement("1"));
        assert!(pooler.reaches_counter(" server_connections_opened=1 "));
        pooler.begin_shutdown();
        Self { gate, server, pooler, client }
    }
}

#[test]
fn a_shutdown_during_a_connect_still_answers_the_request() {
    let ShutdownDuringConnect { gate, server: _server, mut pooler, mut client } =
        ShutdownDuringConnect::begin();
    gate.open();
    assert_eq!(client.read_response().text(), Some("s-1"));
    assert!(client.is_closed_without_reset());
    drop(client);
    assert!(pooler.wait().success());
}

#[test]
fn a_shutdown_rejects_a_request_whose_connect_does_not_complete() {
    let ShutdownDuringConnect { gate, server, mut pooler, mut client } = ShutdownDuringConnect::begin();
    // The connect does not complete in time. The client gets its response before the earliest time at which
    // the pooler may get SIGKILL, and may retry the request.
    assert_eq!(client.read_response().sql_state(), Some("53300"));
    assert!(client.is_closed_without_reset());
    drop(client);
    assert!(pooler.wait().success());
    gate.open();
    assert!(server.statements().is_empty());
}

/// Sends requests until the connection ends; returns how many of them, 0 or 1, a reset left unanswered.
fn query_until_closed(mut client: Client, client_number: usize) -> usize {
    for request in 0.. {
        client.send_query(&read_statement(&format!("{client_number}-{request}")));
        if client.read_response().tags.is_empty() {
            break;
        }
    }
    // A close between two requests loses none of them, but a reset does.
    usize::from(client.stream.was_reset)
}

#[test]
fn a_shutdown_answers_accepted_requests_under_short_deadlines() {
    for deadline in [100, 300] {
        let (gate, server) = FakeServer::with_gated_startup("s-1");
        let mut pooler = PoolerProcess::with_server(&server, "replica", |config| {
            config.with_every_class("Deadline", deadline)
        });
        let clients: Vec<_> = (0..20).map(|_| Client::connect(&pooler)).collect();
        pooler.begin_shutdown();
        // The clients send requests while their connections are open. Any response counts, rejections
        // included.
        let threads: Vec<_> = clients
            .into_iter()
            .enumerate()
            .map(|(index, client)| std::thread::spawn(move || query_until_closed(client, index)))
            .collect();
        let unanswered: usize = threads.into_iter().map(|thread| thread.join().unwrap()).sum();
        assert!(pooler.wait().success());
        gate.open();
        assert_eq!(unanswered, 0, "no request may be lost with deadlines of {deadline} ms");
    }
}

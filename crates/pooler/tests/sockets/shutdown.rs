//! Graceful shutdown.

use crate::support::*;
use std::net::TcpStream;
use std::time::Instant;

#[test]
fn a_request_that_crosses_a_close_causes_no_reset_and_is_not_forwarded() {
    let server = FakeServer::answering("s-1", "replica");
    let mut pooler = PoolerProcess::with_replica(&server);
    let mut client = Client::connect(&pooler);
    assert_eq!(client.query(&read_statement("1")).text(), Some("s-1"));
    pooler.signal(Signal::Terminate);
    assert!(client.is_closed(), "closed while it is idle");
    // Its next request was on the way by then.
    client.send_query(&read_statement("2"));
    client.half_close();
    assert!(pooler.wait().success());
    assert!(client.is_closed_in_order(), "an end, not a reset");
    assert_eq!(server.statements().len(), 1, "and nothing that came after it is forwarded");
}

#[test]
fn a_graceful_shutdown_answers_every_accepted_request() {
    // Connections keep arriving for up to 0.4 s. A machine that stalls that long between two lines here tells
    // nothing, and the test is played again.
    while !shut_down_under_load() {}
}

/// False if the late client came too late.
fn shut_down_under_load() -> bool {
    let (gate, server) = FakeServer::with_gated_responses("s-1");
    let mut pooler = PoolerProcess::with_replica(&server);
    let (mut idle, mut busy) = (Client::connect(&pooler), Client::connect(&pooler));
    busy.send_query(&read_statement("1"));
    let signalled = Instant::now();
    pooler.signal(Signal::Terminate);
    // It still accepts a client that comes now.
    let late = TcpStream::connect(pooler.address);
    if signalled.elapsed().as_millis() >= 400 {
        return false;
    }
    let mut late = Client::over(late.expect("it accepts"), &read_statement("2"));
    gate.open();
    assert!(late.read_response().is_ready(), "welcome");
    for client in [&mut busy, &mut late] {
        assert_eq!(client.read_response().text(), Some("s-1"));
    }
    // A client that keeps its connection is served on it, and closed only then: it has nowhere else to go.
    let mut asked = 2;
    let mut served = signalled.elapsed();
    while busy.query(&read_statement("3")).value.is_some() {
        asked += 1;
        served = signalled.elapsed();
    }
    assert!(served.as_millis() > 1_000, "closed after {served:?}");
    for client in [&mut idle, &mut late] {
        assert!(client.is_closed(), "closed as well");
    }
    assert!(pooler.wait().success());
    let counters = pooler.wait_for_log("counters");
    let expected = [format!(" requests={asked} "), format!(" served={asked} ")];
    assert!(expected.iter().all(|count| counters.contains(count)), "{asked} {counters}");
    assert!(TcpStream::connect(pooler.address).is_err());
    true
}

/// A pooler that was told to end while it connects to a server for a client's request; the gate lets it connect.
struct ShutdownDuringConnect {
    gate: Gate,
    server: FakeServer,
    pooler: PoolerProcess,
    client: Client,
}

impl ShutdownDuringConnect {
    fn begin() -> Self {
        let (gate, server) = FakeServer::with_gated_accepts("s-1");
        let pooler = PoolerProcess::with_replica(&server);
        let mut client = Client::connect(&pooler);
        client.send_query(&read_statement("1"));
        assert!(pooler.counts(" server_connections_opened=1 "));
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
    assert!(client.is_closed_in_order());
    drop(client);
    assert!(pooler.wait().success());
}

#[test]
fn a_shutdown_rejects_a_request_whose_connect_does_not_complete() {
    let ShutdownDuringConnect { gate, server, mut pooler, mut client } = ShutdownDuringConnect::begin();
    // The connect completes too late: the client is answered before the process is killed, and may come again.
    assert_eq!(client.read_response().sql_state(), Some("53300"));
    assert!(client.is_closed_in_order());
    drop(client);
    assert!(pooler.wait().success());
    gate.open();
    assert!(server.statements().is_empty());
}

/// Sends requests until the connection ends; the number of those that a reset left unanswered.
fn ask_until_closed(mut client: Client, name: usize) -> usize {
    for turn in 0.. {
        client.send_query(&read_statement(&format!("{name}-{turn}")));
        if client.read_response().tags.is_empty() {
            break;
        }
    }
    // A close between two requests loses nothing, a reset does.
    usize::from(client.stream.was_reset)
}

#[test]
fn a_shutdown_answers_accepted_requests_under_short_deadlines() {
    for deadline in [100, 300] {
        let (gate, server) = FakeServer::with_gated_accepts("s-1");
        let mut pooler = PoolerProcess::with_server(&server, "replica", |config| {
            config.with_every_class("Deadline", deadline)
        });
        let clients: Vec<_> = (0..20).map(|_| Client::connect(&pooler)).collect();
        pooler.begin_shutdown();
        // They go on asking for as long as their connections are open; whatever they are answered is a response.
        let asking: Vec<_> = clients
            .into_iter()
            .enumerate()
            .map(|(at, client)| std::thread::spawn(move || ask_until_closed(client, at)))
            .collect();
        let unanswered: usize = asking.into_iter().map(|thread| thread.join().unwrap()).sum();
        assert!(pooler.wait().success());
        gate.open();
        assert_eq!(unanswered, 0, "with deadlines of {deadline} ms");
    }
}

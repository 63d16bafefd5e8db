//! The limits on the number of client connections, and the eviction of clients to make room for others.

use crate::support::*;
use std::io::Read;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A small descriptor limit: 12 are reserved for the process, 13 are for servers, 8 for clients that are
/// rejected and 15 for clients that are served.
const FEW_SOCKETS: usize = 48;

fn start_with_few_sockets(server: &FakeServer) -> PoolerProcess {
    PoolerProcess::with_server(server, "replica", |config| config.sockets(FEW_SOCKETS))
}

/// Connects a client and sends a request.
fn busy_client(pooler: &PoolerProcess, id: &str) -> Client {
    let mut client = Client::connect(pooler);
    client.send_query(&read_statement(id));
    client
}

#[test]
fn at_the_connection_limit_idle_clients_are_evicted_before_new_ones_are_rejected() {
    let (gate, server) = FakeServer::with_gated_responses("s-1");
    let pooler = start_with_few_sockets(&server);
    let mut idle = Client::connect(&pooler);
    assert_eq!(idle.query("").tags, "IZ");
    let mut busy: Vec<Client> = (0..14).map(|number| busy_client(&pooler, &number.to_string())).collect();
    pooler.wait_for_counter(" requests=14 ");
    // Another client is admitted in place of the idle one, once that has been idle long enough to be evicted.
    let connect = || {
        let mut client = Client::connect_with(&pooler, b"");
        (client.read_response(), client)
    };
    let is_admitted = |(response, _): &(Response, Client)| response.is_ready();
    let (_, mut last) = std::iter::repeat_with(connect).find(is_admitted).unwrap();
    assert!(idle.is_closed(), "the idle client must be evicted");
    last.send_query(&read_statement("15"));
    busy.push(last);
    pooler.wait_for_counter(" requests=15 ");
    // All clients are busy now. The next one must receive the whole rejection: its connection must not be
    // reset because its request is unread.
    let mut rejected_client =
        Client::on_socket(TcpStream::connect(pooler.address).unwrap(), &read_statement("16"));
    let response = rejected_client.read_response();
    assert_eq!((response.tags.as_str(), response.sql_state()), ("E", Some("53300")));
    assert!(!rejected_client.stream.was_reset, "the connection must not be reset");
    gate.open();
    let responses: Vec<Response> = busy.iter_mut().map(Client::read_response).collect();
    let served = responses.iter().filter(|response| response.value.is_some()).count();
    let rejected = responses.iter().filter(|response| response.sql_state() == Some("53300")).count();
    assert!(served >= 13, "as many requests as there are server connections must be served: {responses:?}");
    assert_eq!(served + rejected, 15, "{responses:?}");
    assert!(
        pooler.counters().contains(" outcome.connection_refused=0 "),
        "no failure may be attributed to the endpoint"
    );
}

#[test]
fn at_the_connection_limit_no_client_is_evicted_until_another_connects() {
    let (gate, server) = FakeServer::with_gated_responses("s-1");
    let pooler = start_with_few_sockets(&server);
    let connecting_at = Instant::now();
    let mut last = Client::connect(&pooler);
    let mut busy: Vec<Client> = (0..14).map(|number| busy_client(&pooler, &number.to_string())).collect();
    pooler.wait_for_counter(" requests=14 ");
    // All slots are taken, and this client has held its slot without a request for the longest time.
    let waited = connecting_at.elapsed();
    last.send_query(&read_statement("15"));
    assert!(
        pooler.reaches_counter(" requests=15 "),
        "the client must not have been evicted; it sent its request after {waited:?}: {}",
        pooler.counters()
    );
    busy.push(last);
    gate.open();
    assert!(busy.iter_mut().all(|client| client.read_response().is_ready()));
    assert!(pooler.counters().contains(" evicted_connections=0 "));
}

#[test]
fn without_free_descriptors_a_client_is_evicted_only_once_another_has_connected() {
    let discovery = FakeDiscovery::new();
    let pooler = PoolerProcess::start(&PoolerConfig::new(&discovery, Vec::new()));
    let _watch = discovery.accept_watch();
    // This client's connection takes the last descriptor.
    pooler.limit_further_descriptors(1);
    let mut client = Client::connect(&pooler);
    assert!(pooler.reaches_counter(" resource_waits=1 "), "accepting must wait for a free descriptor");
    // This is far longer than the pause in accepting and the age from which the client may be evicted.
    let exhausted_at = Instant::now();
    while exhausted_at.elapsed() < Duration::from_millis(100) {
        pooler.counters();
    }
    assert_eq!(client.query("").tags, "IZ", "the client must stay connected until another connects");
    let mut next = Client::connect(&pooler);
    assert_eq!(next.query("").tags, "IZ");
    assert!(client.is_closed(), "the client must be evicted for the other one");
}

#[test]
fn a_rejected_client_that_stays_connected_frees_no_slot_for_another() {
    let FullPooler { gate, _server, pooler, mut clients } = FullPooler::start(|config| config);
    let rejected: Vec<Client> = (0..4)
        .map(|number| {
            let mut client = Client::connect_with(&pooler, b"");
            assert_eq!(client.read_response().sql_state(), Some("53300"), "rejected client {number}");
            // This is longer than the age from which a rejected client's connection may be closed for others.
            let rejected_at = Instant::now();
            while rejected_at.elapsed() < Duration::from_millis(30) {
                pooler.counters();
            }
            client
        })
        .collect();
    gate.open();
    assert!(clients.iter_mut().all(|client| client.read_response().value.is_some()));
    drop(rejected);
}

#[test]
fn clients_that_send_nothing_evict_nobody_and_are_closed() {
    let server = FakeServer::answering("s-1", "replica");
    let pooler = start_with_few_sockets(&server);
    let mut established = Client::connect(&pooler);
    assert_eq!(established.query(&read_statement("1")).text(), Some("s-1"));
    // More silent clients connect than there are slots; two more send a command that they never complete.
    let mut incomplete: Vec<_> = (0..2).map(|_| Client::connect_with(&pooler, b"Q\0\0\0\x20SEL")).collect();
    let mut silent: Vec<_> = (0..40).map(|_| TcpStream::connect(pooler.address).unwrap()).collect();
    let mut late = Client::connect(&pooler);
    assert_eq!(
        late.query(&read_statement("2")).text(),
        Some("s-1"),
        "a client that sends a request must be admitted"
    );
    assert_eq!(
        established.query(&read_statement("3")).text(),
        Some("s-1"),
        "an established client must not be evicted"
    );
    for socket in &mut silent {
        socket.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
        assert!(!matches!(socket.read(&mut [0]), Ok(1)), "a silent client must be closed without a message");
    }
    for client in &mut incomplete {
        while !client.is_closed() {}
    }
    assert_eq!(established.query(&read_statement("4")).text(), Some("s-1"));
}

#[test]
fn the_longest_idle_client_is_evicted_before_the_limit_is_reached() {
    let server = FakeServer::answering("s-1", "replica");
    // Of the 15 slots for clients, at most 12 are for clients that have made a request.
    let pooler = start_with_few_sockets(&server);
    let served_client = |_| {
        let mut client = Client::connect(&pooler);
        assert!(client.query(&read_statement("1")).value.is_some());
        client
    };
    let staying: Vec<Client> = (0..13).map(served_client).collect();
    // Further clients connect one at a time and disconnect, so there are never more than 14.
    let longest_idle = &staying[0].stream.socket;
    longest_idle.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    let closed = (0..200).map(served_client).any(|_| matches!(longest_idle.peek(&mut [0]), Ok(0)));
    assert!(closed, "the client that has been idle longest must be evicted");
}

#[test]
fn idle_clients_leave_descriptors_for_discovery_and_servers() {
    let server = FakeServer::answering("s-1", "replica");
    let discovery = FakeDiscovery::new();
    let pooler = PoolerProcess::start(&PoolerConfig::new(&discovery, Vec::new()).sockets(FEW_SOCKETS));
    let watch = discovery.accept_watch();
    // More clients connect than the pooler admits; each sends an empty query and stays.
    let mut idle = Vec::new();
    for _ in 0..60 {
        let mut client = Client::connect_with(&pooler, b"Q\0\0\0\x05\0");
        client.read_response();
        idle.push(client);
    }
    watch.end();
    let watch = discovery.accept_watch();
    watch.send(snapshot(42, vec![server.entry("up", "replica")]));
    let served = (0..200).any(|id| {
        let mut client = Client::connect_with(&pooler, b"");
        client.read_response().is_ready() && client.query(&read_statement(&id.to_string())).value.is_some()
    });
    assert!(served);
}

/// A pooler whose client slots are all held by clients with a request in flight. The server answers once the
/// gate is open.
struct FullPooler {
    gate: Gate,
    _server: FakeServer,
    pooler: PoolerProcess,
    clients: Vec<Client>,
}

impl FullPooler {
    fn start(configure: impl FnOnce(PoolerConfig) -> PoolerConfig) -> Self {
        let (gate, server) = FakeServer::with_gated_startup("s-1");
        let pooler =
            PoolerProcess::with_server(&server, "replica", |config| configure(config.sockets(FEW_SOCKETS)));
        let mut clients = Vec::new();
        for count in 1..=15 {
            clients.push(busy_client(&pooler, &format!("busy-{count}")));
            assert!(pooler.reaches_counter(&format!(" requests={count} ")));
        }
        Self { gate, _server: server, pooler, clients }
    }
}

#[test]
fn a_client_is_admitted_once_the_connection_limit_is_no_longer_reached() {
    let FullPooler { gate, _server, pooler, clients } = FullPooler::start(|config| config);
    gate.open();
    for mut client in clients {
        assert!(client.read_response().value.is_some());
    }
    let mut late = Client::connect_with(&pooler, b"");
    let startup_response = late.read_response();
    assert!(startup_response.is_ready(), "{startup_response:?}");
    assert!(late.query(&read_statement("late")).value.is_some());
}

#[test]
fn a_rejection_at_the_connection_limit_carries_the_configured_retry_after() {
    for (allowed, max_retry_after_ms, detail) in
        [(true, 2_000, Some("250")), (true, 100, Some("100")), (false, 2_000, None)]
    {
        let full = FullPooler::start(|config| {
            config
                .with("/settings/Limits/RetryAfter", allowed)
                .with("/settings/Limits/MaxRetryAfter", max_retry_after_ms)
        });
        let response = Client::connect_with(&full.pooler, b"").read_response();
        assert_eq!(response.sql_state(), Some("53300"));
        assert_eq!(
            response.detail.as_deref(),
            detail,
            "RetryAfter {allowed}, MaxRetryAfter {max_retry_after_ms}"
        );
        full.gate.open();
    }
}

//! The status report that the pooler logs on SIGUSR1.

use crate::support::*;

#[test]
fn a_suspension_of_the_process_counts_as_a_stall() {
    // Guards against a pooler that serves nobody for a while and leaves no trace of it.
    let (_gate, server) = FakeServer::with_gated_responses("s-1");
    let pooler = PoolerProcess::with_replica(&server);
    let mut client = Client::connect(&pooler);
    assert!(pooler.counters().contains(" stalls=0 longest_stall_ms=0 "));
    client.send_query(&with_deadline(&read_statement("1"), 200));
    server.wait_for_statement();
    pooler.while_stopped(|| ());
    assert!(client.read_response().is_ready());
    let counters = pooler.counters();
    assert!(counters.contains(" stalls=1 ") && !counters.contains(" longest_stall_ms=0 "), "{counters}");
}

#[test]
fn the_status_report_tells_why_client_connections_were_closed() {
    // Guards against connections that are closed without a trace of the reason.
    let server = FakeServer::answering("s-1", "replica");
    let pooler = PoolerProcess::with_replica(&server);
    let mut half_command = Client::connect_with(&pooler, b"Q\0\0\0\x20SEL");
    let mut leaving = Client::connect(&pooler);
    leaving.stream.write_bytes(b"X\0\0\0\x04");
    assert!(leaving.is_closed());
    let mut wrong_length = Client::connect_with(&pooler, b"Q\xff\xff\xff\xff");
    let mut repeating = Client::connect_with(&pooler, &query_bytes(["SELECT 1"; 8]));
    for client in [&mut wrong_length, &mut repeating, &mut half_command] {
        while !client.is_closed() {}
    }
    let counters = pooler.counters();
    for reason in ["client", "protocol_violation", "too_many_rejections", "command_timeout"] {
        assert!(counters.contains(&format!(" closed.{reason}=1 ")), "{reason}: {counters}");
    }
}

#[test]
fn a_process_that_nears_its_memory_limit_logs_what_takes_up_the_memory() {
    // Guards against a process that is killed for its memory and leaves nothing in its log.
    const MEMORY_MIB: u64 = 8;
    const ENDPOINTS: usize = 4_000;
    let (server, discovery) = (FakeServer::answering("s-1", "replica"), FakeDiscovery::new());
    let config = PoolerConfig::new(&discovery, vec![server.entry("up", "replica")]);
    let pooler = PoolerProcess::start(&config.sockets(64).with("/limits/memory_mb", MEMORY_MIB));
    let watch = discovery.accept_watch();
    let entries: Vec<_> = (0..ENDPOINTS).map(|number| server.numbered_entry(number, "draining")).collect();
    for entries in entries.chunks(500) {
        watch.send(delta(42, entries.to_vec()));
    }
    let command = query_bytes([read_statement("1").replace(" /*", &format!(" {} /*", " ".repeat(130_000)))]);
    let half_command = |number: usize| {
        let mut client = Client::connect(&pooler);
        client.query(&read_statement(&format!("first-{number}")));
        client.stream.write_bytes(&command[..command.len() - 1]);
        client
    };
    let mut clients: Vec<Client> = (0..20).map(half_command).collect();
    let line = pooler.wait_for_log("over 50% of the memory limit");
    for field in ["limit_kib=8192", " allocated_kib=", " served_clients=", " endpoints_kib=", " command_kib="]
    {
        assert!(line.contains(field), "{field}: {line}");
    }
    for client in &mut clients {
        while !client.is_closed() {}
    }
}

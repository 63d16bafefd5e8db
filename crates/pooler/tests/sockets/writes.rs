//! Writes are retried only on proof that they never ran, and queued while no primary is known.

use crate::support::*;
use std::sync::atomic::{AtomicBool, Ordering};

#[test]
fn a_write_is_retried_only_on_proof_that_it_never_ran() {
    // The server listed as the primary is a replica by now. The actual primary serves the first write, and
    // closes the connection on the second one.
    let replica = FakeServer::failing("s-1", "25006", "replica");
    let primary = FakeServer::new("s-2", |stream, statement| {
        if statement.contains("id=2") {
            return AfterStatement::Close;
        }
        stream.write_row(b"done", "master", ANY_POSITION_MS);
        AfterStatement::KeepOpen
    });
    let discovery = FakeDiscovery::new();
    let entries = vec![replica.entry("up", "master"), primary.entry("up", "replica")];
    let pooler = PoolerProcess::start(&PoolerConfig::new(&discovery, entries));
    let mut client = Client::connect(&pooler);
    assert_eq!(client.query(&write_statement("1")).text(), Some("done"));
    assert_eq!((replica.statements().len(), primary.statements().len()), (1, 1));
    // The connection broke after the whole statement was written. The statement may have run, so the response
    // must not be a rejection.
    let response = client.query(&write_statement("2"));
    assert_eq!((response.tags.as_str(), response.sql_state()), ("EZ", Some("08007")));
    assert_eq!(
        (replica.statements().len(), primary.statements().len()),
        (1, 2),
        "a write in doubt must not be sent again"
    );
    // The log names the write in doubt by the client's request id, for the operator who looks it up.
    pooler.signal(Signal::ReportCounters);
    let in_doubt = pooler.wait_for_log("in doubt: ");
    assert!(in_doubt.contains("in doubt: 1 since the start; top-up id=2 at s-2, "), "{in_doubt}");
}

/// A server that rejects writes as a replica; if `promoted`, it becomes the primary with its first health
/// check.
fn server_in_failover(id: &'static str, promoted: bool) -> FakeServer {
    let is_primary = AtomicBool::new(false);
    FakeServer::new(id, move |stream, statement| {
        if statement.starts_with("SHOW") {
            is_primary.store(promoted, Ordering::Relaxed);
            let now = unix_time().as_secs_f64();
            stream.write_row(format!("x0={now:.6},x1={}", u8::from(promoted)).as_bytes(), "", "");
        } else if is_primary.load(Ordering::Relaxed) {
            stream.write_row(b"done", "master", ANY_POSITION_MS);
        } else {
            stream.write_error("25006", "replica");
        }
        AfterStatement::KeepOpen
    })
}

#[test]
fn a_write_is_queued_until_a_health_check_shows_the_primary() {
    // Both servers reject the write at first; one of them becomes the primary with its first health check.
    let (promoted, other) = (server_in_failover("s-2", true), server_in_failover("s-1", false));
    let discovery = FakeDiscovery::new();
    let entries = vec![other.entry("up", "master"), promoted.entry("up", "replica")];
    let pooler = PoolerProcess::start(&PoolerConfig::new(&discovery, entries));
    let mut client = Client::connect(&pooler);
    assert_eq!(client.query(&write_statement("1")).text(), Some("done"));
    let sent = (other.statements().len(), promoted.statements().len());
    assert_eq!(sent, (1, 2), "once to each server, then only to the primary");
}

#[test]
fn only_the_documented_error_codes_prove_that_a_write_never_ran() {
    // With 57P03 a server rejects a connection or a health check; as the response to a statement it proves
    // nothing.
    for code in ["XX000", "57P03", "57P01", "08006", "40001"] {
        let first = FakeServer::new("s-1", move |stream, statement| {
            if statement.starts_with("SHOW") {
                stream.write_load_report("x0=1767225600.1,x1=1", "master");
            } else {
                stream.write_error(code, "master");
            }
            AfterStatement::KeepOpen
        });
        let second = FakeServer::answering("s-2", "master");
        let discovery = FakeDiscovery::new();
        let entries = vec![first.entry("up", "master"), second.entry("up", "replica")];
        let pooler = PoolerProcess::start(&PoolerConfig::new(&discovery, entries));
        let response = Client::connect(&pooler).query(&write_statement("1"));
        assert_eq!(response.sql_state(), Some("08007"), "{code}: {response:?}");
        assert_eq!(
            first.statements().len() + second.statements().len(),
            1,
            "{code}: the write must not be sent again"
        );
    }
}

//! Discovery watches, and the effect of endpoint updates on routing.

use crate::support::*;
use std::time::{Duration, Instant};

#[test]
fn a_dropped_watch_resumes_at_its_last_generation() {
    let server = FakeServer::answering("s-9", "replica");
    let discovery = FakeDiscovery::new();
    let pooler = PoolerProcess::start(&PoolerConfig::new(&discovery, Vec::new()));
    let watch = discovery.accept_watch();
    let first = &watch.request_line;
    assert!(first.starts_with("GET /discovery/hosts?") && first.contains("since=41"), "{first}");
    assert!(first.contains("follow=1"), "{first}");
    watch.send(snapshot(57, vec![server.entry("up", "replica")]));
    watch.end();
    let second = discovery.accept_watch();
    assert!(second.request_line.contains("since=57"), "{}", second.request_line);
    let mut client = Client::connect(&pooler);
    assert_eq!(
        client.query(&read_statement("1")).text(),
        Some("s-9"),
        "the update sent before the end of the watch must be applied"
    );
    // The second watch sends nothing at all, so the pooler abandons it and opens a third watch. The third
    // watch reports that the endpoint has a new address.
    let watch = discovery.accept_watch();
    let moved = FakeServer::new("s-9", |stream, _| {
        stream.write_row(b"moved", "replica", ANY_POSITION_MS);
        AfterStatement::KeepOpen
    });
    watch.send(delta(58, vec![moved.entry("up", "replica")]));
    let found = (0..100_000).any(|_| client.query(&read_statement("2")).text() == Some("moved"));
    assert!(found, "requests must go to the new address");
}

#[test]
fn an_update_may_span_several_lines() {
    let server = FakeServer::answering("s-9", "replica");
    let discovery = FakeDiscovery::indented();
    let pooler = PoolerProcess::start(&PoolerConfig::new(&discovery, Vec::new()));
    let watch = discovery.accept_watch();
    watch.send(snapshot(57, vec![server.entry("up", "replica")]));
    watch.send(delta(58, Vec::new()));
    watch.end();
    let next = discovery.accept_watch();
    assert!(next.request_line.contains("since=58"), "{}", next.request_line);
    let mut client = Client::connect(&pooler);
    assert_eq!(client.query(&read_statement("1")).text(), Some("s-9"));
}

#[test]
fn nothing_is_sent_to_an_endpoint_that_drains_during_a_connect() {
    let (gate, waiter) = Gate::new();
    let slow = FakeServer::with_accept_hook(
        "s-1",
        move || waiter.wait(),
        |stream, _| {
            stream.write_row(b"s-1", "replica", ANY_POSITION_MS);
            AfterStatement::KeepOpen
        },
    );
    let other = FakeServer::answering("s-2", "replica");
    let discovery = FakeDiscovery::new();
    let pooler = PoolerProcess::start(&PoolerConfig::new(&discovery, vec![slow.entry("up", "replica")]));
    let watch = discovery.accept_watch();
    let mut first = Client::connect(&pooler);
    first.send_query(&read_statement("1"));
    // The update has been applied once a request reaches the endpoint that it adds.
    watch.send(delta(42, vec![slow.entry("draining", ""), other.entry("up", "")]));
    let mut waiting = Vec::new();
    while other.statements().is_empty() {
        let mut client = Client::connect(&pooler);
        client.send_query(&read_statement(&format!("2-{}", waiting.len())));
        client.stream.socket.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
        let _ = client.stream.socket.peek(&mut [0]);
        waiting.push(client);
    }
    gate.open();
    assert_eq!(first.read_response().text(), Some("s-2"));
    assert_eq!(slow.statements(), [""; 0], "no request may be sent once the endpoint drains");
}

#[test]
fn with_soft_removal_only_a_drain_stops_new_requests() {
    let (kept, drained) = (FakeServer::answering("s-1", "replica"), FakeServer::answering("s-2", "replica"));
    let discovery = FakeDiscovery::new();
    let entries = vec![kept.entry("up", "replica"), drained.entry("up", "replica")];
    let config = PoolerConfig::new(&discovery, entries).with_rule("SoftRemoval", true);
    let pooler = PoolerProcess::start(&config);
    let watch = discovery.accept_watch();
    watch.send(delta(42, vec![drained.entry("draining", "replica")]));
    let removed = vec![drained.entry("removed", "replica"), kept.entry("removed", "replica")];
    watch.send(delta(43, removed));
    watch.end();
    let resumed = discovery.accept_watch().request_line;
    assert!(resumed.contains("since=43"), "both updates must be applied: {resumed}");
    let mut client = Client::connect(&pooler);
    for index in 0..20 {
        let response = client.query(&read_statement(&index.to_string()));
        assert_eq!(response.text(), Some("s-1"), "{index}: {response:?}");
    }
    assert_eq!(drained.statements(), [""; 0]);
}

/// The time after a watch fell silent within which the pooler must apply the updates that the watch missed.
const SILENT_WATCH_LIMIT: Duration = Duration::from_secs(6);

#[test]
fn a_watch_that_falls_silent_twice_in_a_row_is_reopened_within_the_limit() {
    let (server, draining) =
        (FakeServer::answering("s-1", "replica"), FakeServer::answering("s-2", "replica"));
    let discovery = FakeDiscovery::new();
    let entries = vec![server.entry("up", "replica"), draining.entry("up", "replica")];
    let pooler = PoolerProcess::start(&PoolerConfig::new(&discovery, entries));
    let first = discovery.accept_watch();
    first.send(delta(42, Vec::new()));
    let silent_since = Instant::now();
    // The second watch sends nothing at all; the third one sends an update.
    let second = discovery.accept_watch();
    let third = discovery.accept_watch();
    assert!(third.request_line.contains("since=42"), "{}", third.request_line);
    third.send(delta(43, vec![draining.entry("draining", "replica")]));
    assert!(silent_since.elapsed() < SILENT_WATCH_LIMIT, "{:?}", silent_since.elapsed());
    let mut client = Client::connect(&pooler);
    // The first request may go to the draining endpoint before the update is applied; the drain grace allows
    // that.
    client.query(&read_statement("0"));
    let sent = draining.statements().len();
    for index in 1..30 {
        assert_eq!(client.query(&read_statement(&index.to_string())).text(), Some("s-1"));
    }
    assert_eq!(draining.statements().len(), sent);
    drop((first, second));
}

#[test]
fn an_endpoint_that_moved_receives_nothing_at_its_old_address() {
    let (before, after) = (FakeServer::answering("s-1", "replica"), FakeServer::answering("s-1", "replica"));
    let discovery = FakeDiscovery::new();
    let pooler = PoolerProcess::start(&PoolerConfig::new(&discovery, vec![before.entry("up", "replica")]));
    let watch = discovery.accept_watch();
    let mut client = Client::connect(&pooler);
    for index in 0..5 {
        assert!(client.query(&read_statement(&index.to_string())).value.is_some());
    }
    watch.send(delta(42, vec![after.entry("up", "replica")]));
    watch.end();
    let resumed = discovery.accept_watch().request_line;
    assert!(resumed.contains("since=42"), "the update must be applied: {resumed}");
    let sent = before.statements().len();
    for index in 5..15 {
        assert!(client.query(&read_statement(&index.to_string())).value.is_some());
    }
    let received = (before.statements().len(), after.statements().len());
    assert_eq!(received, (sent, 10), "pooled connections to the old address must not be used");
}

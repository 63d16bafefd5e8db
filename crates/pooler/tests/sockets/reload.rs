//! Reloads of the configuration.

use crate::support::*;
use std::time::{Duration, Instant};

#[test]
fn a_reload_moves_the_watch_and_an_invalid_configuration_changes_nothing() {
    let (gate, busy_server) = FakeServer::with_gated_responses("s-1");
    let (added, dropped) = (FakeServer::answering("s-2", "replica"), FakeServer::answering("s-3", "replica"));
    let (old, new) = (FakeDiscovery::new(), FakeDiscovery::new());
    let mut pooler = PoolerProcess::start(&PoolerConfig::new(&old, vec![busy_server.entry("up", "replica")]));
    let _silent = old.accept_watch();
    let mut busy = Client::connect(&pooler);
    busy.send_query(&read_statement("1"));
    busy_server.wait_for_statement();
    for invalid in ["", "{\"discovery\": 7}"] {
        pooler.write_configuration(invalid);
        pooler.signal(Signal::Reload);
        pooler.wait_for_log("configuration kept as it was: ");
    }
    // The old discovery service would stay silent for seconds more. The watch of the new one starts at the
    // known generation.
    pooler.write_configuration(&PoolerConfig::new(&new, Vec::new()).to_string());
    pooler.signal(Signal::Reload);
    pooler.wait_for_log("configuration read again");
    let watch = new.accept_watch();
    assert!(watch.request_line.contains("since=41"), "{}", watch.request_line);
    gate.open();
    assert_eq!(busy.read_response().text(), Some("s-1"), "the request in flight must be served");
    // The snapshot of the new service replaces the endpoints known before; a delta follows.
    watch.send(snapshot(7, vec![dropped.entry("up", "replica")]));
    watch.send(delta(8, vec![added.entry("up", "replica"), dropped.entry("draining", "")]));
    let mut client = Client::connect(&pooler);
    while client.query(&read_statement("2")).text() != Some("s-2") {}
    let before = busy_server.statements().len();
    for _ in 0..20 {
        assert_eq!(client.query(&read_statement("3")).text(), Some("s-2"));
    }
    assert_eq!(busy_server.statements().len(), before, "a removed endpoint must get no new request");
    assert!(pooler.counters().contains(" config_reloads=1 "));
    drop((busy, client));
    pooler.signal(Signal::Terminate);
    assert!(pooler.wait().success());
}

/// What discovery has to tell takes effect this long after a reload, and with the grace of a drain no more requests
/// are sent then.
const RELOAD_LIMIT: Duration = Duration::from_secs(4);
const DRAIN_GRACE: Duration = Duration::from_millis(250);

#[test]
fn a_discovery_service_that_answers_late_is_heard() {
    // Guards against calls that are all given up shortly before their answer, so that a drain is never heard of.
    for mode in ["push", "ask"] {
        let (kept, drained) =
            (FakeServer::answering("s-1", "replica"), FakeServer::answering("s-2", "replica"));
        let (old, slow) = (FakeDiscovery::new(), FakeDiscovery::slow(Duration::from_secs(3)));
        let entries = vec![kept.entry("up", "replica"), drained.entry("up", "replica")];
        let config =
            |discovery| PoolerConfig::new(discovery, entries.clone()).with("/settings/Discovery", mode);
        let pooler = PoolerProcess::start(&config(&old));
        let _old_watch = old.accept_watch();
        pooler.write_configuration(&config(&slow).to_string());
        pooler.signal(Signal::Reload);
        let reloaded_at = Instant::now();
        let watch = slow.accept_watch();
        watch.send(delta(42, vec![drained.entry("draining", "replica")]));
        std::thread::sleep((RELOAD_LIMIT + DRAIN_GRACE).saturating_sub(reloaded_at.elapsed()));
        let sent = drained.statements().len();
        let mut client = Client::connect(&pooler);
        for number in 0..30 {
            let response = client.query(&read_statement(&number.to_string()));
            assert_eq!(response.text(), Some("s-1"), "{mode}: {number}: {response:?}");
        }
        assert_eq!(drained.statements().len(), sent, "{mode}: a draining endpoint must get no new request");
    }
}

#[test]
fn rapid_reloads_apply_the_last_configuration() {
    let server = FakeServer::answering("s-1", "replica");
    let discoveries = [FakeDiscovery::new(), FakeDiscovery::new(), FakeDiscovery::new()];
    let config =
        |discovery: &FakeDiscovery| PoolerConfig::new(discovery, vec![server.entry("up", "replica")]);
    let pooler = PoolerProcess::start(&config(&discoveries[0]));
    let _first = discoveries[0].accept_watch();
    for index in [1, 2, 0, 1, 2] {
        pooler.write_configuration(&config(&discoveries[index]).to_string());
        pooler.signal(Signal::Reload);
    }
    let reloaded_at = Instant::now();
    let drained_after = loop {
        let watch = discoveries[2].accept_watch();
        watch.send(delta(42, vec![server.entry("draining", "replica")]));
        let mut client = Client::connect(&pooler);
        let rejected = (0..50).any(|id| {
            std::thread::sleep(Duration::from_millis(10));
            client.query(&with_deadline(&read_statement(&id.to_string()), 50)).value.is_none()
        });
        if rejected {
            break reloaded_at.elapsed();
        }
    };
    assert!(
        drained_after.as_millis() < 4_000,
        "the last configuration must be applied within 4 s of the last signal: {drained_after:?}"
    );
}

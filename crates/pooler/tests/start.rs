//! Startup and reload while the listen address is briefly in use or the configuration file is incomplete.

mod support;

use std::net::TcpListener;
use std::time::Duration;
use support::*;

/// How long the listen address stays in use after the pooler's start, as if a previous process still held it.
const ADDRESS_IN_USE: Duration = Duration::from_millis(700);
/// From this time after SIGHUP on, the updates of a newly configured discovery service must take effect.
const RELOAD_TIME_LIMIT: Duration = Duration::from_secs(4);

#[test]
fn startup_waits_for_an_address_that_is_still_in_use() {
    let server = FakeServer::answering("s-1", "replica");
    let occupying_listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = occupying_listener.local_addr().unwrap();
    let release = std::thread::spawn(move || {
        std::thread::sleep(ADDRESS_IN_USE);
        drop(occupying_listener);
    });
    let pooler =
        PoolerProcess::with_server(&server, "replica", |config| config.with("/listen", address.to_string()));
    release.join().unwrap();
    assert_eq!(pooler.address, address);
    assert_eq!(Client::connect(&pooler).query(&read_statement("1")).text(), Some("s-1"));
}

#[test]
fn a_configuration_read_while_it_is_being_written_is_read_again() {
    let server = FakeServer::answering("s-1", "replica");
    let (before, after) = (FakeDiscovery::new(), FakeDiscovery::new());
    let config =
        |discovery: &FakeDiscovery| PoolerConfig::new(discovery, vec![server.entry("up", "replica")]);
    let pooler = PoolerProcess::start(&config(&before));
    before.accept_watch();
    let text = config(&after).to_string();
    pooler.write_configuration(&text[..text.len() / 2]);
    pooler.signal(Signal::Reload);
    pooler.wait_for_log("configuration kept as it was");
    // The rest of the file is written after the signal, without a further signal.
    pooler.write_configuration(&text);
    let watch = after.accept_watch_within(RELOAD_TIME_LIMIT);
    assert!(watch.is_some(), "no watch at the new discovery address within the time limit of a reload");
}

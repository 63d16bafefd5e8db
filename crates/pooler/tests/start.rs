//! The start of the pooler, while something that it needs is not to be had for a moment.

mod support;

use std::net::TcpListener;
use std::time::Duration;
use support::*;

/// How long the process of an earlier start still holds the address.
const ADDRESS_HELD: Duration = Duration::from_millis(700);
/// A change that discovery sends must count so long after SIGHUP.
const RELOAD_LIMIT: Duration = Duration::from_secs(4);

#[test]
fn startup_waits_for_an_address_that_is_still_in_use() {
    let server = FakeServer::answering("s-1", "replica");
    let holder = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = holder.local_addr().unwrap();
    let release = std::thread::spawn(move || {
        std::thread::sleep(ADDRESS_HELD);
        drop(holder);
    });
    let pooler =
        PoolerProcess::with_server(&server, "replica", |config| config.with("/listen", address.to_string()));
    release.join().unwrap();
    assert_eq!(pooler.address, address);
    assert_eq!(Client::connect(&pooler).query(&read_statement("1")).text(), Some("s-1"));
}

#[test]
fn a_configuration_that_was_read_while_being_written_is_read_again() {
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
    // The rest of it comes a moment after the signal, and no further signal does.
    pooler.write_configuration(&text);
    let watch = after.accept_watch_within(RELOAD_LIMIT);
    assert!(
        watch.is_some(),
        "discovery is watched at its new address within the time after which changes must count"
    );
}

//! The start of the pooler, while something that it needs is not to be had for a moment.

mod peers;

use peers::*;
use serde_json::{Value, json};
use std::net::TcpListener;
use std::time::Duration;

/// How long the process of an earlier start still holds the address.
const HELD: Duration = Duration::from_millis(700);
/// What discovery has to tell counts as told so long after SIGHUP.
const TOLD_AFTER: Duration = Duration::from_secs(4);

#[test]
fn an_address_that_is_still_held_is_waited_for() {
    let server = plain("s-1", "replica");
    let discovery = Discovery::new();
    let holder = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = holder.local_addr().unwrap();
    let mut text: Value =
        serde_json::from_str(&config(&discovery, vec![server.entry("up", "replica")], 1_024)).unwrap();
    text["listen"] = json!(address.to_string());
    let release = std::thread::spawn(move || {
        std::thread::sleep(HELD);
        drop(holder);
    });
    let pooler = Pooler::on(&text.to_string());
    release.join().unwrap();
    assert_eq!(pooler.address, address);
    assert_eq!(Client::connect(&pooler).ask(&menu("1")).value.as_deref(), Some(&b"s-1"[..]));
}

#[test]
fn a_new_configuration_that_is_written_while_it_is_read_is_read_again() {
    let server = plain("s-1", "replica");
    let (before, after) = (Discovery::new(), Discovery::new());
    let entries = || vec![server.entry("up", "replica")];
    let pooler = Pooler::new(&before, entries());
    before.watch();
    let text = config(&after, entries(), 1_024);
    pooler.configure(&text[..text.len() / 2]);
    pooler.signal("HUP");
    pooler.logged("configuration kept as it was");
    // The rest of it comes a moment after the signal, and no further signal does.
    pooler.configure(&text);
    let watch = after.watches.recv_timeout(TOLD_AFTER);
    assert!(
        watch.is_ok(),
        "discovery is followed at its new address within the time after which changes count as told"
    );
}

//! The start of the pooler, while something that it needs is not to be had for a moment.

mod peers;

use peers::*;
use serde_json::{Value, json};
use std::net::TcpListener;
use std::time::Duration;

/// How long the process of an earlier start still holds the address.
const HELD: Duration = Duration::from_millis(700);

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

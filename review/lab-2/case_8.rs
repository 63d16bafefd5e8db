//! A new configuration moves discovery to a service that is slow, and a data server begins to drain.

use crate::common::*;
use crate::discovery::Discovery;
use crate::load::*;
use crate::say;
use crate::world::*;
use std::io;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long the slow service takes to answer a call.
const SLOW: Duration = Duration::from_secs(3);
/// What discovery has to tell counts as told this long after SIGHUP.
const TOLD_AFTER: i64 = 4_000_000;
/// A change counts as told at the latest this long after discovery had it and could be reached.
const SILENCE: i64 = 6_000_000;
/// The grace of a drain in the settings, and the slack of all time limits on sockets.
const GRACE: i64 = 500_000 + 50_000;

pub fn run(root: &str) -> io::Result<Vec<String>> {
    let history = Arc::new(History::default());
    let settings = Arc::new(Mutex::new(Settings::default()));
    let servers = start_group(1, 5, &settings, &history)?;
    let discovery = Discovery::start(41, list_of(&servers))?;
    let folder = Folder::new()?;
    let listen = free_address()?;
    let mut configuration = Configuration::new(listen, discovery.address, 41, list_of(&servers));
    configuration.discovery_mode = "ask";
    let mut pooler = Pooler::start(root, &folder, "n1", &configuration.json())?;
    pooler.wait_ready(listen)?;
    let load = Arc::new(Load::new(listen, vec![1]));
    let clients = start_clients(&load, 30);
    sleep_ms(3000);
    // The same list under another address.
    let moved = discovery.move_away()?;
    if trouble() {
        discovery.set_answer_delay(SLOW);
    }
    configuration.discovery = moved.address.to_string();
    pooler.replace_configuration(&folder, &configuration.json())?;
    pooler.signal(SIGHUP);
    let signalled = now_us();
    say!("SIGHUP, discovery is now at {}", moved.address);
    // The old address closes the open watches after 1.5 s.
    sleep_ms(1500);
    discovery.end_watches_of(discovery.address);
    sleep_ms(500);
    let draining = &servers[0];
    let drained = now_us();
    let generation = discovery.change(&[draining.entry("draining", 0, "replica")]);
    sleep_ms(12_000);
    load.stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    if pooler.has_exited() {
        return Ok(vec!["the pooler has crashed".to_owned()]);
    }
    let told = signalled + TOLD_AFTER;
    match discovery.written_at(generation) {
        Some(at) => {
            conclude(&format!("the drain was written to the pooler {} ms after SIGHUP", ms(at - signalled)))
        }
        None => conclude("the drain was never written to the pooler, since it gave up each call before"),
    }
    let attempts = lock(&history.attempts);
    let late = attempts
        .iter()
        .filter(|attempt| attempt.server == draining.id && attempt.first_byte_at > told + GRACE);
    let by_both = late.clone().filter(|attempt| attempt.first_byte_at > drained + SILENCE + GRACE).count();
    conclude(&format!(
        "{by_both} sends also later than the other clock allows, 6 s after discovery had the drain"
    ));
    Ok(late
        .map(|attempt| {
            format!(
                "{} {} was sent to {}, which drains, {} ms after the drain was told",
                attempt.id,
                attempt.class,
                attempt.server,
                ms(attempt.first_byte_at - told)
            )
        })
        .collect())
}

fn ms(micros: i64) -> i64 {
    micros / 1000
}

//! Bad clients that stop in the middle of a command, and the pooler's memory limit.

use crate::common::*;
use crate::discovery::Discovery;
use crate::load::*;
use crate::say;
use crate::world::*;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Barrier, Mutex};
use std::time::{Duration, Instant};

/// The limits of the pooler in all three reports of the operators.
const MEMORY_MB: usize = 48;
const SOCKETS: usize = 384;
const USUAL_CLIENTS: usize = 10;
const BAD_CLIENTS: usize = 190;
/// The length in bytes of the value in a bad client's command: the largest that the pages allow.
const VALUE: usize = 64 * 1024;
/// How many bytes of its command a bad client does not send.
const MISSING: usize = 20;

pub fn run(root: &str) -> io::Result<Vec<String>> {
    let history = Arc::new(History::default());
    let settings = Arc::new(Mutex::new(Settings::default()));
    let servers = start_group(1, 5, &settings, &history)?;
    let discovery = Discovery::start(41, list_of(&servers))?;
    let folder = Folder::new()?;
    let listen = free_address()?;
    let mut configuration = Configuration::new(listen, discovery.address, 41, list_of(&servers));
    configuration.memory_mb = MEMORY_MB;
    configuration.sockets = SOCKETS;
    let mut pooler = Pooler::start(root, &folder, "n1", &configuration.json())?;
    pooler.wait_ready(listen)?;
    if allocated_kb(pooler.id()) == 0 {
        return Err(io::Error::other("the system does not tell how much memory a process has allocated"));
    }
    let load = Arc::new(Load::new(listen, vec![1]));
    let clients = start_clients(&load, USUAL_CLIENTS);
    sleep_ms(2000);
    conclude(&format!("before the bad clients: {}", status(pooler.id())));
    if trouble() {
        let together = Arc::new(Barrier::new(BAD_CLIENTS));
        for number in 0..BAD_CLIENTS {
            let (load, together) = (load.clone(), together.clone());
            spawn(move || bad_client(number, listen, &load, &together))?;
        }
    }
    // The platform: it kills a pooler whose memory is over its limit. Only memory that the process itself
    // allocated is counted here, not its program, its libraries, or what the system holds for its sockets.
    let (mut peak, mut faults) = (0, Vec::new());
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(12) && !pooler.has_exited() {
        let used = allocated_kb(pooler.id());
        peak = peak.max(used);
        if used > MEMORY_MB as u64 * 1024 {
            conclude(&format!("over the limit: {}", status(pooler.id())));
            faults.push(format!("the pooler uses {used} kB of {MEMORY_MB} MB and is killed"));
            pooler.signal(SIGKILL);
            break;
        }
        sleep_ms(10);
    }
    if faults.is_empty() && pooler.has_exited() {
        faults.push("the pooler has crashed".to_owned());
    }
    conclude(&format!("most memory allocated: {peak} kB"));
    load.stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let requests = lock(&load.requests);
    let closed = requests.iter().filter(|request| request.answer == Answer::Closed).count();
    conclude(&format!("usual clients: {} requests, {closed} without an answer", requests.len()));
    if requests.len() < 50 {
        return Err(io::Error::other("the usual clients sent too little to judge"));
    }
    Ok(faults)
}

/// A client that asks once, then stops shortly before the end of its next command and stays; it does the same
/// again when it is turned away.
fn bad_client(number: usize, pooler: SocketAddr, load: &Load, together: &Barrier) {
    let value = "ab".repeat(VALUE);
    while !load.stop.load(Ordering::SeqCst) {
        together.wait();
        let Ok(mut client) = Client::connect(pooler) else { continue };
        let class = &load.classes[0];
        let first = statement(&load.new_id(), class, "bad", class.deadline_ms, 1);
        if client.send(&first).is_err() {
            continue;
        }
        let limit = Instant::now() + Duration::from_secs(1);
        let answer = client.answer(limit);
        let mut command = Vec::new();
        push_query(
            &mut command,
            &format!(
                "INSERT INTO kv (name, content) VALUES ('bad{number}', '\\x{value}') RETURNING content \
                 /* id={},c=place-order,d=3000,cluster=1 */",
                load.new_id()
            ),
        );
        let size = command.len();
        let written = client.messages.stream.write_all(&command[..size - MISSING]);
        let came = Instant::now();
        let end = client.answer(came + Duration::from_secs(6));
        say!(
            "bad client {number}: first {answer:?}, wrote {} of {size} bytes ({written:?}), then {end:?} \
             after {:?}",
            size - MISSING,
            came.elapsed()
        );
    }
}

fn process_status(process: u32) -> String {
    std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default()
}

fn status(process: u32) -> String {
    let text = process_status(process);
    let fields = ["VmRSS", "RssAnon", "RssFile", "RssShmem"];
    let lines = text.lines().filter(|line| fields.iter().any(|field| line.starts_with(field)));
    let lines: Vec<String> =
        lines.map(|line| line.split_whitespace().collect::<Vec<_>>().join(" ")).collect();
    lines.join(", ")
}

/// The memory that the process allocated, in kB.
fn allocated_kb(process: u32) -> u64 {
    let text = process_status(process);
    let line = text.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

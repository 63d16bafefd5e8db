//! Bad clients that send values of 60 MB at full speed, and requests on new connections.

use crate::common::*;
use crate::discovery::Discovery;
use crate::load::*;
use crate::say;
use crate::world::*;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const USUAL_CLIENTS: usize = 20;
const BAD_CLIENTS: usize = 300;
/// The size of a bad client's value.
const BAD_VALUE: usize = 60_000_000;
/// How long after its time a request may get its answer, and the slack of all time limits on sockets.
const SLACK_MS: f64 = 500.0 + 50.0;

#[derive(Default)]
struct Counts {
    requests: AtomicU64,
    answered: AtomicU64,
    refused: AtomicU64,
    closed: AtomicU64,
    bad_connections: AtomicU64,
}

pub fn run(root: &str) -> io::Result<Vec<String>> {
    let history = Arc::new(History::default());
    let settings = Arc::new(Mutex::new(Settings::default()));
    let servers = start_group(1, 5, &settings, &history)?;
    let discovery = Discovery::start(41, list_of(&servers))?;
    let folder = Folder::new()?;
    let listen = free_address()?;
    let configuration = Configuration::new(listen, discovery.address, 41, list_of(&servers));
    let mut pooler = Pooler::start(root, &folder, "n1", &configuration.json())?;
    pooler.wait_ready(listen)?;
    let load = Arc::new(Load::new(listen, vec![1]));
    let (counts, faults) = (Arc::new(Counts::default()), Arc::new(Mutex::new(Vec::new())));
    let mut usual = Vec::new();
    for number in 0..USUAL_CLIENTS {
        let (load, counts, faults) = (load.clone(), counts.clone(), faults.clone());
        usual.push(spawn(move || usual_client(number, &load, &counts, &faults))?);
    }
    sleep_ms(2000);
    if trouble() {
        say!("the bad clients come");
        for _ in 0..BAD_CLIENTS {
            let (load, counts) = (load.clone(), counts.clone());
            spawn(move || bad_client(listen, &load, &counts))?;
        }
    }
    sleep_ms(15_000);
    load.stop.store(true, Ordering::SeqCst);
    for client in usual {
        let _ = client.join();
    }
    let count = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
    conclude(&format!(
        "usual clients: {} requests, {} answered, {} of them refused, {} closed unread; bad clients: {} connections",
        count(&counts.requests),
        count(&counts.answered),
        count(&counts.refused),
        count(&counts.closed),
        count(&counts.bad_connections)
    ));
    if count(&counts.requests) < 100 {
        return Err(io::Error::other("the usual clients sent too little to judge"));
    }
    let mut faults = lock(&faults).clone();
    if pooler.has_exited() {
        faults.push("the pooler has crashed".to_owned());
    }
    Ok(faults)
}

/// A client that sends each request on a new connection, directly after the startup message, and gives up
/// half a second after the request's time.
fn usual_client(number: usize, load: &Load, counts: &Counts, faults: &Mutex<Vec<String>>) {
    while !load.stop.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_secs_f64(rand_range(0.0, 0.3)));
        let class = load.pick_class();
        let d_ms = (class.deadline_ms * rand_range(0.4, 1.0)).round();
        let id = load.new_id();
        let Ok(stream) = TcpStream::connect_timeout(&load.target, Duration::from_secs(2)) else { continue };
        let mut client = Client { messages: Messages::new(stream) };
        let mut out = startup_message();
        push_query(&mut out, &statement(&id, class, &format!("usual{number}"), d_ms, 1));
        if client.messages.stream.write_all(&out).is_err() {
            continue;
        }
        let sent = Instant::now();
        let limit = sent + Duration::from_secs_f64((d_ms + SLACK_MS) / 1000.0);
        // The first ReadyForQuery ends the startup, the next one the answer.
        let welcome = client.answer(limit);
        let answer = if welcome == Answer::Closed && Instant::now() < limit && client.is_open() {
            client.answer(limit)
        } else {
            welcome
        };
        let took = sent.elapsed().as_secs_f64() * 1000.0;
        say!("usual {id} {} d={d_ms} after {took:.1} ms: {answer:?}", class.name);
        counts.requests.fetch_add(1, Ordering::SeqCst);
        match answer {
            Answer::Silent => lock(faults).push(format!(
                "{id} {} with {d_ms} ms: no answer {took:.0} ms after it was sent",
                class.name
            )),
            Answer::Closed => {
                counts.closed.fetch_add(1, Ordering::SeqCst);
            }
            answer => {
                counts.answered.fetch_add(1, Ordering::SeqCst);
                if matches!(answer, Answer::Refused(_)) {
                    counts.refused.fetch_add(1, Ordering::SeqCst);
                }
            }
        }
    }
}

/// A client that sends a command of 60 MB at full speed, reads what it is sent, and does the same again when
/// it is turned away.
fn bad_client(pooler: SocketAddr, load: &Load, counts: &Counts) {
    let piece = vec![b'a'; 256 * 1024];
    while !load.stop.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect_timeout(&pooler, Duration::from_secs(3)) else { continue };
        counts.bad_connections.fetch_add(1, Ordering::SeqCst);
        let Ok(mut reader) = stream.try_clone() else { continue };
        let Ok(reading) = spawn(move || {
            let _ = reader.set_read_timeout(Some(Duration::from_secs(7)));
            let mut bytes = [0; 4096];
            while matches!(reader.read(&mut bytes), Ok(1..)) {}
        }) else {
            continue;
        };
        let mut head = startup_message();
        head.push(b'Q');
        head.extend_from_slice(&(BAD_VALUE as u32 + 4).to_be_bytes());
        let _ = stream.set_write_timeout(Some(Duration::from_secs(7)));
        let mut written = stream.write_all(&head);
        let mut left = BAD_VALUE;
        while left > 0 && written.is_ok() && !load.stop.load(Ordering::SeqCst) {
            let size = left.min(piece.len());
            written = stream.write_all(&piece[..size]);
            left -= size;
        }
        let _ = reading.join();
        say!(
            "bad client: wrote {} of {BAD_VALUE} bytes ({written:?}), then the connection ended",
            BAD_VALUE - left
        );
    }
}

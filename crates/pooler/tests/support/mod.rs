//! The built pooler as a process, with fake servers, fake discovery and clients on loopback sockets.
//!
//! Tests import all of this module, but each test binary uses only a part of it, hence the `allow` below.
#![allow(dead_code, unused_imports)]

mod client;
mod configuration;
mod fake_discovery;
mod fake_server;
mod flood;
mod gate;
mod message_stream;
mod pooler_process;
mod statements;

pub use client::{Client, Response};
pub use configuration::PoolerConfig;
pub use fake_discovery::{CHUNKED_RESPONSE_HEAD, FakeDiscovery, Watch, delta, snapshot};
pub use fake_server::{AfterStatement, FakeServer};
pub use flood::{FloodingClient, flood};
pub use gate::{Gate, GateWaiter};
pub use message_stream::MessageStream;
pub use pooler_process::{PoolerProcess, Signal, allocated_kib, spawn_pooler};
pub use statements::{
    BEYOND_READ_AHEAD_BYTES, DEADLINE_FIELD, query_bytes, read_statement, startup_bytes, with_deadline,
    write_statement,
};

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Timeout of each step, longer than any step takes: it only keeps a broken test from hanging.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(30);

/// The log position that fake servers report if the test doesn't depend on it, in Unix milliseconds.
pub const ANY_POSITION_MS: &str = "1767225600123";

/// The time since the Unix epoch.
pub fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap()
}

/// Listens on a free loopback port, and starts a thread that calls `on_accept` with each accepted connection.
fn listen(mut on_accept: impl FnMut(TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            on_accept(stream.unwrap());
        }
    });
    address
}

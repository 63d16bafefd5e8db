//! Fake peers on loopback sockets around the built pooler; tests import all of it.
//!
//! Each test binary uses a part of it only.
#![allow(dead_code, unused_imports)]

mod client;
mod configuration;
mod fake_discovery;
mod fake_server;
mod gate;
mod message_stream;
mod pooler_process;
mod statements;

pub use client::{Client, Response};
pub use configuration::PoolerConfig;
pub use fake_discovery::{FakeDiscovery, Watch, delta, snapshot};
pub use fake_server::{AfterStatement, FakeServer};
pub use gate::{Gate, GateWaiter};
pub use message_stream::MessageStream;
pub use pooler_process::{PoolerProcess, Signal, spawn_pooler};
pub use statements::{
    DEADLINE_FIELD, FAR_AHEAD, query_bytes, read_statement, startup_bytes, with_deadline, write_statement,
};

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// No step of a test takes this long; it only keeps a broken one from hanging.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// The log position that fake servers report where none matters, in Unix milliseconds.
pub const ANY_POSITION_MS: &str = "1767225600123";

/// The time since the Unix epoch.
pub fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap()
}

/// Listens on a free loopback port and hands each accepted connection to `on_accept`, on a thread of its own.
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

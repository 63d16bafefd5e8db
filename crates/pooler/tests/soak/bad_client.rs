//! Clients that send no request that can be served, and stay. They are owed an error or a close.

use crate::history::SharedHistory;
use crate::random::SharedRandom;
use crate::support::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// A bad client is owed an error or a close within this time of connecting.
const ERROR_LIMIT: Duration = Duration::from_secs(3);
/// The interval at which a client looks whether the run has ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The size of the statement of which all but the end is sent, in bytes.
const LARGE_STATEMENT: usize = 130_000;

/// A client that misbehaves on one connection after another until the run ends.
pub struct BadClient {
    pub address: SocketAddr,
    pub random: SharedRandom,
    /// Added to the time limits of the rules.
    pub slack: Duration,
    pub ended: Arc<AtomicBool>,
    pub history: SharedHistory,
}

impl BadClient {
    pub fn run(self) {
        while !self.ended.load(Ordering::Relaxed) {
            let Ok(socket) = TcpStream::connect(self.address) else { return };
            let connected_at = Instant::now();
            let (bytes, is_owed_error) = self.opening();
            let is_answered = self.wait_for_error_or_close(socket, &bytes, is_owed_error);
            let took = connected_at.elapsed();
            if (is_answered && took > ERROR_LIMIT + self.slack) && !self.ended.load(Ordering::Relaxed) {
                let message = format!("a bad client had neither an error nor a close for {took:?}");
                self.history.lock().unwrap().violations.push(message);
            }
        }
    }

    /// What the client sends, and whether its session starts, so that it is owed an error beside a close.
    fn opening(&self) -> (Vec<u8>, bool) {
        let large = query_bytes([" ".repeat(LARGE_STATEMENT)]);
        match self.random.below(5) {
            0 => (Vec::new(), false),
            1 => (startup_bytes(b"")[..10].to_vec(), false),
            2 => (startup_bytes(b"Q\xff\xff\xff\xff"), true),
            3 => (startup_bytes(&[query_bytes([""; 200]), large[..LARGE_STATEMENT].to_vec()].concat()), true),
            _ => (startup_bytes(&large[..LARGE_STATEMENT]), true),
        }
    }

    /// Sends bytes and waits for an ErrorResponse or the end of the connection. Returns false if the run ended
    /// before.
    fn wait_for_error_or_close(&self, mut socket: TcpStream, bytes: &[u8], is_owed_error: bool) -> bool {
        socket.set_read_timeout(Some(CHECK_INTERVAL)).unwrap();
        let _ = socket.write_all(bytes);
        let mut received = Vec::new();
        let mut buffer = [0; 4096];
        while !self.ended.load(Ordering::Relaxed) {
            match socket.read(&mut buffer) {
                Ok(0) => return true,
                Ok(count) => received.extend_from_slice(&buffer[..count]),
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
                Err(_) => return true,
            }
            if is_owed_error && received.windows(8).any(|window| window == b"SFATAL\0V") {
                return true;
            }
        }
        false
    }
}

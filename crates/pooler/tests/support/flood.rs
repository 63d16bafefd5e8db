//! Peers that send at full speed.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The size of one write of a flood, in bytes.
const WRITE_SIZE: usize = 64 * 1024;
/// A flood ends after this time, so that a pooler that serves nobody else meanwhile still ends the test.
const MAX_FLOOD_TIME: Duration = Duration::from_secs(6);

/// A client that sends a message at full speed and reads whatever it is sent. It connects again when its
/// connection ends. Dropping it ends the flood.
pub struct FloodingClient {
    stop: Arc<AtomicBool>,
    sender: Option<JoinHandle<()>>,
}

impl FloodingClient {
    /// Starts a client that sends `opening` on each new connection, and then repeats `message`.
    pub fn start(address: SocketAddr, opening: &[u8], message: &[u8]) -> Self {
        let (opening, message) = (opening.to_vec(), message.to_vec());
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let sender = std::thread::spawn(move || {
            let end = Instant::now() + MAX_FLOOD_TIME;
            let goes_on = || !stopped.load(Ordering::Relaxed) && Instant::now() < end;
            while goes_on() {
                // The pooler under test may have ended.
                let Ok(mut socket) = TcpStream::connect(address) else { return };
                let receiver = socket.try_clone().unwrap();
                std::thread::spawn(move || discard_input(receiver));
                let _ = socket.write_all(&opening);
                write_repeatedly(socket, &message, goes_on);
            }
        });
        Self { stop, sender: Some(sender) }
    }
}

impl Drop for FloodingClient {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(sender) = self.sender.take() {
            let _ = sender.join();
        }
    }
}

/// Repeats `message` at full speed until the other side closes the connection, at most for
/// [`MAX_FLOOD_TIME`].
pub fn flood(socket: &TcpStream, message: &[u8]) {
    let end = Instant::now() + MAX_FLOOD_TIME;
    write_repeatedly(socket.try_clone().unwrap(), message, || Instant::now() < end);
}

fn write_repeatedly(mut socket: TcpStream, message: &[u8], goes_on: impl Fn() -> bool) {
    let bytes = message.repeat(WRITE_SIZE.div_ceil(message.len()));
    socket.set_write_timeout(Some(MAX_FLOOD_TIME)).unwrap();
    while goes_on() && socket.write_all(&bytes).is_ok() {}
    let _ = socket.shutdown(std::net::Shutdown::Both);
}

fn discard_input(mut socket: TcpStream) {
    let mut bytes = vec![0; WRITE_SIZE];
    while matches!(socket.read(&mut bytes), Ok(1..)) {}
}

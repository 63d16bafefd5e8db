//! Clients that go on asking for as long as their connections last, and check each response.

use crate::history::{ClientRequest, SharedHistory};
use crate::random::SharedRandom;
use crate::support::*;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// A final response may come so long after the deadline.
const RESPONSE_AFTER_DEADLINE: Duration = Duration::from_millis(500);
/// A close that comes this soon after a request has crossed it.
const CROSSING: Duration = Duration::from_millis(60);
/// The requests that a client writes at once when it pipelines.
const PIPELINED: usize = 6;

/// One client's life: it asks on its connection for as long as that lasts, and comes back while it may.
pub struct LoadClient {
    pub name: String,
    pub address: SocketAddr,
    pub random: SharedRandom,
    pub deadline_ms: u64,
    /// Whether connections may be asked to make room for others.
    pub at_connection_limit: bool,
    pub slack: Duration,
    pub stop: Arc<AtomicBool>,
    /// While set, it keeps its connection and asks nothing.
    pub quiet: Arc<AtomicBool>,
    pub history: SharedHistory,
    pub requests_sent: u64,
}

struct Statement {
    id: String,
    text: String,
}

impl LoadClient {
    pub fn run(mut self) {
        while !self.stop.load(Ordering::Relaxed) {
            let Ok(socket) = TcpStream::connect(self.address) else { return };
            let mut client = Client::over(socket, "");
            // The welcome, and the response to the empty query.
            if !(client.read_response().is_ready() && client.read_response().is_ready()) {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            }
            while !self.stop.load(Ordering::Relaxed) && self.take_turn(&mut client) {
                std::thread::sleep(Duration::from_millis(self.random.below(8)));
                while self.quiet.load(Ordering::Relaxed) {
                    std::thread::sleep(Duration::from_millis(5));
                }
            }
        }
    }

    fn next_statement(&mut self) -> Statement {
        self.requests_sent += 1;
        let id = format!("{}-{}", self.name, self.requests_sent);
        let wait = self.deadline_ms / 4 + self.random.below(self.deadline_ms * 3 / 4);
        let comment = |class: &str| format!("/* id={id},c={class},d={wait},cluster=2 */");
        let text = match self.random.below(5) {
            0 => format!(
                "INSERT INTO kv (name, content) VALUES ('{}', '\\x01') RETURNING content {}",
                self.name,
                comment("top-up")
            ),
            1 => format!("SELECT content FROM kv WHERE name = '{}' {}", self.name, comment("my-recent")),
            _ => format!("SELECT content FROM kv WHERE name = 'm' {}", comment("bundle-menu")),
        };
        let deadline = Duration::from_millis(wait);
        let request = ClientRequest { sent_at: Instant::now(), deadline, closed_at: None };
        self.history.lock().unwrap().requests.insert(id.clone(), request);
        Statement { id, text }
    }

    /// Sends one request or several, in one of several ways; false once the connection has ended.
    fn take_turn(&mut self, client: &mut Client) -> bool {
        let way = self.random.below(20);
        let count = if way == 0 { PIPELINED } else { 1 };
        let statements: Vec<Statement> = (0..count).map(|_| self.next_statement()).collect();
        let bytes = query_bytes(statements.iter().map(|statement| &statement.text));
        let first_id = &statements[0].id;
        if way == 1 {
            self.write_in_two_parts(client, &bytes, first_id);
        } else {
            client.stream.write_bytes(&bytes);
        }
        if way == 2 {
            std::thread::sleep(Duration::from_millis(self.random.below(30)));
            self.disconnect(client, first_id);
            return false;
        }
        statements.iter().all(|statement| self.check_response(client, &statement.id))
    }

    fn write_in_two_parts(&self, client: &mut Client, bytes: &[u8], id: &str) {
        let (first, second) = bytes.split_at(bytes.len() / 2);
        client.stream.write_bytes(first);
        std::thread::sleep(Duration::from_millis(self.random.below(30)));
        let _ = (&client.stream.socket).write_all(second);
        self.history.lock().unwrap().requests.get_mut(id).unwrap().sent_at = Instant::now();
    }

    fn disconnect(&self, client: &Client, id: &str) {
        let _ = client.stream.socket.shutdown(Shutdown::Both);
        self.history.lock().unwrap().requests.get_mut(id).unwrap().closed_at = Some(Instant::now());
    }

    /// Reads one response and checks it; false if the connection ended with it.
    fn check_response(&self, client: &mut Client, id: &str) -> bool {
        let begun = Instant::now();
        let response = client.read_response();
        let mut history = self.history.lock().unwrap();
        let ClientRequest { sent_at, deadline, .. } = history.requests[id];
        let took = sent_at.elapsed();
        if response.tags.is_empty() {
            let may_close = self.at_connection_limit || history.shutdown_at.is_some();
            if may_close && took <= CROSSING + self.slack {
                history.crossed_a_close += 1;
            } else {
                history.violations.push(format!("{id} lost: closed {took:?} after it was sent"));
            }
            return false;
        }
        let complete = response.is_ready() || response.sql_state.is_some();
        if !complete {
            history.violations.push(format!("{id} cut off: {response:?}"));
        }
        // Behind others on its connection it has its time from when they were answered.
        if begun.elapsed().min(took) > deadline + RESPONSE_AFTER_DEADLINE + self.slack {
            history.violations.push(format!("{id} late: {took:?} of {deadline:?}"));
        }
        if matches!(response.sql_state(), Some("53300" | "57P03")) {
            history.rejected.push(id.to_owned());
        }
        history.answered += 1;
        response.is_ready()
    }
}

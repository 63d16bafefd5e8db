//! Clients that keep sending requests while their connections last, and check each response.

use crate::history::{ClientRequest, SharedHistory};
use crate::random::SharedRandom;
use crate::support::*;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The time after a request's deadline within which its final response is still accepted.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);
/// While the pooler may close connections (at its connection limit or after SIGTERM), a request without a
/// response does not count as lost if its connection closed at most this time after the request was sent.
const CLOSE_RACE_WINDOW: Duration = Duration::from_millis(60);
/// The number of requests that a client writes at once when it pipelines.
const PIPELINE_DEPTH: usize = 6;

/// A client that sends requests on its connection for as long as that lasts, and connects again until the run
/// ends or the pooler accepts no connection.
pub struct LoadClient {
    /// The client's name, unique among the runs; request ids begin with it.
    pub name: String,
    pub address: SocketAddr,
    pub random: SharedRandom,
    /// Each request's deadline is at least a quarter of this, and below it.
    pub deadline_ms: u64,
    /// Whether the pooler runs at its connection limit, where it may evict this client.
    pub at_connection_limit: bool,
    /// Added to the time limits of the rules.
    pub slack: Duration,
    /// Once set, the client ends.
    pub ended: Arc<AtomicBool>,
    /// While set, the client keeps its connection and sends nothing.
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
        while !self.ended.load(Ordering::Relaxed) {
            let Ok(socket) = TcpStream::connect(self.address) else { return };
            let mut client = Client::on_socket(socket, "");
            // The end of the startup, then the response to the empty query.
            if !(client.read_response().is_ready() && client.read_response().is_ready()) {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            }
            while !self.ended.load(Ordering::Relaxed) && self.exchange(&mut client) {
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
        let deadline_ms = self.deadline_ms / 4 + self.random.below(self.deadline_ms * 3 / 4);
        let comment = |class: &str| format!("/* id={id},c={class},d={deadline_ms},cluster=2 */");
        let text = match self.random.below(5) {
            0 => format!(
                "INSERT INTO kv (name, content) VALUES ('{}', '\\x01') RETURNING content {}",
                self.name,
                comment("top-up")
            ),
            1 => format!("SELECT content FROM kv WHERE name = '{}' {}", self.name, comment("my-recent")),
            _ => format!("SELECT content FROM kv WHERE name = 'm' {}", comment("bundle-menu")),
        };
        let deadline = Duration::from_millis(deadline_ms);
        let request = ClientRequest { sent_at: Instant::now(), deadline, closed_at: None };
        self.history.lock().unwrap().requests.insert(id.clone(), request);
        Statement { id, text }
    }

    /// Sends one request or a pipeline of them and checks the responses. Some requests, picked at random, are
    /// written in two parts or are followed by a disconnect. False once the connection has ended.
    fn exchange(&mut self, client: &mut Client) -> bool {
        let variant = self.random.below(20);
        let count = if variant == 0 { PIPELINE_DEPTH } else { 1 };
        let statements: Vec<Statement> = (0..count).map(|_| self.next_statement()).collect();
        let bytes = query_bytes(statements.iter().map(|statement| &statement.text));
        let first_id = &statements[0].id;
        if variant == 1 {
            self.write_in_two_parts(client, &bytes, first_id);
        } else {
            client.stream.write_bytes(&bytes);
        }
        if variant == 2 {
            std::thread::sleep(Duration::from_millis(self.random.below(30)));
            self.disconnect(client, first_id);
            return false;
        }
        statements.iter().all(|statement| self.check_response(client, &statement.id))
    }

    /// Writes a request with a pause in it; the request counts as sent once its last byte is written.
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

    /// Reads one response and checks it; false once the connection has ended.
    fn check_response(&self, client: &mut Client, id: &str) -> bool {
        let waiting_since = Instant::now();
        let response = client.read_response();
        let mut history = self.history.lock().unwrap();
        let ClientRequest { sent_at, deadline, .. } = history.requests[id];
        let took = sent_at.elapsed();
        if response.tags.is_empty() {
            let may_close = self.at_connection_limit || history.shutdown_at.is_some();
            if may_close && took <= CLOSE_RACE_WINDOW + self.slack {
                history.sent_during_close += 1;
            } else {
                history.violations.push(format!("{id} lost: connection closed {took:?} after it was sent"));
            }
            return false;
        }
        let complete = response.is_ready() || response.sql_state.is_some();
        if !complete {
            history.violations.push(format!("{id} got an incomplete response: {response:?}"));
        }
        // The limit for a pipelined request counts from the response to the request before it.
        if waiting_since.elapsed().min(took) > deadline + RESPONSE_GRACE + self.slack {
            history.violations.push(format!("{id} answered late: after {took:?}, deadline {deadline:?}"));
        }
        if matches!(response.sql_state(), Some("53300" | "57P03")) {
            history.rejected.push(id.to_owned());
        }
        history.answered += 1;
        response.is_ready()
    }
}

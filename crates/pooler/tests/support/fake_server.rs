//! Fake PostgreSQL servers whose responses a test scripts.

use super::{ANY_POSITION_MS, Gate, MessageStream, listen};
use pooler_proxy::protocol;
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};

/// What a fake server does with a connection after a statement.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum AfterStatement {
    KeepOpen,
    Close,
}

/// A server that welcomes every connection and hands each statement to the test's script.
pub struct FakeServer {
    pub id: &'static str,
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<String>>>,
}

impl FakeServer {
    /// A server that answers each statement with `respond`, and empty queries by itself.
    pub fn new(
        id: &'static str,
        respond: impl Fn(&mut MessageStream, &str) -> AfterStatement + Send + Sync + 'static,
    ) -> Self {
        Self::with_accept_hook(id, || {}, respond)
    }

    /// One that calls `on_accept` before it welcomes a connection.
    pub fn with_accept_hook(
        id: &'static str,
        on_accept: impl Fn() + Send + Sync + 'static,
        respond: impl Fn(&mut MessageStream, &str) -> AfterStatement + Send + Sync + 'static,
    ) -> Self {
        Self::start(id, on_accept, move |stream, statement| {
            if statement.is_empty() {
                stream.write_empty_response();
                return AfterStatement::KeepOpen;
            }
            respond(stream, statement)
        })
    }

    /// One whose script gets the empty queries as well.
    pub fn with_empty_queries(
        id: &'static str,
        respond: impl Fn(&mut MessageStream, &str) -> AfterStatement + Send + Sync + 'static,
    ) -> Self {
        Self::start(id, || {}, respond)
    }

    /// A server that answers everything with its own id, in this role.
    pub fn answering(id: &'static str, role: &'static str) -> Self {
        Self::answering_after_accept_hook(id, role, || {})
    }

    fn answering_after_accept_hook(
        id: &'static str,
        role: &'static str,
        on_accept: impl Fn() + Send + Sync + 'static,
    ) -> Self {
        Self::with_accept_hook(id, on_accept, move |stream, statement| {
            if statement.starts_with("SHOW") {
                let is_primary = u8::from(role == "master");
                stream.write_load_report(&format!("x0=1767225600.1,x1={is_primary}"), role);
            } else {
                stream.write_row(id.as_bytes(), role, ANY_POSITION_MS);
            }
            AfterStatement::KeepOpen
        })
    }

    /// A server that answers every statement, health checks too, with this error.
    pub fn failing(id: &'static str, sql_state: &'static str, role: &'static str) -> Self {
        Self::new(id, move |stream, _| {
            stream.write_error(sql_state, role);
            AfterStatement::KeepOpen
        })
    }

    /// A replica that answers, with this value, once the gate is open.
    pub fn with_gated_responses(id: &'static str) -> (Gate, Self) {
        let (gate, waiter) = Gate::new();
        let server = Self::new(id, move |stream, _| {
            waiter.wait();
            stream.write_row(id.as_bytes(), "replica", ANY_POSITION_MS);
            AfterStatement::KeepOpen
        });
        (gate, server)
    }

    /// A replica that welcomes nobody until the gate is open: connections to it come up late.
    pub fn with_gated_accepts(id: &'static str) -> (Gate, Self) {
        let (gate, waiter) = Gate::new();
        let server = Self::answering_after_accept_hook(id, "replica", move || waiter.wait());
        (gate, server)
    }

    fn start(
        id: &'static str,
        on_accept: impl Fn() + Send + Sync + 'static,
        respond: impl Fn(&mut MessageStream, &str) -> AfterStatement + Send + Sync + 'static,
    ) -> Self {
        let received = Arc::new(Mutex::new(Vec::new()));
        let (log, on_accept, respond) = (received.clone(), Arc::new(on_accept), Arc::new(respond));
        let address = listen(move |socket| {
            let (log, on_accept, respond) = (log.clone(), on_accept.clone(), respond.clone());
            std::thread::spawn(move || serve(socket, &log, &*on_accept, &*respond));
        });
        Self { id, address, received }
    }

    /// The statements received so far, without health checks.
    pub fn statements(&self) -> Vec<String> {
        self.received.lock().unwrap().clone()
    }

    /// Waits until a first statement has arrived.
    pub fn wait_for_statement(&self) {
        while self.statements().is_empty() {
            std::thread::yield_now();
        }
    }

    /// Its entry in an endpoint update.
    pub fn entry(&self, lifecycle: &str, role: &str) -> Value {
        json!({"instanceId": self.id, "hostPort": self.address.to_string(), "zone": "adum",
               "machineType": "quad-std", "cell": 2, "lifecycle": lifecycle, "weight": 1.0,
               "startedAtMs": 0, "part": role, "unheardOf": [1]})
    }
}

/// Serves one connection until it ends or the script closes it.
fn serve(
    socket: TcpStream,
    received: &Mutex<Vec<String>>,
    on_accept: &impl Fn(),
    respond: &impl Fn(&mut MessageStream, &str) -> AfterStatement,
) {
    let mut stream = MessageStream::new(socket);
    if !stream.read_startup() {
        return;
    }
    on_accept();
    stream.write_welcome();
    while let Some((b'Q', body)) = stream.read_message() {
        let statement = protocol::parse_query(&body).unwrap();
        if !statement.is_empty() && !statement.starts_with("SHOW") {
            received.lock().unwrap().push(statement.to_owned());
        }
        if respond(&mut stream, statement) == AfterStatement::Close {
            return;
        }
    }
}

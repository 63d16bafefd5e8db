//! Fake PostgreSQL servers whose responses are defined by the test.

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

/// A server that accepts every connection and calls the test's `respond` function for each statement.
pub struct FakeServer {
    pub id: &'static str,
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<String>>>,
}

impl FakeServer {
    /// A server that calls `respond` for each statement but empty queries, which it answers itself.
    pub fn new(
        id: &'static str,
        respond: impl Fn(&mut MessageStream, &str) -> AfterStatement + Send + Sync + 'static,
    ) -> Self {
        Self::with_accept_hook(id, || {}, respond)
    }

    /// Like [`Self::new`], with `on_accept` called before each startup response.
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

    /// A server that calls `respond` for each statement, empty queries included.
    pub fn with_empty_queries(
        id: &'static str,
        respond: impl Fn(&mut MessageStream, &str) -> AfterStatement + Send + Sync + 'static,
    ) -> Self {
        Self::start(id, || {}, respond)
    }

    /// A server in this role that answers statements with its own id, and health checks with a load report.
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

    /// A server in this role that answers all statements and health checks with this error.
    pub fn failing(id: &'static str, sql_state: &'static str, role: &'static str) -> Self {
        Self::new(id, move |stream, _| {
            stream.write_error(sql_state, role);
            AfterStatement::KeepOpen
        })
    }

    /// A replica that answers statements and health checks with its own id, but only once the gate is open.
    pub fn with_gated_responses(id: &'static str) -> (Gate, Self) {
        let (gate, waiter) = Gate::new();
        let server = Self::new(id, move |stream, _| {
            waiter.wait();
            stream.write_row(id.as_bytes(), "replica", ANY_POSITION_MS);
            AfterStatement::KeepOpen
        });
        (gate, server)
    }

    /// A replica that sends no startup response, so that no connect completes, until the gate is open.
    pub fn with_gated_startup(id: &'static str) -> (Gate, Self) {
        let (gate, waiter) = Gate::new();
        let server = Self::answering_after_accept_hook(id, "replica", move || waiter.wait());
        (gate, server)
    }

    /// A server that calls `start_up` with each connection on which it has received a startup message, instead
    /// of serving the connection.
    pub fn with_startup(
        id: &'static str,
        start_up: impl Fn(&mut MessageStream) + Send + Sync + 'static,
    ) -> Self {
        let start_up = Arc::new(start_up);
        let address = listen(move |socket| {
            let start_up = start_up.clone();
            std::thread::spawn(move || {
                let mut stream = MessageStream::new(socket);
                if stream.read_startup() {
                    start_up(&mut stream);
                }
            });
        });
        Self { id, address, received: Arc::default() }
    }

    fn start(
        id: &'static str,
        on_accept: impl Fn() + Send + Sync + 'static,
        respond: impl Fn(&mut MessageStream, &str) -> AfterStatement + Send + Sync + 'static,
    ) -> Self {
        let received = Arc::new(Mutex::new(Vec::new()));
        let (statements, on_accept, respond) = (received.clone(), Arc::new(on_accept), Arc::new(respond));
        let address = listen(move |socket| {
            let (statements, on_accept, respond) = (statements.clone(), on_accept.clone(), respond.clone());
            std::thread::spawn(move || serve(socket, &statements, &*on_accept, &*respond));
        });
        Self { id, address, received }
    }

    /// The statements received so far, without health checks and empty queries.
    pub fn statements(&self) -> Vec<String> {
        self.received.lock().unwrap().clone()
    }

    /// Waits until the server has received a statement.
    pub fn wait_for_statement(&self) {
        while self.statements().is_empty() {
            std::thread::yield_now();
        }
    }

    /// An entry of a replica with this address, and with an id made of a number, in an endpoint update.
    pub fn numbered_entry(&self, number: usize, lifecycle: &str) -> Value {
        let mut entry = self.entry(lifecycle, "replica");
        entry["instanceId"] = format!("s-{number:08x}").into();
        entry
    }

    /// The server's entry in an endpoint update.
    pub fn entry(&self, lifecycle: &str, role: &str) -> Value {
        json!({"instanceId": self.id, "hostPort": self.address.to_string(), "zone": "adum",
               "machineType": "quad-std", "cell": 2, "lifecycle": lifecycle, "weight": 1.0,
               "startedAtMs": 0, "part": role, "unheardOf": [1]})
    }
}

/// Serves one connection, until the pooler closes it or `respond` returns [`AfterStatement::Close`].
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
    stream.write_startup_response();
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

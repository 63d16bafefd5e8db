//! A peer of the fake registry: an HTTP server with configurable lag and faults.

use super::behavior::ReadBehavior;
use super::encoding::{applications_json, applications_xml, decode_registration, hash_code, instance_json};
use super::http::{HttpRequest, HttpResponse};
use super::registrations::{Registration, Registrations, SERVER_APP, Snapshot};
use crate::history::{RegistrationVersion, SharedHistory};
use crate::lock;
use serde_json::{Value, json};
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a silent peer holds a connection open before it closes the connection.
const SILENT_HOLD_TIME: Duration = Duration::from_secs(60);
const BYTES_PER_MB: u32 = 1 << 20;

/// The requests that a peer has received.
#[derive(Clone, Debug, Default)]
pub struct ReceivedRequests {
    /// Full reads: lists of all instances or of one application, but no deltas.
    pub full_reads: u64,
    /// Reads of `/apps/delta`.
    pub delta_reads: u64,
    /// Requests that register, renew or deregister a lease: the method, the application and for `POST` and
    /// `PUT` the status, such as `POST POOLER UP`.
    pub lease_requests: Vec<String>,
}

impl ReceivedRequests {
    /// The number of full reads and delta reads together.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.full_reads + self.delta_reads
    }
}

#[derive(Clone, Debug)]
struct PeerConfig {
    behavior: ReadBehavior,
    lag: Duration,
    writes_xml: bool,
    gzip_enabled: bool,
}

/// The content of a response to a list read.
struct ListBody {
    registrations: Vec<Registration>,
    hash_code: String,
    /// Whether the absence of a deregistered instance tells the reader that the instance is gone.
    reports_absence: bool,
}

/// A peer of the fake registry. Clones share the same server.
#[derive(Clone)]
pub struct RegistryPeer {
    /// The loopback address on which the peer listens.
    pub address: SocketAddr,
    registrations: Registrations,
    history: SharedHistory,
    config: Arc<Mutex<PeerConfig>>,
    received: Arc<Mutex<ReceivedRequests>>,
}

impl RegistryPeer {
    /// Starts a peer for these registrations on a free loopback port. The peer records in the history which
    /// endpoint statuses it has sent.
    ///
    /// # Errors
    ///
    /// If the peer can't listen on a loopback port.
    pub fn start(registrations: &Registrations, history: &SharedHistory) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let config = PeerConfig {
            behavior: ReadBehavior::Normal,
            lag: Duration::ZERO,
            writes_xml: false,
            gzip_enabled: true,
        };
        let peer = Self {
            address: listener.local_addr()?,
            registrations: registrations.clone(),
            history: history.clone(),
            config: Arc::new(Mutex::new(config)),
            received: Arc::default(),
        };
        let acceptor = peer.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if lock(&acceptor.config).behavior == ReadBehavior::CloseConnections {
                    continue;
                }
                let peer = acceptor.clone();
                std::thread::spawn(move || {
                    let _ = peer.serve(&stream);
                });
            }
        });
        Ok(peer)
    }

    /// Sets how the peer answers requests received from now on.
    pub fn set_behavior(&self, behavior: ReadBehavior) {
        lock(&self.config).behavior = behavior;
    }

    /// Sets the age of the registrations in the lists that the peer sends. Writes and reads of a single
    /// instance always use the current registrations.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.config).lag = lag;
    }

    /// Selects the encoding of instance lists: XML if true, else JSON.
    pub fn set_xml(&self, xml: bool) {
        lock(&self.config).writes_xml = xml;
    }

    /// Sets whether the peer compresses instance lists for clients that accept gzip.
    pub fn set_compression(&self, enabled: bool) {
        lock(&self.config).gzip_enabled = enabled;
    }

    /// The requests that the peer has received so far.
    #[must_use]
    pub fn received(&self) -> ReceivedRequests {
        lock(&self.received).clone()
    }

    /// Serves the requests of a connection until it closes or fails.
    fn serve(&self, stream: &TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = HttpRequest::read(&mut reader)? {
            let config = lock(&self.config).clone();
            let segments = request.path_segments();
            match (request.method.as_str(), segments.as_slice()) {
                ("GET", ["apps", "delta"]) => {
                    lock(&self.received).delta_reads += 1;
                    self.handle_delta_read(stream, &config, &request)?;
                }
                ("GET", ["apps"]) => {
                    lock(&self.received).full_reads += 1;
                    self.handle_full_read(stream, &config, &request, None)?;
                }
                ("GET", ["apps" | "vips", app]) => {
                    lock(&self.received).full_reads += 1;
                    self.handle_full_read(stream, &config, &request, Some(&app.to_ascii_uppercase()))?;
                }
                ("GET", ["instances", id] | ["apps", _, id]) => self.handle_instance_read(stream, id)?,
                (method, segments) => {
                    inject_failure(stream, &config.behavior)?;
                    if !matches!(config.behavior, ReadBehavior::Status { .. }) {
                        let status = self.apply_write(method, segments, &request);
                        HttpResponse::status(status).write(stream)?;
                    }
                }
            }
        }
        Ok(())
    }

    fn handle_instance_read(&self, stream: &TcpStream, id: &str) -> std::io::Result<()> {
        let Some(registration) = self.registrations.get(id) else {
            return HttpResponse::status(404).write(stream);
        };
        let body = json!({"instance": instance_json(&registration)}).to_string();
        HttpResponse::ok("application/json", body.as_bytes()).write(stream)
    }

    /// Applies a write to the registrations and returns the HTTP status of the response. A heartbeat (`PUT`
    /// on an instance) changes nothing; 404 tells the client that the instance is not registered.
    fn apply_write(&self, method: &str, segments: &[&str], request: &HttpRequest) -> u16 {
        match (method, segments) {
            ("POST", ["apps", app]) => {
                let Ok(body) = serde_json::from_slice::<Value>(&request.body) else { return 400 };
                let registration = decode_registration(&body, app);
                let description = format!("POST {app} {}", registration.status);
                self.registrations.register(registration);
                self.record_lease_request(description);
                204
            }
            ("PUT", ["apps", app, id]) => {
                let status = request.query_parameter("status");
                self.record_lease_request(format!("PUT {app} {status}"));
                if self.registrations.get(id).is_some() { 200 } else { 404 }
            }
            ("PUT", ["apps", _, id, "status"]) => {
                self.registrations.override_status(id, &request.query_parameter("value"));
                200
            }
            ("DELETE", ["apps", _, id, "status"]) => {
                self.registrations.clear_override(id);
                200
            }
            ("DELETE", ["apps", app, id]) => {
                let found = self.registrations.deregister(id);
                self.record_lease_request(format!("DELETE {app}"));
                if found { 200 } else { 404 }
            }
            _ => 405,
        }
    }

    fn record_lease_request(&self, description: String) {
        lock(&self.received).lease_requests.push(description);
    }

    fn handle_delta_read(
        &self,
        stream: &TcpStream,
        config: &PeerConfig,
        request: &HttpRequest,
    ) -> std::io::Result<()> {
        let snapshot = self.registrations.snapshot(config.lag);
        let mut body = ListBody {
            registrations: snapshot.recent().cloned().collect(),
            hash_code: hash_code(snapshot.all()),
            reports_absence: false,
        };
        match &config.behavior {
            ReadBehavior::LostDelta => body.registrations.clear(),
            ReadBehavior::DisorderedDelta => {
                body.registrations.reverse();
                body.registrations = body.registrations.iter().chain(&body.registrations).cloned().collect();
            }
            _ => {}
        }
        self.send_list(stream, config, request, &snapshot, body)
    }

    /// Answers with all instances, or with those of one application. The hash code always covers all
    /// instances.
    fn handle_full_read(
        &self,
        stream: &TcpStream,
        config: &PeerConfig,
        request: &HttpRequest,
        app: Option<&str>,
    ) -> std::io::Result<()> {
        let snapshot = self.registrations.snapshot(config.lag);
        let is_requested = |registration: &&Registration| app.is_none_or(|app| registration.app == app);
        let with_action_added =
            |registration: &Registration| Registration { action: "ADDED".into(), ..registration.clone() };
        let body = ListBody {
            registrations: snapshot.all().filter(is_requested).map(with_action_added).collect(),
            hash_code: hash_code(snapshot.all()),
            reports_absence: config.lag.is_zero(),
        };
        self.send_list(stream, config, request, &snapshot, body)
    }

    /// Sends a list or the configured fault in its place. Only a list that was written whole enters the
    /// history.
    fn send_list(
        &self,
        stream: &TcpStream,
        config: &PeerConfig,
        request: &HttpRequest,
        snapshot: &Snapshot,
        mut body: ListBody,
    ) -> std::io::Result<()> {
        inject_failure(stream, &config.behavior)?;
        match &config.behavior {
            ReadBehavior::Status { .. } => return Ok(()),
            ReadBehavior::Noise(megabytes) => return write_noise(stream, *megabytes),
            ReadBehavior::DeeplyNested(depth) => {
                let nested = format!("{{\"applications\":{}", "{\"a\":[".repeat(*depth));
                return HttpResponse::ok("application/json", nested.as_bytes()).write(stream);
            }
            ReadBehavior::Empty => {
                body = ListBody { registrations: vec![], hash_code: String::new(), reports_absence: false };
            }
            ReadBehavior::FirstFew(count) => {
                let kept: Vec<&Registration> = snapshot.all().take(*count).collect();
                body.registrations
                    .retain(|registration| kept.iter().any(|other| other.id == registration.id));
                body.hash_code = hash_code(kept.into_iter());
                body.reports_absence = false;
            }
            ReadBehavior::WrongHash => body.hash_code.push_str("DOWN_99_"),
            _ => {}
        }
        if !write_list_body(stream, config, request, &body)? {
            return Ok(());
        }
        self.record_reported(&body, snapshot);
        Ok(())
    }

    /// Records in the history which endpoint statuses this body reported to the pooler.
    fn record_reported(&self, body: &ListBody, snapshot: &Snapshot) {
        let (now, mut history) = (Instant::now(), lock(&self.history));
        for registration in body.registrations.iter().filter(|registration| registration.app == SERVER_APP) {
            let version =
                RegistrationVersion { dirty_ms: registration.dirty_ms, updated_ms: registration.updated_ms };
            history.record_reported(&registration.id, registration.is_in_service(), version, now);
        }
        if body.reports_absence {
            for (id, dirty_ms) in &snapshot.deregistered {
                let version = RegistrationVersion { dirty_ms: *dirty_ms, updated_ms: i64::MAX };
                history.record_reported(id, false, version, now);
            }
        }
    }
}

/// Writes a list of instances; returns false if the behavior truncated the body.
fn write_list_body(
    stream: &TcpStream,
    config: &PeerConfig,
    request: &HttpRequest,
    body: &ListBody,
) -> std::io::Result<bool> {
    let ListBody { registrations, hash_code, .. } = body;
    let (content_type, text) = if config.writes_xml {
        ("application/xml", applications_xml(registrations, hash_code))
    } else {
        ("application/json", applications_json(registrations, hash_code).to_string())
    };
    if config.behavior == ReadBehavior::TruncatedBody {
        HttpResponse::ok(content_type, &text.as_bytes()[..text.len() / 2]).write(stream)?;
        return Ok(false);
    }
    let gzip = config.gzip_enabled && request.accepts_gzip;
    HttpResponse { gzip, ..HttpResponse::ok(content_type, text.as_bytes()) }.write(stream)?;
    Ok(true)
}

/// Applies the faults that affect list reads and writes alike. `Status` is answered here; an error closes the
/// connection, for a silent peer after `SILENT_HOLD_TIME`.
fn inject_failure(stream: &TcpStream, behavior: &ReadBehavior) -> std::io::Result<()> {
    match behavior {
        ReadBehavior::Silent => {
            std::thread::sleep(SILENT_HOLD_TIME);
            Err(ErrorKind::TimedOut.into())
        }
        ReadBehavior::CloseConnections => Err(ErrorKind::ConnectionAborted.into()),
        ReadBehavior::Status { code, retry_after } => {
            HttpResponse { retry_after: *retry_after, ..HttpResponse::status(*code) }.write(stream)
        }
        _ => Ok(()),
    }
}

/// Writes a response of this many MB of pseudorandom bytes, the same in each MB.
fn write_noise(mut stream: &TcpStream, megabytes: usize) -> std::io::Result<()> {
    let noise: Vec<u8> =
        (0..BYTES_PER_MB).map(|index| (index.wrapping_mul(2_654_435_761) >> 13) as u8).collect();
    let length = megabytes * noise.len();
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n")?;
    for _ in 0..megabytes {
        stream.write_all(&noise)?;
    }
    Ok(())
}

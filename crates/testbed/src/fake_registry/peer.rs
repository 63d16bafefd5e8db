//! A server of the registry.

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

/// For how long a silent peer keeps a connection.
const SILENCE: Duration = Duration::from_secs(60);
const MEGABYTE: u32 = 1 << 20;

/// What a peer has been asked.
#[derive(Clone, Debug, Default)]
pub struct ReceivedRequests {
    /// Reads of all instances.
    pub full_reads: u64,
    /// Reads of a delta.
    pub delta_reads: u64,
    /// The requests by which poolers register themselves, such as `POST POOLER UP`.
    pub lease_requests: Vec<String>,
}

impl ReceivedRequests {
    /// Reads of either kind.
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
    compresses: bool,
}

/// What a response to a read is made of.
struct ReadBody {
    registrations: Vec<Registration>,
    hash_code: String,
    /// Whether what it lacks is truly gone.
    is_complete: bool,
}

/// A server of the registry.
#[derive(Clone)]
pub struct RegistryPeer {
    /// Where it listens.
    pub address: SocketAddr,
    registrations: Registrations,
    history: SharedHistory,
    config: Arc<Mutex<PeerConfig>>,
    received: Arc<Mutex<ReceivedRequests>>,
}

impl RegistryPeer {
    /// Starts one over these registrations, on a free loopback port. What it reports is noted in the history.
    ///
    /// # Errors
    ///
    /// When it can't listen.
    pub fn start(registrations: &Registrations, history: &SharedHistory) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let config = PeerConfig {
            behavior: ReadBehavior::Normal,
            lag: Duration::ZERO,
            writes_xml: false,
            compresses: true,
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

    /// How it answers from now on.
    pub fn set_behavior(&self, behavior: ReadBehavior) {
        lock(&self.config).behavior = behavior;
    }

    /// How old what it knows is.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.config).lag = lag;
    }

    /// Has it write XML or JSON.
    pub fn write_xml(&self, xml: bool) {
        lock(&self.config).writes_xml = xml;
    }

    /// Whether it compresses bodies for those who accept that.
    pub fn compress(&self, compress: bool) {
        lock(&self.config).compresses = compress;
    }

    /// What it has been asked so far.
    #[must_use]
    pub fn received(&self) -> ReceivedRequests {
        lock(&self.received).clone()
    }

    /// Serves a connection to its end.
    fn serve(&self, stream: &TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut lines = BufReader::new(stream.try_clone()?);
        while let Some(request) = HttpRequest::read(&mut lines)? {
            let config = lock(&self.config).clone();
            let segments = request.path_segments();
            match (request.method.as_str(), segments.as_slice()) {
                ("GET", ["apps", "delta"]) => {
                    lock(&self.received).delta_reads += 1;
                    self.answer_delta(stream, &config, &request)?;
                }
                ("GET", ["apps"]) => {
                    lock(&self.received).full_reads += 1;
                    self.answer_full(stream, &config, &request, None)?;
                }
                ("GET", ["apps" | "vips", app]) => {
                    lock(&self.received).full_reads += 1;
                    self.answer_full(stream, &config, &request, Some(&app.to_ascii_uppercase()))?;
                }
                ("GET", ["instances", id] | ["apps", _, id]) => self.answer_instance(stream, id)?,
                (method, segments) => {
                    answer_failing(stream, &config.behavior)?;
                    if !matches!(config.behavior, ReadBehavior::Status { .. }) {
                        let status = self.apply_write(method, segments, &request);
                        HttpResponse::status(status).write(stream)?;
                    }
                }
            }
        }
        Ok(())
    }

    fn answer_instance(&self, stream: &TcpStream, id: &str) -> std::io::Result<()> {
        let Some(registration) = self.registrations.get(id) else {
            return HttpResponse::status(404).write(stream);
        };
        let body = json!({"instance": instance_json(&registration)}).to_string();
        HttpResponse::ok("application/json", body.as_bytes()).write(stream)
    }

    /// Changes the registrations as requested; the HTTP status of the response.
    fn apply_write(&self, method: &str, segments: &[&str], request: &HttpRequest) -> u16 {
        match (method, segments) {
            ("POST", ["apps", app]) => {
                let Ok(body) = serde_json::from_slice::<Value>(&request.body) else { return 400 };
                let registration = decode_registration(&body, app);
                let note = format!("POST {app} {}", registration.status);
                self.registrations.register(registration);
                self.note_lease_request(note);
                204
            }
            ("PUT", ["apps", app, id]) => {
                let status = request.query_parameter("status");
                self.note_lease_request(format!("PUT {app} {status}"));
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
                self.note_lease_request(format!("DELETE {app}"));
                if found { 200 } else { 404 }
            }
            _ => 405,
        }
    }

    fn note_lease_request(&self, note: String) {
        lock(&self.received).lease_requests.push(note);
    }

    fn answer_delta(
        &self,
        stream: &TcpStream,
        config: &PeerConfig,
        request: &HttpRequest,
    ) -> std::io::Result<()> {
        let snapshot = self.registrations.snapshot(config.lag);
        let mut body = ReadBody {
            registrations: snapshot.recent().cloned().collect(),
            hash_code: hash_code(snapshot.all()),
            is_complete: false,
        };
        match &config.behavior {
            ReadBehavior::LostDelta => body.registrations.clear(),
            ReadBehavior::DisorderedDelta => {
                body.registrations.reverse();
                body.registrations = body.registrations.iter().chain(&body.registrations).cloned().collect();
            }
            _ => {}
        }
        self.answer_read(stream, config, request, &snapshot, body)
    }

    /// Answers with all instances, or those of one application.
    fn answer_full(
        &self,
        stream: &TcpStream,
        config: &PeerConfig,
        request: &HttpRequest,
        app: Option<&str>,
    ) -> std::io::Result<()> {
        let snapshot = self.registrations.snapshot(config.lag);
        let is_wanted = |one: &&Registration| app.is_none_or(|app| one.app == app);
        let added = |one: &Registration| Registration { action: "ADDED".into(), ..one.clone() };
        let body = ReadBody {
            registrations: snapshot.all().filter(is_wanted).map(added).collect(),
            hash_code: hash_code(snapshot.all()),
            is_complete: config.lag.is_zero(),
        };
        self.answer_read(stream, config, request, &snapshot, body)
    }

    fn answer_read(
        &self,
        stream: &TcpStream,
        config: &PeerConfig,
        request: &HttpRequest,
        snapshot: &Snapshot,
        mut body: ReadBody,
    ) -> std::io::Result<()> {
        answer_failing(stream, &config.behavior)?;
        match &config.behavior {
            ReadBehavior::Status { .. } => return Ok(()),
            ReadBehavior::Noise(megabytes) => return write_noise(stream, *megabytes),
            ReadBehavior::DeeplyNested(depth) => {
                let nested = format!("{{\"applications\":{}", "{\"a\":[".repeat(*depth));
                return HttpResponse::ok("application/json", nested.as_bytes()).write(stream);
            }
            ReadBehavior::Empty => {
                body = ReadBody { registrations: vec![], hash_code: String::new(), is_complete: false };
            }
            ReadBehavior::FirstFew(count) => {
                let left: Vec<&Registration> = snapshot.all().take(*count).collect();
                body.registrations.retain(|one| left.iter().any(|other| other.id == one.id));
                body.hash_code = hash_code(left.into_iter());
                body.is_complete = false;
            }
            ReadBehavior::WrongHash => body.hash_code.push_str("DOWN_99_"),
            _ => {}
        }
        if !write_list(stream, config, request, &body)? {
            return Ok(());
        }
        self.record_reported(&body, snapshot);
        Ok(())
    }

    /// Notes what this body has reported to the pooler.
    fn record_reported(&self, body: &ReadBody, snapshot: &Snapshot) {
        let (now, mut history) = (Instant::now(), lock(&self.history));
        for one in body.registrations.iter().filter(|one| one.app == SERVER_APP) {
            let version = RegistrationVersion { dirty_ms: one.dirty_ms, updated_ms: one.updated_ms };
            history.record_reported(&one.id, one.is_in_service(), version, now);
        }
        if body.is_complete {
            for (id, dirty_ms) in &snapshot.deregistered {
                let version = RegistrationVersion { dirty_ms: *dirty_ms, updated_ms: i64::MAX };
                history.record_reported(id, false, version, now);
            }
        }
    }
}

/// Writes a list of instances; false if it was cut off.
fn write_list(
    stream: &TcpStream,
    config: &PeerConfig,
    request: &HttpRequest,
    body: &ReadBody,
) -> std::io::Result<bool> {
    let ReadBody { registrations, hash_code, .. } = body;
    let (content_type, text) = if config.writes_xml {
        ("application/xml", applications_xml(registrations, hash_code))
    } else {
        ("application/json", applications_json(registrations, hash_code).to_string())
    };
    if config.behavior == ReadBehavior::TruncatedBody {
        HttpResponse::ok(content_type, &text.as_bytes()[..text.len() / 2]).write(stream)?;
        return Ok(false);
    }
    let gzip = config.compresses && request.accepts_gzip;
    HttpResponse { gzip, ..HttpResponse::ok(content_type, text.as_bytes()) }.write(stream)?;
    Ok(true)
}

/// Answers where a peer fails whatever it is asked: with a status, or by ending the connection.
fn answer_failing(stream: &TcpStream, behavior: &ReadBehavior) -> std::io::Result<()> {
    match behavior {
        ReadBehavior::Silent => {
            std::thread::sleep(SILENCE);
            Err(ErrorKind::TimedOut.into())
        }
        ReadBehavior::CloseConnections => Err(ErrorKind::ConnectionAborted.into()),
        ReadBehavior::Status { code, retry_after } => {
            HttpResponse { retry_after: *retry_after, ..HttpResponse::status(*code) }.write(stream)
        }
        _ => Ok(()),
    }
}

fn write_noise(mut stream: &TcpStream, megabytes: usize) -> std::io::Result<()> {
    let noise: Vec<u8> = (0..MEGABYTE).map(|at| (at.wrapping_mul(2_654_435_761) >> 13) as u8).collect();
    let length = megabytes * noise.len();
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n")?;
    for _ in 0..megabytes {
        stream.write_all(&noise)?;
    }
    Ok(())
}

//! Clients that send requests all the time, and the configuration of a pooler.

use crate::common::*;
use crate::discovery::{Entry, list_json};
use crate::say;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A request class of the configuration, with its share of the load.
#[derive(Clone, Debug)]
pub struct Class {
    pub name: &'static str,
    pub effect: &'static str,
    pub need: &'static str,
    pub bound_ms: f64,
    pub objective_ms: f64,
    pub deadline_ms: f64,
    pub worth: f64,
    pub late: f64,
    pub share: f64,
}

/// The classes of the site.
pub fn site_classes() -> Vec<Class> {
    let class = |name, effect, need, bound_ms, objective_ms, deadline_ms, worth, late, share| Class {
        name,
        effect,
        need,
        bound_ms,
        objective_ms,
        deadline_ms,
        worth,
        late,
        share,
    };
    vec![
        class("formula-lookup", "retryable", "lag_bound", 3000.0, 200.0, 800.0, 1.0, 0.0, 0.34),
        class("my-orders", "retryable", "causal", 0.0, 250.0, 1000.0, 3.0, 0.2, 0.30),
        class("stock-history", "retryable", "eventual", 0.0, 300.0, 1000.0, 3.0, 0.0, 0.21),
        class("usage-report", "retryable", "eventual", 0.0, 2000.0, 4000.0, 6.0, 0.2, 0.03),
        class("place-order", "fragile", "mutate", 0.0, 500.0, 3000.0, 6.0, 0.3, 0.12),
    ]
}

/// A pooler's configuration.
#[derive(Clone, Debug)]
pub struct Configuration {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: String,
    pub classes: Vec<Class>,
    pub fleet: u32,
    pub sockets: usize,
    pub memory_mb: usize,
    pub discovery_mode: &'static str,
    pub when_behind: &'static str,
    pub tells_position: bool,
    pub session_marks: &'static str,
    pub probing: bool,
    pub drain_grace_ms: f64,
    pub keepalive_ms: f64,
    pub generation: u64,
    pub known: Vec<Entry>,
    pub extra_rules: String,
    pub cold_from: f64,
}

impl Configuration {
    pub fn new(listen: SocketAddr, discovery: SocketAddr, generation: u64, known: Vec<Entry>) -> Self {
        Self {
            name: "n1".to_owned(),
            listen,
            discovery: discovery.to_string(),
            classes: site_classes(),
            fleet: 3,
            sockets: 384,
            memory_mb: 48,
            discovery_mode: "push",
            when_behind: "none",
            tells_position: false,
            session_marks: "kept",
            probing: true,
            drain_grace_ms: 500.0,
            keepalive_ms: 30000.0,
            generation,
            known,
            extra_rules: String::new(),
            cold_from: 0.18,
        }
    }

    pub fn json(&self) -> String {
        let lanes: Vec<String> = self
            .classes
            .iter()
            .map(|class| {
                format!(
                    "{{\"Name\":\"{}\",\"Effect\":\"{}\",\"KeyScope\":\"all\",\"Window\":5000.0,\
                     \"Objective\":{:?},\"Deadline\":{:?},\"Worth\":{:?},\"LateValue\":{:?},\"Stream\":false}}",
                    class.name, class.effect, class.objective_ms, class.deadline_ms, class.worth, class.late
                )
            })
            .collect();
        let needs: Vec<String> = self.classes.iter().map(|class| format!("\"{}\"", class.need)).collect();
        let bounds: Vec<String> = self.classes.iter().map(|class| format!("{:?}", class.bound_ms)).collect();
        let Self { name, listen, discovery, fleet, sockets, memory_mb, .. } = self;
        format!(
            "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\
             \"seed\":\"{seed:016x}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\
             \"sockets\":{sockets}}},\"known\":{known},\"settings\":{{\"FleetSize\":{fleet},\"Rank\":0,\
             \"Zone\":\"a\",\"Zones\":[\"a\"],\"Discovery\":\"{mode}\",\"ServiceType\":\"replicas\",\
             \"Lanes\":[{lanes}],\"FamilyInfo\":{{\"NeedsByClass\":[{needs}],\"OldestData\":[{bounds}],\
             \"WhenBehind\":\"{behind}\",\"HoldsFor\":0.0,\"SessionMarks\":\"{marks}\",\
             \"TellsPosition\":{tells},\"ShowsRole\":\"trailing\",\"WaitsForCopy\":false,\
             \"ReportX0\":\"position_in_seconds_after_zero\",\"ReportX1\":\"1_from_a_primary\",\
             \"Zero\":631665883.957}},\"Report\":{{\"Fields\":[\"x0\",\"x1\"],\"How\":\"probe\"}},\
             \"Limits\":{{\"Cancel\":true,\"CpuUsPerRequest\":0.0,\"CpuUsPerS\":50000,\"DialTimeout\":250.0,\
             \"Keepalive\":{keep:?},\"MaxRetryAfter\":1000.0,\"MayDuplicate\":false,\"OpenCap\":20000,\
             \"Peers\":false,\"Probing\":{probing},\"RetryAfter\":true,\"SendCap\":6,\"StreamsPerConn\":1}},\
             \"Rules\":{{\"AnswerSlack\":20.0,\"AskEvery\":10000.0,\"Cold\":15000.0,\"ColdFrom\":{cold:?},\
             \"DrainGrace\":{grace:?},\"Fall\":1500.0,\"FallMultiple\":3.0{extra}}},\
             \"ObjectiveMix\":{{\"Whole\":0.5,\"WorstClass\":0.2,\"WorstTenant\":0.0,\"WorstWindow\":0.3}},\
             \"Costs\":{{\"Probe\":0.01,\"CrossZone\":0.01,\"Waste\":0.03,\"LateFail\":0.03}},\
             \"Kinds\":\"std-5core\",\"WeightSource\":\"nominal\",\"WorthBy\":\"request\",\
             \"Resolution\":5.0}}}}",
            seed = rand_u64(),
            known = list_json(self.generation, true, &self.known),
            mode = self.discovery_mode,
            lanes = lanes.join(","),
            needs = needs.join(","),
            bounds = bounds.join(","),
            behind = self.when_behind,
            marks = self.session_marks,
            tells = self.tells_position,
            probing = self.probing,
            keep = self.keepalive_ms,
            grace = self.drain_grace_ms,
            extra = self.extra_rules,
            cold = self.cold_from,
        )
    }
}

/// One request as its client saw it.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub class: &'static str,
    pub key: String,
    pub sent_at: i64,
    pub d_ms: f64,
    pub answered_at: i64,
    pub answer: Answer,
    /// When the client closed its connection without waiting for the answer; 0 if it did not.
    pub left_at: i64,
}

pub struct Load {
    pub target: SocketAddr,
    pub classes: Vec<Class>,
    pub cells: Vec<i64>,
    pub requests: Arc<Mutex<Vec<Request>>>,
    pub stop: Arc<AtomicBool>,
    /// The mean pause of a client between two requests, in ms.
    pub pause_ms: f64,
    /// The share of requests whose client leaves early.
    pub leave: f64,
    /// The share of requests for which a client opens a new connection.
    pub fresh: f64,
    pub next_id: AtomicU64,
}

pub fn statement(id: &str, class: &Class, key: &str, d_ms: f64, cell: i64) -> String {
    let d = d_ms.round() as i64;
    if class.need == "mutate" {
        format!(
            "INSERT INTO kv (name, content) VALUES ('{key}', '\\x9f03') RETURNING content \
             /* id={id},c={},d={d},cluster={cell} */",
            class.name
        )
    } else {
        format!(
            "SELECT content FROM kv WHERE name = '{key}' /* id={id},c={},d={d},cluster={cell} */",
            class.name
        )
    }
}

impl Load {
    pub fn new(target: SocketAddr, cells: Vec<i64>) -> Self {
        Self {
            target,
            classes: site_classes(),
            cells,
            requests: Arc::default(),
            stop: Arc::default(),
            pause_ms: 150.0,
            leave: 0.0,
            fresh: 0.05,
            next_id: AtomicU64::new(1),
        }
    }

    pub fn new_id(&self) -> String {
        format!("{:08x}{:08x}", rand_u64() as u32, self.next_id.fetch_add(1, Ordering::SeqCst))
    }

    /// A class, drawn by the shares.
    pub fn pick_class(&self) -> &Class {
        let total: f64 = self.classes.iter().map(|class| class.share).sum();
        let mut draw = rand_f64() * total;
        for class in &self.classes {
            draw -= class.share;
            if draw <= 0.0 {
                return class;
            }
        }
        &self.classes[0]
    }

    /// One client: sends requests one after another until `stop`.
    pub fn run_client(&self, session: &str) {
        let mut connection: Option<Client> = None;
        let mut follow: Option<&Class> = None;
        while !self.stop.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_secs_f64(rand_range(0.0, 2.0 * self.pause_ms) / 1000.0));
            if rand_f64() < self.fresh {
                connection = None;
            }
            if connection.is_none() {
                match Client::connect(self.target) {
                    Ok(client) => connection = Some(client),
                    Err(_) => continue,
                }
            }
            let class = follow.take().unwrap_or_else(|| self.pick_class());
            let cell = self.cells[(quoted_hash(session) as usize) % self.cells.len()];
            let d_ms = class.deadline_ms * rand_range(0.4, 1.0);
            let Some(client) = &mut connection else { continue };
            let mut request = Request {
                id: self.new_id(),
                class: class.name,
                key: session.to_owned(),
                sent_at: 0,
                d_ms,
                answered_at: 0,
                answer: Answer::Silent,
                left_at: 0,
            };
            let text = statement(&request.id, class, session, d_ms, cell);
            let sent = client.send(&text);
            request.sent_at = now_us();
            if sent.is_err() {
                connection = None;
                continue;
            }
            let leaves = rand_f64() < self.leave;
            let patience = if leaves { rand_range(0.0, 60.0) } else { d_ms.round() + 700.0 };
            let limit = Instant::now() + Duration::from_secs_f64(patience / 1000.0);
            request.answer = client.answer(limit);
            request.answered_at = now_us();
            if request.answer == Answer::Silent {
                request.left_at = now_us();
                connection = None;
            } else if request.answer == Answer::Closed {
                connection = None;
            }
            if class.need == "mutate" && matches!(request.answer, Answer::Served(_)) {
                follow = self.classes.iter().find(|class| class.need == "causal");
            }
            say!(
                "client {session} {} {} d={:.0} after {:.1} ms: {:?}{}",
                request.id,
                request.class,
                d_ms,
                (request.answered_at - request.sent_at) as f64 / 1000.0,
                request.answer,
                if leaves { " (leaves early)" } else { "" }
            );
            lock(&self.requests).push(request);
        }
    }
}

fn quoted_hash(text: &str) -> u64 {
    text.bytes().fold(1469598103934665603, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(1099511628211))
}

/// Starts `count` clients; they end after `stop` is set.
pub fn start_clients(load: &Arc<Load>, count: usize) -> Vec<std::thread::JoinHandle<()>> {
    (0..count)
        .filter_map(|number| {
            let load = load.clone();
            let run = move || load.run_client(&format!("sess{number:04}"));
            std::thread::Builder::new().stack_size(256 * 1024).spawn(run).ok()
        })
        .collect()
}

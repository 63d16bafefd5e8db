//! All registrations of a registry, and how they were before.

use crate::{lock, unix_ms};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// No more former states than these are kept for peers that lag.
const MAX_SNAPSHOTS: usize = 4_096;
/// How long a delta names a change, unless told otherwise.
const DELTA_WINDOW: Duration = Duration::from_millis(3_000);
/// The application under which the fleet's servers register.
pub const SERVER_APP: &str = "DB";
/// The group of a fleet's servers.
const GROUP: &str = "2";

/// A registration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Registration {
    /// Its application.
    pub app: String,
    /// Its id.
    pub id: String,
    /// Where the instance listens.
    pub ip: String,
    /// And on which port.
    pub port: u16,
    /// The status that counts.
    pub status: String,
    /// The status set over the instance's own.
    pub overridden_status: String,
    /// When the instance last changed itself, in ms.
    pub dirty_ms: i64,
    /// When the registry last changed it, in ms.
    pub updated_ms: i64,
    /// When its lease began, in ms.
    pub registered_ms: i64,
    /// Its change, as a delta names it.
    pub action: String,
    /// The instance's metadata.
    pub metadata: BTreeMap<String, String>,
}

impl Registration {
    /// A server of a fleet that is up.
    #[must_use]
    pub fn server(id: &str, address: SocketAddr, is_primary: bool, dirty_ms: i64) -> Self {
        let role = if is_primary { "primary" } else { "replica" };
        let metadata = [("group", GROUP), ("role", role), ("zone", "adum")];
        let metadata = metadata.map(|(key, value)| (key.to_owned(), value.to_owned()));
        Self {
            app: SERVER_APP.to_owned(),
            id: id.to_owned(),
            ip: address.ip().to_string(),
            port: address.port(),
            status: "UP".into(),
            overridden_status: "UNKNOWN".into(),
            dirty_ms,
            metadata: BTreeMap::from(metadata),
            ..Self::default()
        }
    }

    /// Has it listen elsewhere.
    pub fn set_address(&mut self, address: SocketAddr) {
        self.ip = address.ip().to_string();
        self.port = address.port();
    }

    /// Whether it is to be sent requests, by the response that names it.
    #[must_use]
    pub fn is_in_service(&self) -> bool {
        self.status == "UP" && self.action != "DELETED"
    }
}

/// A change that deltas name for a while.
#[derive(Clone, Debug)]
struct RecentChange {
    at: Instant,
    registration: Registration,
}

/// The application and the id of a registration.
type Key = (String, String);

/// The registrations at some moment.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    all: BTreeMap<Key, Registration>,
    recent: VecDeque<RecentChange>,
    /// Instances that were deregistered, with the last timestamp of their own.
    pub deregistered: BTreeMap<String, i64>,
}

impl Snapshot {
    /// All registrations.
    pub fn all(&self) -> impl Iterator<Item = &Registration> {
        self.all.values()
    }

    /// The registrations that a delta names, in the order of their changes.
    pub fn recent(&self) -> impl Iterator<Item = &Registration> {
        self.recent.iter().map(|change| &change.registration)
    }

    fn add_recent(&mut self, registration: Registration) {
        self.recent.push_back(RecentChange { at: Instant::now(), registration });
    }
}

/// A snapshot, and from when on it was so.
#[derive(Debug)]
struct DatedSnapshot {
    since: Instant,
    snapshot: Arc<Snapshot>,
}

/// Who changes a registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangedBy {
    /// The instance itself, which gives it a later timestamp of its own.
    Instance,
    /// The registry, for an operator.
    Registry,
}

/// All registrations, and how they were before.
#[derive(Clone)]
pub struct Registrations {
    snapshots: Arc<Mutex<VecDeque<DatedSnapshot>>>,
    delta_window: Duration,
    last_timestamp: Arc<Mutex<i64>>,
}

impl Default for Registrations {
    fn default() -> Self {
        let first = DatedSnapshot { since: Instant::now(), snapshot: Arc::default() };
        Self {
            snapshots: Arc::new(Mutex::new(VecDeque::from([first]))),
            delta_window: DELTA_WINDOW,
            last_timestamp: Arc::new(Mutex::new(unix_ms())),
        }
    }
}

impl Registrations {
    /// Has deltas name a change for so long only.
    #[must_use]
    pub fn with_delta_window(mut self, window: Duration) -> Self {
        self.delta_window = window;
        self
    }

    /// Forgets how things were before: a peer that lags far behind knows what is there now.
    pub fn forget_history(&self) {
        let mut snapshots = lock(&self.snapshots);
        let last = snapshots.pop_back();
        snapshots.clear();
        snapshots.extend(last);
    }

    /// A timestamp in ms, later than all before.
    #[must_use]
    pub fn next_timestamp(&self) -> i64 {
        let mut last = lock(&self.last_timestamp);
        *last = unix_ms().max(*last + 1);
        *last
    }

    fn change(&self, change: impl FnOnce(&mut Snapshot)) {
        let mut snapshots = lock(&self.snapshots);
        let mut snapshot =
            snapshots.back().map_or_else(Snapshot::default, |last| Snapshot::clone(&last.snapshot));
        change(&mut snapshot);
        let now = Instant::now();
        snapshot.recent.retain(|change| now - change.at < self.delta_window);
        snapshots.push_back(DatedSnapshot { since: now, snapshot: Arc::new(snapshot) });
        if snapshots.len() > MAX_SNAPSHOTS {
            snapshots.pop_front();
        }
    }

    /// The registrations as they were so long ago.
    pub fn snapshot(&self, lag: Duration) -> Arc<Snapshot> {
        let snapshots = lock(&self.snapshots);
        let then = Instant::now().checked_sub(lag);
        let is_known = |dated: &&DatedSnapshot| then.is_some_and(|then| dated.since <= then);
        let known = snapshots.iter().rev().find(is_known).or(snapshots.front());
        known.map_or_else(Arc::default, |dated| dated.snapshot.clone())
    }

    /// Registers, or registers anew.
    pub fn register(&self, mut registration: Registration) {
        registration.updated_ms = self.next_timestamp();
        registration.registered_ms = registration.updated_ms;
        registration.action = "ADDED".into();
        self.change(|snapshot| {
            snapshot.deregistered.remove(&registration.id);
            snapshot.add_recent(registration.clone());
            snapshot.all.insert((registration.app.clone(), registration.id.clone()), registration);
        });
    }

    /// Registers many at once, with nothing in the deltas.
    pub fn register_unnoticed(&self, registrations: impl IntoIterator<Item = Registration>) {
        self.change(|snapshot| {
            let keyed = registrations.into_iter().map(|one| ((one.app.clone(), one.id.clone()), one));
            snapshot.all.extend(keyed);
        });
    }

    /// What is registered under this id.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<Registration> {
        self.snapshot(Duration::ZERO).all().find(|one| one.id == id).cloned()
    }

    /// Has many servers change their own status at once.
    pub fn set_status_of_servers(&self, ids: &[String], status: &str) {
        let timestamp = self.next_timestamp();
        self.change(|snapshot| {
            for id in ids {
                let Some(one) = snapshot.all.get_mut(&(SERVER_APP.to_owned(), id.clone())) else { continue };
                one.status = status.to_owned();
                (one.dirty_ms, one.updated_ms) = (timestamp, timestamp);
                one.action = "MODIFIED".into();
                let changed = one.clone();
                snapshot.add_recent(changed);
            }
        });
    }

    /// Changes a registration.
    pub fn update(&self, id: &str, by: ChangedBy, change: impl FnOnce(&mut Registration)) {
        let (dirty_ms, updated_ms) = (self.next_timestamp(), self.next_timestamp());
        self.change(|snapshot| {
            if let Some(one) = snapshot.all.values_mut().find(|one| one.id == id) {
                change(one);
                one.updated_ms = updated_ms;
                one.action = "MODIFIED".into();
                if by == ChangedBy::Instance {
                    one.dirty_ms = dirty_ms;
                }
                let changed = one.clone();
                snapshot.add_recent(changed);
            }
        });
    }

    /// Sets a status over an instance's own.
    pub fn override_status(&self, id: &str, status: &str) {
        self.update(id, ChangedBy::Registry, |one| {
            one.status = status.to_owned();
            one.overridden_status = status.to_owned();
        });
    }

    /// Takes the status back that was set over an instance's own.
    pub fn clear_override(&self, id: &str) {
        self.update(id, ChangedBy::Registry, |one| {
            one.status = "UP".into();
            one.overridden_status = "UNKNOWN".into();
        });
    }

    /// Takes a registration away; false if there is none.
    pub fn deregister(&self, id: &str) -> bool {
        let mut found = false;
        self.change(|snapshot| {
            let key = snapshot.all.iter().find(|(_, one)| one.id == id).map(|(key, _)| key.clone());
            if let Some(mut one) = key.and_then(|key| snapshot.all.remove(&key)) {
                one.action = "DELETED".into();
                snapshot.deregistered.insert(one.id.clone(), one.dirty_ms);
                snapshot.add_recent(one);
                found = true;
            }
        });
        found
    }

    /// Loses all registrations, as a registry that restarts does.
    pub fn clear(&self) {
        self.change(|snapshot| {
            snapshot.all.clear();
            snapshot.recent.clear();
        });
    }

    /// All ids.
    #[must_use]
    pub fn ids(&self) -> Vec<String> {
        self.snapshot(Duration::ZERO).all().map(|one| one.id.clone()).collect()
    }
}

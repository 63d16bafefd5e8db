//! The registrations of a fake registry, with the snapshots of earlier states that lagging peers serve.

use crate::{lock, unix_ms};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The maximum number of snapshots kept for lagging peers, the current one included; the oldest goes first.
const MAX_SNAPSHOTS: usize = 4_096;
/// How long deltas list a change by default.
const DELTA_WINDOW: Duration = Duration::from_millis(3_000);
/// The Eureka application of the PostgreSQL servers of a fleet.
pub const SERVER_APP: &str = "DB";
/// The group in the metadata of a fleet's servers.
const GROUP: &str = "2";

/// An instance's registration, with the fields that Eureka keeps of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Registration {
    /// The application, in upper case.
    pub app: String,
    /// The instance's id. Lookups by id ignore the application.
    pub id: String,
    /// The IP address on which the instance listens.
    pub ip: String,
    /// The port on which the instance listens.
    pub port: u16,
    /// The effective status, such as `UP`: the override if there is one, else the instance's own status.
    pub status: String,
    /// The status that an operator set in place of the instance's own; `UNKNOWN` without an override.
    pub overridden_status: String,
    /// When the instance last changed its own registration, by the instance's clock, in ms of Unix time.
    pub dirty_ms: i64,
    /// When the registry last changed the registration, in ms of Unix time.
    pub updated_ms: i64,
    /// When the lease began, in ms of Unix time.
    pub registered_ms: i64,
    /// The latest change, in the terms of a delta: `ADDED`, `MODIFIED` or `DELETED`.
    pub action: String,
    /// The instance's metadata; for a server its group, role and zone.
    pub metadata: BTreeMap<String, String>,
}

impl Registration {
    /// The registration of a fleet's server with status `UP`.
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

    /// Changes the address and port on which the instance listens.
    pub fn set_address(&mut self, address: SocketAddr) {
        self.ip = address.ip().to_string();
        self.port = address.port();
    }

    /// Whether this registration, as listed in a response, lets clients send requests to the instance.
    #[must_use]
    pub fn is_in_service(&self) -> bool {
        self.status == "UP" && self.action != "DELETED"
    }
}

/// A change that deltas list until the delta window has passed.
#[derive(Clone, Debug)]
struct RecentChange {
    changed_at: Instant,
    registration: Registration,
}

/// The application and the id of a registration.
type RegistrationKey = (String, String);

/// The state of the registry at one moment.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    all: BTreeMap<RegistrationKey, Registration>,
    recent: VecDeque<RecentChange>,
    /// The ids of deregistered instances, each with its last `dirty_ms`.
    pub deregistered: BTreeMap<String, i64>,
}

impl Snapshot {
    /// All registrations.
    pub fn all(&self) -> impl Iterator<Item = &Registration> {
        self.all.values()
    }

    /// The registrations that a delta lists, oldest change first.
    pub fn recent(&self) -> impl Iterator<Item = &Registration> {
        self.recent.iter().map(|change| &change.registration)
    }

    fn add_recent(&mut self, registration: Registration) {
        self.recent.push_back(RecentChange { changed_at: Instant::now(), registration });
    }
}

/// A snapshot and the time from which it was current.
#[derive(Debug)]
struct DatedSnapshot {
    since: Instant,
    snapshot: Arc<Snapshot>,
}

/// The source of a change to a registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangedBy {
    /// The instance itself: `dirty_ms` is set to a later timestamp.
    Instance,
    /// The registry, on behalf of an operator: `dirty_ms` is left alone.
    Registry,
}

/// The registrations that the peers of a fake registry share, with earlier snapshots. Clones share the same
/// state.
#[derive(Clone)]
pub struct Registrations {
    /// Oldest first; the last is current.
    snapshots: Arc<Mutex<VecDeque<DatedSnapshot>>>,
    delta_window: Duration,
    last_timestamp_ms: Arc<Mutex<i64>>,
}

impl Default for Registrations {
    fn default() -> Self {
        let first = DatedSnapshot { since: Instant::now(), snapshot: Arc::default() };
        Self {
            snapshots: Arc::new(Mutex::new(VecDeque::from([first]))),
            delta_window: DELTA_WINDOW,
            last_timestamp_ms: Arc::new(Mutex::new(unix_ms())),
        }
    }
}

impl Registrations {
    /// Sets how long deltas list a change.
    #[must_use]
    pub fn with_delta_window(mut self, window: Duration) -> Self {
        self.delta_window = window;
        self
    }

    /// Drops all snapshots but the current one, so that even a peer with a long lag serves the current
    /// registrations until the next change.
    pub fn discard_earlier_snapshots(&self) {
        let mut snapshots = lock(&self.snapshots);
        let last = snapshots.pop_back();
        snapshots.clear();
        snapshots.extend(last);
    }

    /// A timestamp in ms of Unix time, later than all earlier ones.
    #[must_use]
    pub fn next_timestamp(&self) -> i64 {
        let mut last = lock(&self.last_timestamp_ms);
        *last = unix_ms().max(*last + 1);
        *last
    }

    /// Appends a snapshot: the current one with this change, less the recent changes past the delta window.
    fn push_snapshot(&self, change: impl FnOnce(&mut Snapshot)) {
        let mut snapshots = lock(&self.snapshots);
        let mut snapshot =
            snapshots.back().map_or_else(Snapshot::default, |last| Snapshot::clone(&last.snapshot));
        change(&mut snapshot);
        let now = Instant::now();
        snapshot.recent.retain(|change| now - change.changed_at < self.delta_window);
        snapshots.push_back(DatedSnapshot { since: now, snapshot: Arc::new(snapshot) });
        if snapshots.len() > MAX_SNAPSHOTS {
            snapshots.pop_front();
        }
    }

    /// The registrations as they were this long ago; the oldest known state if the lag reaches further back.
    pub fn snapshot(&self, lag: Duration) -> Arc<Snapshot> {
        let snapshots = lock(&self.snapshots);
        let moment = Instant::now().checked_sub(lag);
        let has_begun = |dated: &&DatedSnapshot| moment.is_some_and(|moment| dated.since <= moment);
        let found = snapshots.iter().rev().find(has_begun).or(snapshots.front());
        found.map_or_else(Arc::default, |dated| dated.snapshot.clone())
    }

    /// Adds a registration, or replaces the registration with the same application and id.
    pub fn register(&self, mut registration: Registration) {
        registration.updated_ms = self.next_timestamp();
        registration.registered_ms = registration.updated_ms;
        registration.action = "ADDED".into();
        self.push_snapshot(|snapshot| {
            snapshot.deregistered.remove(&registration.id);
            snapshot.add_recent(registration.clone());
            snapshot.all.insert((registration.app.clone(), registration.id.clone()), registration);
        });
    }

    /// Adds many registrations at once without listing them in deltas.
    pub fn register_without_delta(&self, registrations: impl IntoIterator<Item = Registration>) {
        self.push_snapshot(|snapshot| {
            let keyed = registrations
                .into_iter()
                .map(|registration| ((registration.app.clone(), registration.id.clone()), registration));
            snapshot.all.extend(keyed);
        });
    }

    /// The current registration with this id.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<Registration> {
        self.snapshot(Duration::ZERO).all().find(|registration| registration.id == id).cloned()
    }

    /// Changes the status of many servers at once, as if each had changed itself. Unknown ids are skipped.
    pub fn set_status_of_servers(&self, ids: &[String], status: &str) {
        let timestamp = self.next_timestamp();
        self.push_snapshot(|snapshot| {
            for id in ids {
                let Some(registration) = snapshot.all.get_mut(&(SERVER_APP.to_owned(), id.clone())) else {
                    continue;
                };
                registration.status = status.to_owned();
                (registration.dirty_ms, registration.updated_ms) = (timestamp, timestamp);
                registration.action = "MODIFIED".into();
                let changed = registration.clone();
                snapshot.add_recent(changed);
            }
        });
    }

    /// Applies a change to the registration with this id, if there is one. Sets `action` and the
    /// timestamps after the closure has run, `dirty_ms` only for `ChangedBy::Instance`.
    pub fn update(&self, id: &str, by: ChangedBy, change: impl FnOnce(&mut Registration)) {
        let (dirty_ms, updated_ms) = (self.next_timestamp(), self.next_timestamp());
        self.push_snapshot(|snapshot| {
            if let Some(registration) = snapshot.all.values_mut().find(|registration| registration.id == id) {
                change(registration);
                registration.updated_ms = updated_ms;
                registration.action = "MODIFIED".into();
                if by == ChangedBy::Instance {
                    registration.dirty_ms = dirty_ms;
                }
                let changed = registration.clone();
                snapshot.add_recent(changed);
            }
        });
    }

    /// Sets a status that overrides the instance's own.
    pub fn override_status(&self, id: &str, status: &str) {
        self.update(id, ChangedBy::Registry, |registration| {
            registration.status = status.to_owned();
            registration.overridden_status = status.to_owned();
        });
    }

    /// Clears the override of a status; the status becomes `UP`.
    pub fn clear_override(&self, id: &str) {
        self.update(id, ChangedBy::Registry, |registration| {
            registration.status = "UP".into();
            registration.overridden_status = "UNKNOWN".into();
        });
    }

    /// Removes a registration and lists it as `DELETED` in deltas; returns whether there was one.
    pub fn deregister(&self, id: &str) -> bool {
        let mut found = false;
        self.push_snapshot(|snapshot| {
            let key = snapshot
                .all
                .iter()
                .find(|(_, registration)| registration.id == id)
                .map(|(key, _)| key.clone());
            if let Some(mut registration) = key.and_then(|key| snapshot.all.remove(&key)) {
                registration.action = "DELETED".into();
                snapshot.deregistered.insert(registration.id.clone(), registration.dirty_ms);
                snapshot.add_recent(registration);
                found = true;
            }
        });
        found
    }

    /// Removes all registrations and recent changes, as a restart of the registry does: no delta lists a
    /// deletion.
    pub fn clear(&self) {
        self.push_snapshot(|snapshot| {
            snapshot.all.clear();
            snapshot.recent.clear();
        });
    }

    /// The ids of all current registrations, ordered by application and id.
    #[must_use]
    pub fn ids(&self) -> Vec<String> {
        self.snapshot(Duration::ZERO).all().map(|registration| registration.id.clone()).collect()
    }
}

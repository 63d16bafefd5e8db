//! A fleet of fake servers and its fake registry, all on loopback, and the scenario actions that act on them.

use crate::error::TestbedError;
use crate::fake_registry::{ChangedBy, Registration, Registrations, RegistryPeer};
use crate::fake_server::{FakeServer, FakeServerConfig, ReplicationLog};
use crate::history::SharedHistory;
use crate::lock;
use crate::operator_config::OperatorConfig;
use crate::pooler_process::PoolerProcess;
use crate::scenario::{Action, ServerRole};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

/// The IP address of all servers; the operator's file allows its network.
pub const ALLOWED_IP: Ipv4Addr = Ipv4Addr::new(127, 10, 0, 1);
/// An IP address outside the allowed networks; the pooler must not connect to it.
const DISALLOWED_IP: Ipv4Addr = Ipv4Addr::new(127, 20, 0, 1);
/// How often the pooler polls the registry.
pub const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// How long a server takes to execute each statement.
const STATEMENT_DURATION: Duration = Duration::from_millis(6);
/// The id of the server that is the primary at the start.
const INITIAL_PRIMARY_ID: &str = "s-1";

/// Fake servers with the registry that they are registered in.
pub struct Fleet {
    /// What registry, servers and clients see on their sockets.
    pub history: SharedHistory,
    /// The registrations, shared by all peers of the registry.
    pub registrations: Registrations,
    /// The peers (servers) of the registry.
    pub peers: Vec<RegistryPeer>,
    /// The fake servers, by id.
    pub servers: BTreeMap<String, FakeServer>,
    log: Arc<ReplicationLog>,
    /// How far the clock that registry and servers share has been stepped from the real time, in
    /// milliseconds.
    clock_offset_ms: i64,
    /// Whether the history counts the clearing of an override as the end of a drain.
    counts_cleared_override: bool,
}

impl Fleet {
    /// Starts `servers` servers, `s-1`, `s-2` and so on, of which the first is the primary, and `peers`
    /// registry peers.
    ///
    /// # Errors
    ///
    /// If a server or a peer can't listen on its address.
    pub fn start(servers: usize, peers: usize) -> io::Result<Self> {
        let (history, registrations) = (SharedHistory::default(), Registrations::default());
        let peer = |_| RegistryPeer::start(&registrations, &history);
        let peers = (0..peers).map(peer).collect::<io::Result<_>>()?;
        let mut fleet = Self {
            history,
            registrations,
            peers,
            servers: BTreeMap::new(),
            log: Arc::default(),
            clock_offset_ms: 0,
            counts_cleared_override: false,
        };
        for number in 1..=servers {
            let id = format!("s-{number}");
            let role = if id == INITIAL_PRIMARY_ID { ServerRole::Primary } else { ServerRole::Replica };
            fleet.add_server(&id, role)?;
        }
        fleet.registrations.discard_earlier_snapshots();
        Ok(fleet)
    }

    /// Makes the history count the clearing of an override as the end of a drain, for poolers whose
    /// operator's file has `lifts: "override"`.
    pub fn count_cleared_overrides(&mut self) {
        self.counts_cleared_override = true;
    }

    /// The operator's file for a pooler of this fleet, with `extra` as a further line of its registry
    /// section.
    #[must_use]
    pub fn operator_config(&self, extra: &str) -> String {
        let extra = vec!["longest_pause: \"1s\"".to_owned(), extra.to_owned()];
        let peers = self.peers.iter().map(|peer| peer.address).collect();
        OperatorConfig { peers, interval: POLL_INTERVAL, extra }.to_string()
    }

    /// Performs an action of a scenario.
    ///
    /// # Errors
    ///
    /// If a server can't listen on its address, or the pooler can't be sent its termination signal.
    pub fn perform(&mut self, action: &Action, pooler: &PoolerProcess) -> Result<(), TestbedError> {
        match action {
            Action::Drain(id) => self.set_own_status(id, "OUT_OF_SERVICE"),
            Action::ReturnToService(id) => self.set_own_status(id, "UP"),
            Action::SetStarting(id) => self.set_own_status(id, "STARTING"),
            Action::OverrideStatus(id, status) => self.registrations.override_status(id, status),
            Action::ClearOverride(id) => self.clear_override(id),
            Action::Deregister(id) => drop(self.registrations.deregister(id)),
            Action::AddServer(id, role) => self.add_server(id, *role)?,
            Action::Restart(id) => self.restart(id),
            Action::Move(id) => {
                let address = self.start_unregistered_server(&format!("{id}-moved"), ServerRole::Replica)?;
                self.update_own(id, |registration| registration.port = address.port());
            }
            Action::RegisterTwin(id) => {
                let address = self.start_unregistered_server(&format!("{id}-twin"), ServerRole::Replica)?;
                self.registrations
                    .update(id, ChangedBy::Registry, |registration| registration.port = address.port());
            }
            Action::RegisterOutside(id) => self.register_outside(id)?,
            Action::MoveOutside(id) => {
                let address = self.listen_outside()?;
                self.update_own(id, |registration| registration.set_address(address));
            }
            Action::ClearRegistry => self.registrations.clear(),
            Action::ReregisterAll(pause_ms) => self.reregister_all(Duration::from_millis(*pause_ms)),
            Action::SetBehavior(peer, behavior) => self.peers[*peer].set_behavior(behavior.clone()),
            Action::SetPeerLag(peer, ms) => self.peers[*peer].set_lag(Duration::from_millis(*ms)),
            Action::StepClocks(ms) => self.clock_offset_ms += ms,
            Action::SetReplicationLag(id, ms) => {
                self.servers.get(id).into_iter().for_each(|server| server.set_lag(*ms));
            }
            Action::TakeDown(id) => self.servers.get(id).into_iter().for_each(FakeServer::take_down),
            Action::TerminatePooler => pooler.terminate()?,
        }
        Ok(())
    }

    /// Starts a server without registering it, and returns its address.
    fn start_unregistered_server(&mut self, id: &str, role: ServerRole) -> io::Result<SocketAddr> {
        let config = FakeServerConfig {
            id: id.to_owned(),
            ip: IpAddr::V4(ALLOWED_IP),
            is_primary: role == ServerRole::Primary,
            statement_duration: STATEMENT_DURATION,
        };
        let server = FakeServer::start(config, self.log.clone(), self.history.clone())?;
        let address = server.address;
        self.servers.insert(id.to_owned(), server);
        Ok(address)
    }

    fn add_server(&mut self, id: &str, role: ServerRole) -> io::Result<()> {
        let address = self.start_unregistered_server(id, role)?;
        let is_primary = role == ServerRole::Primary;
        self.registrations.register(Registration::server(
            id,
            address,
            is_primary,
            self.shared_clock_timestamp(),
        ));
        Ok(())
    }

    /// A new timestamp of the clock that registry and servers share, its offset included.
    fn shared_clock_timestamp(&self) -> i64 {
        self.registrations.next_timestamp() + self.clock_offset_ms
    }

    /// Changes a registration as its own server does: the registration's timestamp comes from the server's
    /// clock.
    fn update_own(&self, id: &str, change: impl FnOnce(&mut Registration)) {
        let timestamp = self.shared_clock_timestamp();
        self.registrations.update(id, ChangedBy::Registry, |registration| {
            change(registration);
            registration.dirty_ms = timestamp;
        });
    }

    fn set_own_status(&self, id: &str, status: &str) {
        self.update_own(id, |registration| registration.status = status.to_owned());
    }

    fn clear_override(&self, id: &str) {
        if self.counts_cleared_override {
            lock(&self.history).record_cleared_override(id);
        }
        self.registrations.clear_override(id);
    }

    fn restart(&self, id: &str) {
        let started = self.shared_clock_timestamp().to_string();
        self.update_own(id, |registration| {
            registration.status = "UP".into();
            registration.metadata.insert("startedAtMs".into(), started);
        });
    }

    fn register_outside(&self, id: &str) -> io::Result<()> {
        let address = self.listen_outside()?;
        let mut registration = self.registrations.get(INITIAL_PRIMARY_ID).unwrap_or_default();
        registration.id = id.to_owned();
        registration.dirty_ms = self.shared_clock_timestamp();
        registration.set_address(address);
        self.registrations.register(registration);
        Ok(())
    }

    fn reregister_all(&self, pause: Duration) {
        for (id, server) in &self.servers {
            let is_primary = id == INITIAL_PRIMARY_ID;
            let timestamp = self.shared_clock_timestamp();
            self.registrations.register(Registration::server(id, server.address, is_primary, timestamp));
            std::thread::sleep(pause);
        }
    }

    /// Listens on an address outside the allowed networks; the history records each connection to it.
    fn listen_outside(&self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((DISALLOWED_IP, 0))?;
        let address = listener.local_addr()?;
        let history = self.history.clone();
        std::thread::spawn(move || {
            for _ in listener.incoming() {
                lock(&history).record_outside_connection(address);
            }
        });
        Ok(address)
    }
}

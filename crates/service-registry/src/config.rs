//! What is watched, and how.

use crate::client::{Client, Credentials, RegistryServer, SetupError};
use crate::eureka::mapping::InstanceMapping;
use crate::eureka::poll_schedule::PollSettings;
use pooler_routing::TimeDelta;
use pooler_routing::membership::SelfPreservation;
use std::net::SocketAddr;
use std::time::Duration;

/// A registry, and how it is watched.
#[derive(Clone, Debug)]
pub struct RegistryConfig {
    /// Its servers, the preferred one first.
    pub servers: Vec<RegistryServer>,
    /// How the client authenticates itself and the servers.
    pub credentials: Credentials,
    /// How long a call may take.
    pub call_timeout: Duration,
    /// How it is polled.
    pub polling: PollSettings,
    /// A larger body is not read.
    pub max_body_bytes: u64,
    /// How instances become endpoints.
    pub mapping: InstanceMapping,
    /// When a snapshot is suspected.
    pub self_preservation: SelfPreservation,
    /// The path of snapshots, such as `/apps`.
    pub snapshot_path: String,
    /// How this pooler registers itself, if it does.
    pub self_registration: Option<SelfRegistration>,
}

impl RegistryConfig {
    /// A client for the registry's servers.
    ///
    /// # Errors
    ///
    /// When a file that the credentials name can't be used.
    pub fn client(&self) -> Result<Client, SetupError> {
        let use_tls = self.servers.iter().any(RegistryServer::is_tls);
        Client::new(&self.credentials, use_tls, self.call_timeout)
    }
}

/// How a pooler registers itself.
#[derive(Clone, Debug)]
pub struct SelfRegistration {
    /// The application under which poolers register.
    pub app: String,
    /// The id of this one.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// How often the lease is renewed.
    pub renewal_interval: TimeDelta,
    /// The duration of the lease: after so long without a renewal the registry may evict the registration.
    pub lease_duration: TimeDelta,
}

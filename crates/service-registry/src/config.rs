//! Configuration of a registry, its polling, and the pooler's own registration.

use crate::client::{Client, Credentials, RegistryServer, SetupError};
use crate::eureka::mapping::InstanceMapping;
use crate::eureka::poll_schedule::PollSettings;
use pooler_routing::TimeDelta;
use pooler_routing::membership::SelfPreservation;
use std::net::SocketAddr;
use std::time::Duration;

/// Configuration of a registry and of its polling.
#[derive(Clone, Debug)]
pub struct RegistryConfig {
    /// The servers of the registry, the preferred one first.
    pub servers: Vec<RegistryServer>,
    /// Credentials of the client, and the certificate authorities that it trusts.
    pub credentials: Credentials,
    /// Limit for a whole call: connecting, the request, and the response with its body.
    pub call_timeout: Duration,
    /// Interval, backoff, and use of deltas.
    pub polling: PollSettings,
    /// Limit for a response body, in bytes; a larger body fails the poll.
    pub max_body_bytes: u64,
    /// Rules that map registry instances to endpoints.
    pub mapping: InstanceMapping,
    /// When a snapshot is suspected of missing endpoints that still exist.
    pub self_preservation: SelfPreservation,
    /// The API path of snapshots below the server's URL, such as `/apps`.
    pub snapshot_path: String,
    /// The pooler's own registration; `None` if the pooler does not register itself.
    pub self_registration: Option<SelfRegistration>,
}

impl RegistryConfig {
    /// Creates a client for the registry's servers; reads the files that the credentials name.
    ///
    /// # Errors
    ///
    /// When a file can't be used or TLS can't be set up.
    pub fn build_client(&self) -> Result<Client, SetupError> {
        let use_tls = self.servers.iter().any(RegistryServer::is_tls);
        Client::new(&self.credentials, use_tls, self.call_timeout)
    }
}

/// The registration of the pooler itself.
#[derive(Clone, Debug)]
pub struct SelfRegistration {
    /// The application name under which poolers register.
    pub app: String,
    /// The instance id of this pooler.
    pub id: String,
    /// The address at which the pooler accepts clients.
    pub address: SocketAddr,
    /// The interval between lease renewals.
    pub renewal_interval: TimeDelta,
    /// The lease duration: the registry may evict the registration after this time without a renewal.
    pub lease_duration: TimeDelta,
}

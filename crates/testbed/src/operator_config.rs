//! The operator's file of a pooler that discovers its endpoints only through a registry.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// The `registry` record of an operator's file.
#[derive(Clone, Debug)]
pub struct OperatorConfig {
    /// Addresses of the registry's peers.
    pub peers: Vec<SocketAddr>,
    /// Interval at which the pooler polls the registry.
    pub interval: Duration,
    /// Additional lines of the `registry` record.
    pub extra: Vec<String>,
}

impl fmt::Display for OperatorConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let servers = self.peers.iter().map(|peer| format!("{{url: \"http://{peer}/eureka\"}}"));
        let servers = servers.collect::<Vec<_>>().join(", ");
        writeln!(f, "package pooler\n\nregistry: {{")?;
        writeln!(f, "\tservers: [{servers}]")?;
        writeln!(f, "\tapps: [\"DB\"]")?;
        writeln!(f, "\tnetworks: [{{prefix: \"127.10.0.0/16\"}}]")?;
        writeln!(f, "\tinterval: \"{}ms\"", self.interval.as_millis())?;
        for line in &self.extra {
            writeln!(f, "\t{line}")?;
        }
        writeln!(f, "}}")
    }
}

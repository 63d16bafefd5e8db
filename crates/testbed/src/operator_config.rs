//! The operator's file of a pooler that knows its endpoints from a registry alone.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// The registry's record in an operator's file.
#[derive(Clone, Debug)]
pub struct OperatorConfig {
    /// The registry's servers.
    pub peers: Vec<SocketAddr>,
    /// How often the pooler polls.
    pub interval: Duration,
    /// Further lines of the record.
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

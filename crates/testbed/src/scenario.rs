//! Scenarios: a fleet, its registry, and the timed actions on them.

use crate::fake_registry::ReadBehavior;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};

/// The role of a server that is added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerRole {
    /// The server accepts writes.
    Primary,
    /// The server replicates from the primary.
    Replica,
}

/// An action of a scenario. Servers are identified by id, and peers of the registry by number, starting at 0.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Action {
    /// A server sets its own status to out of service, with a later timestamp.
    Drain(String),
    /// A server sets its own status to up, with a later timestamp.
    ReturnToService(String),
    /// A server sets its own status to starting, with a later timestamp.
    SetStarting(String),
    /// An operator overrides a server's own status with this status; the server's timestamp stays the same.
    OverrideStatus(String, String),
    /// An operator clears the status override of a server; the server's timestamp stays the same.
    ClearOverride(String),
    /// A server deregisters.
    Deregister(String),
    /// A server with this id and role starts and registers.
    AddServer(String, ServerRole),
    /// A server restarts, with a later timestamp and a later start time.
    Restart(String),
    /// A server moves to another address and updates its registration.
    Move(String),
    /// A second server registers under the id of an existing one, with the same timestamp.
    RegisterTwin(String),
    /// An instance with this id registers an address outside of the networks that the operator's file allows.
    RegisterOutside(String),
    /// A registered server updates its registration to an address outside of the allowed networks.
    MoveOutside(String),
    /// The registry loses all registrations.
    ClearRegistry,
    /// All servers register again, one after another with this pause in ms after each.
    ReregisterAll(u64),
    /// Sets how a peer answers reads from now on.
    SetBehavior(usize, ReadBehavior),
    /// Makes a peer serve the registrations as they were this many ms ago.
    SetPeerLag(usize, u64),
    /// Steps the clocks of the registry and of the servers by this many ms.
    StepClocks(i64),
    /// Makes a server lag behind the replication log by this many ms.
    SetReplicationLag(String, i64),
    /// A server goes down.
    TakeDown(String),
    /// The pooler is told to terminate.
    TerminatePooler,
}

/// An action and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Time of the action, in ms after the start of the scenario.
    pub at_ms: u64,
    /// The action to perform.
    pub action: Action,
}

/// The expected outcome of a scenario, in addition to the rules that hold in every scenario.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Expectation {
    /// The minimum share of requests that are served, from 0 to 1.
    pub served: f64,
    /// Servers that receive no statement in the final window of the scenario.
    pub idle: Vec<String>,
    /// Servers that receive statements in the final window of the scenario.
    pub busy: Vec<String>,
    /// Texts that the pooler's log contains.
    pub log: Vec<String>,
}

/// A scenario as read from a scenario file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The name of the scenario, by which the command line selects it.
    pub name: String,
    /// A summary for readers; the testbed does not evaluate it.
    pub description: String,
    /// Number of servers at the start; the first is the primary.
    #[serde(default = "default_servers")]
    pub servers: usize,
    /// Number of peers of the registry.
    #[serde(default = "default_peers")]
    pub peers: usize,
    /// Duration of the scenario, in ms.
    pub duration_ms: u64,
    /// An additional line of the `registry` record in the operator's file.
    #[serde(default)]
    pub operator: String,
    /// Whether peers send XML instead of JSON.
    #[serde(default)]
    pub xml: bool,
    /// The actions, in the order in which they are performed.
    pub steps: Vec<Step>,
    /// The expected outcome.
    #[serde(default)]
    pub expect: Expectation,
}

fn default_servers() -> usize {
    4
}

fn default_peers() -> usize {
    1
}

/// An error in reading a scenario file.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[error("cannot read scenario file {}: {source}", path.display())]
    Read {
        /// Path of the scenario file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file is not a sequence of valid scenarios.
    #[error("invalid scenarios in {}: {source}", path.display())]
    Parse {
        /// Path of the scenario file.
        path: PathBuf,
        /// The JSON error.
        source: serde_json::Error,
    },
}

const EUREKA_SCENARIOS_PATH: &str = "scenarios/eureka.json";

impl Scenario {
    /// Reads a scenario file: a sequence of JSON objects, one for each scenario.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or is not a sequence of valid scenarios.
    pub fn load(path: &Path) -> Result<Vec<Self>, ScenarioError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ScenarioError::Read { path: path.to_owned(), source })?;
        Self::parse(path, &text)
    }

    /// The built-in scenarios of a Eureka registry.
    ///
    /// # Errors
    ///
    /// Returns an error if a built-in scenario is malformed.
    pub fn eureka() -> Result<Vec<Self>, ScenarioError> {
        Self::parse(Path::new(EUREKA_SCENARIOS_PATH), include_str!("../scenarios/eureka.json"))
    }

    fn parse(path: &Path, text: &str) -> Result<Vec<Self>, ScenarioError> {
        let scenarios: Result<Vec<Self>, _> = serde_json::Deserializer::from_str(text).into_iter().collect();
        scenarios.map_err(|source| ScenarioError::Parse { path: path.to_owned(), source })
    }
}

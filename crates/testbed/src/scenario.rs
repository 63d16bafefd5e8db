//! Scenarios: a fleet, its registry, and what happens to them when.

use crate::fake_registry::ReadBehavior;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};

/// The role of a server that is added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerRole {
    /// It takes writes.
    Primary,
    /// It follows the primary.
    Replica,
}

/// Something that happens. Servers are named by their ids, the registry's peers by their numbers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Action {
    /// A server sets its own status to out of service, with a later timestamp.
    Drain(String),
    /// A server sets its own status to up, with a later timestamp.
    ReturnToService(String),
    /// A server sets its own status to starting, with a later timestamp.
    SetStarting(String),
    /// An operator sets a status over a server's own; the server's timestamp stays.
    OverrideStatus(String, String),
    /// An operator takes that back; the server's timestamp stays.
    ClearOverride(String),
    /// A server deregisters.
    Deregister(String),
    /// A server of this id starts and registers.
    AddServer(String, ServerRole),
    /// A server restarts: with a later timestamp and a later start.
    Restart(String),
    /// A server listens elsewhere from now on, and updates its registration.
    Move(String),
    /// Another server registers under this id, with the same timestamp.
    RegisterTwin(String),
    /// Something registers outside of the networks in which servers may be.
    RegisterOutside(String),
    /// A known server updates its registration to an address outside of them.
    MoveOutside(String),
    /// The registry loses all registrations.
    ClearRegistry,
    /// All servers that run register anew, one after another with so many ms between.
    ReregisterAll(u64),
    /// A peer answers reads so from now on.
    SetBehavior(usize, ReadBehavior),
    /// A peer knows nothing newer than so many ms.
    SetPeerLag(usize, u64),
    /// The clock of the registry and of the servers steps by so many ms.
    StepClocks(i64),
    /// A server falls behind the log by so many ms.
    SetReplicationLag(String, i64),
    /// A server goes down.
    TakeDown(String),
    /// The pooler is told to end.
    TerminatePooler,
}

/// An action, and when it happens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// After so many ms.
    pub at_ms: u64,
    /// What happens.
    pub action: Action,
}

/// What must come out, beside the rules.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Expectation {
    /// The least share of requests that is served.
    pub served: f64,
    /// Servers that receive nothing in the last part of the run.
    pub idle: Vec<String>,
    /// Servers that do receive something there.
    pub busy: Vec<String>,
    /// Texts that the log holds.
    pub log: Vec<String>,
}

/// A scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What it is about.
    pub description: String,
    /// How many servers there are at the start; the first is the primary.
    #[serde(default = "default_servers")]
    pub servers: usize,
    /// How many peers the registry has.
    #[serde(default = "default_peers")]
    pub peers: usize,
    /// How long it lasts.
    pub duration_ms: u64,
    /// A further line of the registry's record in the operator's file.
    #[serde(default)]
    pub operator: String,
    /// Whether peers write XML.
    #[serde(default)]
    pub xml: bool,
    /// What happens.
    pub steps: Vec<Step>,
    /// What must come out.
    #[serde(default)]
    pub expect: Expectation,
}

fn default_servers() -> usize {
    4
}

fn default_peers() -> usize {
    1
}

/// Why a file of scenarios is of no use.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// It can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: std::io::Error,
    },
    /// It holds something else than scenarios.
    #[error("{}: {source}", path.display())]
    Parse {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: serde_json::Error,
    },
}

const EUREKA_SCENARIOS: &str = "scenarios/eureka.json";

impl Scenario {
    /// Reads scenarios, one JSON object after another, from a file.
    ///
    /// # Errors
    ///
    /// When it can't be read, or holds something else.
    pub fn load(path: &Path) -> Result<Vec<Self>, ScenarioError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ScenarioError::Read { path: path.to_owned(), source })?;
        Self::parse(path, &text)
    }

    /// The built-in scenarios of a Eureka registry.
    ///
    /// # Errors
    ///
    /// When one is malformed.
    pub fn eureka() -> Result<Vec<Self>, ScenarioError> {
        Self::parse(Path::new(EUREKA_SCENARIOS), include_str!("../scenarios/eureka.json"))
    }

    fn parse(path: &Path, text: &str) -> Result<Vec<Self>, ScenarioError> {
        let scenarios: Result<Vec<Self>, _> = serde_json::Deserializer::from_str(text).into_iter().collect();
        scenarios.map_err(|source| ScenarioError::Parse { path: path.to_owned(), source })
    }
}

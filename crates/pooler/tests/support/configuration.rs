//! The platform's configuration of a pooler under test.

use super::{FakeDiscovery, snapshot};
use serde_json::{Value, json};
use std::fmt;

/// The discovery generation of the endpoint list in a configuration.
const KNOWN_GENERATION: u64 = 41;
/// The descriptors that the pooler may hold, unless a test sets another number.
const DEFAULT_SOCKETS: usize = 1_024;

/// The JSON document of a pooler's configuration file.
#[derive(Clone)]
pub struct PoolerConfig {
    json: Value,
}

impl PoolerConfig {
    /// A configuration with this discovery service, and with `known` as its endpoint list.
    pub fn new(discovery: &FakeDiscovery, known: Vec<Value>) -> Self {
        let json = json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": discovery.address.to_string(),
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": DEFAULT_SOCKETS},
            "peers": [], "known": snapshot(KNOWN_GENERATION, known), "settings": settings()});
        Self { json }
    }

    /// Sets the number of descriptors that the pooler may hold.
    pub fn sockets(self, count: usize) -> Self {
        self.with("/limits/sockets", count)
    }

    /// Replaces the value at a JSON pointer, which must exist.
    pub fn with(mut self, pointer: &str, value: impl Into<Value>) -> Self {
        *self.json.pointer_mut(pointer).unwrap() = value.into();
        self
    }

    /// Sets a key of the settings' `Rules`, which need not exist yet.
    pub fn with_rule(mut self, key: &str, value: impl Into<Value>) -> Self {
        self.json["settings"]["Rules"][key] = value.into();
        self
    }

    /// Sets a key of every request class.
    pub fn with_every_class(mut self, key: &str, value: impl Into<Value>) -> Self {
        let value = value.into();
        for class in self.json["settings"]["Lanes"].as_array_mut().unwrap() {
            class[key] = value.clone();
        }
        self
    }
}

impl fmt::Display for PoolerConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.json.fmt(f)
    }
}

fn settings() -> Value {
    let class = |name: &str, idempotency: &str, priority_weight: f64| {
        json!({"Name": name, "Effect": idempotency, "Objective": 8000.0, "Deadline": 9000.0,
               "Worth": priority_weight, "LateValue": 0.2, "KeyScope": "all", "Stream": false})
    };
    json!({"FleetSize": 1, "Zone": "adum", "Discovery": "push", "Unknown": {"Key": [1, 2]},
        "Lanes": [class("bundle-menu", "retryable", 3.0), class("my-recent", "retryable", 1.0),
                  class("top-up", "fragile", 3.0)],
        "FamilyInfo": {"NeedsByClass": ["eventual", "causal", "mutate"], "OldestData": [0.0, 0.0, 0.0],
                       "WhenBehind": "await", "SessionMarks": "kept", "Zero": 530002038.635},
        "Report": {"Fields": ["x0", "x1"], "How": "probe"},
        "Limits": {"SendCap": 10, "MayDuplicate": false, "Probing": true, "Cancel": true, "RetryAfter": true,
                   "MaxRetryAfter": 2000.0, "DialTimeout": 20000.0, "Keepalive": 60000.0},
        "Rules": {"DrainGrace": 250.0, "ColdFrom": 0.16, "Cold": 16000.0, "FallMultiple": 2.5, "Fall": 3000.0}})
}

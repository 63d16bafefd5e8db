//! `pooler members`: polls the service registry of an operator's file, and prints the endpoints that a pooler
//! with this file would use.

use crate::cli::ListEndpointsArguments;
use crate::error::CommandError;
use crate::registry_config::registry_config;
use futures_lite::future::block_on;
use pooler_operator_config::OperatorConfig;
use pooler_routing::membership::{Membership, MergeResult, ResolvedEndpoint, SourceId, WatchEvent};
use pooler_routing::{EndpointId, Lifecycle, TimeDelta, Timestamp};
use pooler_service_registry::client::CallError;
use pooler_service_registry::{EventSink, RegistryCounters, RegistryWatcher};
use serde_json::json;
use std::cell::RefCell;
use std::fmt;
use std::io::Write;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

/// The registry's source id; this command has no other endpoint source.
const REGISTRY: SourceId = SourceId(0);

/// Polls the registry that the operator's file configures once, and prints its endpoints.
pub fn list_endpoints(arguments: &ListEndpointsArguments) -> Result<(), CommandError> {
    let operator = OperatorConfig::load(&arguments.operator)?;
    let settings = operator.registry.ok_or(CommandError::NoRegistry)?;
    let config = registry_config(&settings, None)?;
    let servers = config.servers.len();
    let sink = MembershipSink::default();
    let counters = Rc::new(RegistryCounters::default());
    let mut watcher = RegistryWatcher::new(config, 0, sink.clone(), counters.clone())?;
    block_on(poll_until_success(&mut watcher, servers))?;
    let membership = sink.0.borrow();
    let output = if arguments.json {
        json_report(&membership, &counters)
    } else {
        table_report(&membership, &counters)
    };
    std::io::stdout().write_all(output.as_bytes())?;
    Ok(())
}

/// Polls one registry server after another until a poll succeeds, at most `servers` times. Returns the error
/// of the last poll if all fail.
async fn poll_until_success(
    watcher: &mut RegistryWatcher<MembershipSink>,
    servers: usize,
) -> Result<(), CallError> {
    let mut result = Ok(());
    for _ in 0..servers {
        result = watcher.poll().await.map(drop);
        if result.is_ok() {
            break;
        }
    }
    result
}

/// Collects the registry's watch events in a membership that has no other source.
#[derive(Clone)]
struct MembershipSink(Rc<RefCell<Membership>>);

impl Default for MembershipSink {
    fn default() -> Self {
        Self(Rc::new(RefCell::new(Membership::new(TimeDelta::from_millis(0), usize::MAX))))
    }
}

impl EventSink for MembershipSink {
    fn now(&self) -> Timestamp {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Timestamp(i64::try_from(now.as_micros()).unwrap_or(i64::MAX))
    }

    fn apply(&self, event: WatchEvent) -> MergeResult {
        self.0.borrow_mut().merge(self.now(), REGISTRY, event)
    }

    /// The command lists the endpoints once, and no limit is configured for it.
    fn reserve_memory(&self, _: usize) -> bool {
        true
    }

    fn log(&self, line: &dyn fmt::Display) {
        let _ = writeln!(std::io::stderr(), "{line}");
    }
}

/// The printed name of a lifecycle. Operators' scripts depend on these names, and on the keys of
/// [`json_report`].
fn state_name(lifecycle: Lifecycle) -> &'static str {
    match lifecycle {
        Lifecycle::Active => "up",
        Lifecycle::Draining => "draining",
        Lifecycle::Removed => "gone",
    }
}

fn json_report(membership: &Membership, counters: &RegistryCounters) -> String {
    let endpoint_json = |(id, endpoint): (&EndpointId, &ResolvedEndpoint)| {
        json!({
            "member": &*id.0,
            "address": endpoint.address.map(|address| address.to_string()),
            "group": endpoint.group.0,
            "zone": endpoint.zone,
            "state": state_name(endpoint.lifecycle),
            "primary": endpoint.primary,
            "started_ms": endpoint.started_at.map(|at| at.0 / 1_000),
        })
    };
    let report = json!({
        "members": membership.iter().map(endpoint_json).collect::<Vec<_>>(),
        "refused": counters.rejected_instances.get(),
        "outside": counters.outside_networks.get(),
        "unreadable": counters.unreadable_instances.get(),
    });
    format!("{report}\n")
}

fn table_report(membership: &Membership, counters: &RegistryCounters) -> String {
    let header = TableRow {
        id: "MEMBER",
        address: "ADDRESS",
        group: "GROUP",
        zone: "ZONE",
        state: "STATE",
        role: "ROLE",
    };
    let mut table = header.to_string();
    for (id, endpoint) in membership.iter() {
        let row = TableRow {
            id: &id.0,
            address: &endpoint.address.map_or("-".to_owned(), |address| address.to_string()),
            group: &endpoint.group.0.to_string(),
            zone: if endpoint.zone.is_empty() { "-" } else { &endpoint.zone },
            state: state_name(endpoint.lifecycle),
            role: if endpoint.primary { "primary" } else { "-" },
        };
        table += &row.to_string();
    }
    let (rejected, outside) = (counters.rejected_instances.get(), counters.outside_networks.get());
    if rejected > 0 {
        table +=
            &format!("refused instances: {rejected}, {outside} of them outside of the configured networks\n");
    }
    table
}

/// A row of the table, or its header.
struct TableRow<'a> {
    id: &'a str,
    address: &'a str,
    group: &'a str,
    zone: &'a str,
    state: &'a str,
    role: &'a str,
}

impl fmt::Display for TableRow<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { id, address, group, zone, state, role } = self;
        writeln!(f, "{id:<24} {address:<24} {group:>6} {zone:<12} {state:<9} {role}")
    }
}

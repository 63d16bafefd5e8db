//! A demonstration: a fleet that the pooler discovers only through a registry, and a server that drains and
//! returns to service at regular intervals.

use crate::clients::{ClientLoad, RequestClass};
use crate::error::TestbedError;
use crate::fleet::Fleet;
use crate::history::RuleReport;
use crate::lock;
use crate::pooler_process::PoolerProcess;
use crate::scenario::Action;
use std::path::Path;
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);
const SERVERS: usize = 4;
const CLIENTS: usize = 4;
const CLIENT_PAUSE: Duration = Duration::from_millis(10);
/// Length of a cycle, in seconds. In each cycle the server [`DRAINED_SERVER`] drains once.
const CYCLE_S: u64 = 12;
/// Seconds into each cycle at which the server starts to drain.
const DRAIN_AT_S: u64 = 4;
/// Seconds into each cycle at which the server returns to service.
const RETURN_AT_S: u64 = 8;
const DRAINED_SERVER: &str = "s-3";

/// Runs the demonstration for `seconds`, or until it is interrupted if `seconds` is 0.
///
/// # Errors
///
/// Returns an error if the fleet or the pooler cannot be started, or the pooler does not terminate.
pub fn run(program: &Path, seconds: u64) -> Result<(), TestbedError> {
    let mut fleet = Fleet::start(SERVERS, 1)?;
    let operator = fleet.operator_config("");
    let mut pooler = PoolerProcess::start_with_registry(program, &operator)?;
    println!("The operator's file of the pooler:\n\n{operator}");
    print_addresses(&fleet, &pooler);
    let load = ClientLoad::start(pooler.address, CLIENTS, CLIENT_PAUSE, 1, &fleet.history);
    let started = Instant::now();
    let mut before = lock(&fleet.history).report();
    for second in 1.. {
        if seconds > 0 && second > seconds {
            break;
        }
        if second % CYCLE_S == DRAIN_AT_S {
            println!("      {DRAINED_SERVER} drains");
            fleet.perform(&Action::Drain(DRAINED_SERVER.into()), &pooler)?;
        }
        if second % CYCLE_S == RETURN_AT_S {
            println!("      {DRAINED_SERVER} returns to service");
            fleet.perform(&Action::ReturnToService(DRAINED_SERVER.into()), &pooler)?;
        }
        let until = SECOND * u32::try_from(second).unwrap_or(u32::MAX);
        std::thread::sleep(until.saturating_sub(started.elapsed()));
        let now = lock(&fleet.history).report();
        print_second(second, &fleet, &before, &now);
        before = now;
    }
    load.stop();
    pooler.terminate()?;
    pooler.wait().map(drop)
}

fn print_addresses(fleet: &Fleet, pooler: &PoolerProcess) {
    let (registry, address) = (fleet.peers[0].address, pooler.address);
    let (host, port) = (address.ip(), address.port());
    let classes = RequestClass::ALL.map(RequestClass::name).join(", ");
    println!("Registry: curl -H 'Accept: application/json' http://{registry}/eureka/apps");
    println!("Pooler:   psql 'host={host} port={port} user=backend dbname=store sslmode=disable'");
    println!(
        "Query:    SELECT content FROM kv WHERE name = 'acc1' /* id=mine1,c=usage-history,d=900,cluster=2 */;"
    );
    println!("(each request needs a unique id; the request classes are {classes})\n");
}

fn print_second(second: u64, fleet: &Fleet, before: &RuleReport, now: &RuleReport) {
    let sent = |id: &String| {
        let count = |report: &RuleReport| report.sends.get(id).copied().unwrap_or(0);
        format!("{id} {:>4}", count(now) - count(before))
    };
    let sends: Vec<String> = fleet.servers.keys().map(sent).collect();
    println!(
        "{second:>4}s requests {:>4}  served {:>4}  sent to {}  late sends to draining servers {}",
        now.requests - before.requests,
        now.served - before.served,
        sends.join("  "),
        now.drain_violations
    );
}

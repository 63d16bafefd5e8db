//! Something to look at: a fleet that is known from a registry alone, and a drain before the reader's eyes.

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
/// A drain begins and ends so many seconds into each round.
const ROUND_S: u64 = 12;
const DRAIN_AT_S: u64 = 4;
const RETURN_AT_S: u64 = 8;
const DRAINED: &str = "s-3";

/// Runs it until it is interrupted, or for so many seconds; 0 is for ever.
///
/// # Errors
///
/// When something can't be started.
pub fn run(program: &Path, seconds: u64) -> Result<(), TestbedError> {
    let mut fleet = Fleet::start(SERVERS, 1)?;
    let operator = fleet.operator_config("");
    let mut pooler = PoolerProcess::start_with_registry(program, &operator)?;
    println!("The operator's file of this pooler:\n\n{operator}");
    print_addresses(&fleet, &pooler);
    let load = ClientLoad::start(pooler.address, CLIENTS, CLIENT_PAUSE, 1, &fleet.history);
    let started = Instant::now();
    let mut before = lock(&fleet.history).report();
    for second in 1.. {
        if seconds > 0 && second > seconds {
            break;
        }
        if second % ROUND_S == DRAIN_AT_S {
            println!("      {DRAINED} drains");
            fleet.perform(&Action::Drain(DRAINED.into()), &pooler)?;
        }
        if second % ROUND_S == RETURN_AT_S {
            println!("      {DRAINED} is up again");
            fleet.perform(&Action::ReturnToService(DRAINED.into()), &pooler)?;
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
    println!("The registry: curl -H 'Accept: application/json' http://{registry}/eureka/apps");
    println!("The pooler:   psql 'host={host} port={port} user=backend dbname=store sslmode=disable'");
    println!(
        "and there:    SELECT content FROM kv WHERE name = 'acc1' /* id=mine1,c=usage-history,d=900,cluster=2 */;"
    );
    println!("(each request has an id of its own; classes are {classes})\n");
}

fn print_second(second: u64, fleet: &Fleet, before: &RuleReport, now: &RuleReport) {
    let sent = |id: &String| {
        let count = |report: &RuleReport| report.sends.get(id).copied().unwrap_or(0);
        format!("{id} {:>4}", count(now) - count(before))
    };
    let sends: Vec<String> = fleet.servers.keys().map(sent).collect();
    println!(
        "{second:>4}s asked {:>4}  served {:>4}  sent to {}  late to a draining server {}",
        now.requests - before.requests,
        now.served - before.served,
        sends.join("  "),
        now.drain_violations
    );
}

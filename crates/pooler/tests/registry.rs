//! The pooler with a service registry, against fake servers and fake registry peers.
//!
//! No test depends on timing. The tests wait for polls instead: the pooler polls again only after it has
//! applied the previous response.

use pooler_testbed::clients::{Client, RequestClass};
use pooler_testbed::fake_registry::{ReadBehavior, RegistryPeer};
use pooler_testbed::fleet::Fleet;
use pooler_testbed::history::RequestOutcome;
use pooler_testbed::pooler_process::PoolerProcess;
use pooler_testbed::scenario::Action;
use pooler_testbed::{lock, wait_until};
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_pooler");
/// The number of reads in a check: enough that each server in service receives some.
const READ_COUNT: usize = 60;
const READ_CLASS: RequestClass = RequestClass::UsageHistory;

/// A running pooler with a service registry, a fleet of fake servers, and a client of the pooler.
struct RegistryTest {
    fleet: Fleet,
    pooler: PoolerProcess,
    client: Client,
}

/// Starts a fleet, and a pooler with these lines in the registry settings of its operator's file; waits until
/// the pooler knows the registry's instances.
fn start_test(servers: usize, peers: usize, registry_settings: &str) -> RegistryTest {
    let fleet = Fleet::start(servers, peers).unwrap();
    let operator = fleet.operator_config(registry_settings);
    let pooler = PoolerProcess::start_with_registry(Path::new(PROGRAM), &operator).unwrap();
    let client = Client::new(pooler.address, 1, 1, fleet.history.clone());
    RegistryTest { fleet, pooler, client }
}

impl RegistryTest {
    fn perform(&mut self, action: Action) {
        self.fleet.perform(&action, &self.pooler).unwrap();
    }

    /// Waits until the pooler has applied all that a peer knows now. It waits for two more polls of this
    /// peer: the response to the first poll contains what the peer knows, and the second poll is sent only
    /// after that response has been applied.
    fn wait_until_applied(&self, peer: usize) {
        let poll_count = |peer: &RegistryPeer| peer.received().reads();
        let before = poll_count(&self.fleet.peers[peer]);
        wait_until("the peer is polled twice", || poll_count(&self.fleet.peers[peer]) >= before + 2).unwrap();
    }

    /// Sends `count` reads, and returns how many statements each server received meanwhile, by server id.
    fn reads_by_server(&mut self, count: usize) -> BTreeMap<String, usize> {
        let statement_counts = |fleet: &Fleet| -> Vec<usize> {
            fleet.servers.keys().map(|name| lock(&fleet.history).sends(name)).collect()
        };
        let before = statement_counts(&self.fleet);
        for _ in 0..count {
            assert_eq!(self.client.request(READ_CLASS), RequestOutcome::Served);
        }
        let counts = statement_counts(&self.fleet).into_iter().zip(before).map(|(now, before)| now - before);
        self.fleet.servers.keys().cloned().zip(counts).collect()
    }

    /// Sends [`READ_COUNT`] reads, and returns how many statements this server received meanwhile.
    fn reads_of(&mut self, server: &str) -> usize {
        self.reads_by_server(READ_COUNT).get(server).copied().unwrap_or(0)
    }

    /// Sends [`READ_COUNT`] reads, and checks that at least three servers received some of them.
    fn assert_three_servers_in_use(&mut self, situation: &str) {
        let reads = self.reads_by_server(READ_COUNT);
        let in_use = reads.values().filter(|count| **count > 0).count();
        assert!(in_use >= 3, "{situation}: {reads:?}");
    }

    /// Checks the invariants of all tests: every request is answered, no server is sent requests past its
    /// drain grace or outside of the networks, no read is stale, and no write runs twice.
    fn assert_invariants_hold(&self) {
        let report = lock(&self.fleet.history).report();
        assert_eq!((report.drain_violations, report.stale_reads, report.duplicate_writes), (0, 0, 0));
        assert_eq!((report.sends_outside_networks, report.answered), (0, report.requests));
    }
}

#[test]
fn a_drain_persists_while_another_peer_still_lists_the_server_as_up() {
    let mut test = start_test(3, 2, "");
    test.fleet.peers[1].set_lag(Duration::from_secs(3_600));
    assert!(test.reads_of("s-2") > 0);
    test.perform(Action::Drain("s-2".into()));
    test.wait_until_applied(0);
    assert_eq!(test.reads_of("s-2"), 0);
    test.perform(Action::SetBehavior(0, ReadBehavior::CloseConnections));
    test.wait_until_applied(1);
    assert_eq!(test.reads_of("s-2"), 0, "the other peer's record is older than the drain");
    // The server changes its own status, which gives it a later timestamp; the other peer no longer lags.
    test.fleet.peers[1].set_lag(Duration::ZERO);
    test.perform(Action::ReturnToService("s-2".into()));
    test.wait_until_applied(1);
    assert!(test.reads_of("s-2") > 0);
    test.assert_invariants_hold();
}

#[test]
fn faulty_registry_responses_remove_no_server() {
    let behaviors = [
        ReadBehavior::Empty,
        ReadBehavior::FirstFew(1),
        ReadBehavior::TruncatedBody,
        ReadBehavior::Noise(1),
        ReadBehavior::DeeplyNested(10_000),
        ReadBehavior::Status { code: 500, retry_after: None },
        ReadBehavior::WrongHash,
        ReadBehavior::LostDelta,
    ];
    let mut test = start_test(4, 1, "");
    for behavior in behaviors {
        test.perform(Action::SetBehavior(0, behavior.clone()));
        test.wait_until_applied(0);
        test.assert_three_servers_in_use(&format!("{behavior:?}"));
        test.perform(Action::SetBehavior(0, ReadBehavior::Normal));
        test.wait_until_applied(0);
    }
    // The registry loses all registrations, and gets them back one instance after another.
    test.perform(Action::ClearRegistry);
    test.wait_until_applied(0);
    for _ in 0..2 {
        test.perform(Action::ReregisterAll(0));
        test.wait_until_applied(0);
        test.assert_three_servers_in_use("after all servers registered again");
    }
    test.assert_invariants_hold();
}

#[test]
fn registry_faults_are_logged_with_the_texts_that_alerts_match() {
    let faults = [
        (ReadBehavior::WrongHash, "does not agree"),
        (ReadBehavior::Empty, "is not believed; carrying on with what is known"),
        (ReadBehavior::Status { code: 500, retry_after: None }, "status 500; carrying on with what is known"),
    ];
    let mut test = start_test(4, 1, "");
    for (behavior, text) in faults {
        test.perform(Action::SetBehavior(0, behavior));
        assert!(test.pooler.wait_for_log(text).is_ok(), "{text}");
        test.perform(Action::SetBehavior(0, ReadBehavior::Normal));
        test.wait_until_applied(0);
    }
    test.assert_invariants_hold();
}

#[test]
fn a_deregistered_or_moved_server_receives_no_requests_at_its_old_address() {
    let mut test = start_test(4, 1, "");
    test.perform(Action::Deregister("s-2".into()));
    test.perform(Action::Move("s-3".into()));
    test.perform(Action::MoveOutside("s-4".into()));
    test.perform(Action::RegisterOutside("s-9".into()));
    test.wait_until_applied(0);
    let reads = test.reads_by_server(READ_COUNT);
    assert_eq!((reads["s-2"], reads["s-3"], reads["s-4"]), (0, 0, 0), "{reads:?}");
    assert!(reads["s-3-moved"] > 0, "{reads:?}");
    assert!(test.pooler.wait_for_log("lies outside of the networks").is_ok());
    test.assert_invariants_hold();
}

#[test]
fn the_pooler_registers_renews_announces_its_drain_and_deregisters() {
    let mut test = start_test(2, 1, "register: {app: \"POOLER\", renew: \"1s\", expires: \"3s\"}");
    let peer = test.fleet.peers[0].clone();
    let has_received = |request: &str| peer.received().lease_requests.iter().any(|line| line == request);
    wait_until("the pooler registers as UP", || has_received("POST POOLER UP")).unwrap();
    wait_until("the pooler renews its registration", || has_received("PUT POOLER UP")).unwrap();
    let registrations = test.fleet.registrations.clone();
    let address = test.pooler.address.to_string();
    let id = registrations.ids().into_iter().find(|id| id.contains(&address)).unwrap();
    // The pooler registers again after the registry has lost its registration.
    registrations.deregister(&id);
    wait_until("the pooler registers again", || registrations.get(&id).is_some()).unwrap();
    let before = peer.received().lease_requests.len();
    test.pooler.terminate().unwrap();
    wait_until("the pooler announces its drain", || peer.received().lease_requests.len() > before).unwrap();
    assert!(test.pooler.wait().unwrap().success());
    let requests: Vec<String> = peer.received().lease_requests.split_off(before);
    let changes: Vec<&str> =
        requests.iter().map(String::as_str).filter(|request| !request.starts_with("PUT")).collect();
    assert_eq!(changes, ["POST POOLER OUT_OF_SERVICE", "DELETE POOLER"]);
    assert!(registrations.get(&id).is_none());
}

#[test]
fn an_unresponsive_registry_delays_neither_requests_nor_shutdown() {
    let mut test = start_test(2, 1, "register: {app: \"POOLER\", renew: \"1s\", expires: \"3s\"}");
    test.perform(Action::SetBehavior(0, ReadBehavior::Silent));
    assert_eq!(test.reads_by_server(20).values().sum::<usize>(), 20);
    test.pooler.terminate().unwrap();
    assert!(test.pooler.wait().unwrap().success());
}

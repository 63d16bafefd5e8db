//! Limits on the staleness of the data that a read returns.

use crate::support::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

#[test]
fn staleness_is_checked_again_after_a_slow_connect() {
    // The replica closes the connection after each load report, so the read needs a new one, and the second
    // connect completes late.
    let (gate, waiter) = Gate::new();
    let accepted = AtomicUsize::new(0);
    let on_accept = move || {
        if accepted.fetch_add(1, Ordering::SeqCst) > 0 {
            waiter.wait();
        }
    };
    let history = Arc::new(Mutex::new(Vec::new()));
    let recorded = history.clone();
    let server = FakeServer::with_accept_hook("s-1", on_accept, move |stream, statement| {
        let is_health_check = statement.starts_with("SHOW");
        recorded.lock().unwrap().push(if is_health_check { "report" } else { "read" });
        if is_health_check {
            let now = unix_time().as_secs_f64();
            stream.write_load_report(&format!("x0={now},x1=0"), "replica");
            AfterStatement::Close
        } else {
            stream.write_row(b"s-1", "replica", ANY_POSITION_MS);
            AfterStatement::KeepOpen
        }
    });
    let pooler = PoolerProcess::with_server(&server, "replica", |config| {
        config
            .with("/settings/FamilyInfo/NeedsByClass/1", "lag_bound")
            .with("/settings/FamilyInfo/OldestData/1", 300.0)
            .with("/settings/FamilyInfo/WhenBehind", "none")
    });
    let (mut client, mut other) = (Client::connect(&pooler), Client::connect(&pooler));
    client.send_query(&read_statement("1").replace("bundle-menu", "my-recent"));
    pooler.wait_for_counter(" attempts=1 ");
    // This request was sent after the first load report. Once its deadline has passed, the report is more
    // than 300 ms old.
    assert!(other.query(&with_deadline(&read_statement("2"), 300)).sql_state.is_some());
    gate.open();
    assert_eq!(client.read_response().text(), Some("s-1"));
    let history = history.lock().unwrap();
    assert_eq!(history[..], ["report", "report", "read"], "a new load report must precede the read");
}

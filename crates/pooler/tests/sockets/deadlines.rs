//! Request deadlines.

use crate::support::*;
use std::time::Instant;

#[test]
fn the_deadline_of_a_pipelined_request_counts_from_its_arrival() {
    let (gate, server) = FakeServer::with_gated_responses("s-1");
    let pooler = PoolerProcess::with_replica(&server);
    let short_read = |id: &str| with_deadline(&read_statement(id), 300);
    let (mut pipelining, mut other) = (Client::connect(&pooler), Client::connect(&pooler));
    pipelining.stream.write_bytes(&query_bytes([read_statement("1"), short_read("2")]));
    server.wait_for_statement();
    // This request was sent after the pipelined one and has the same deadline of 300 ms. The deadline of the
    // pipelined request has therefore passed once this request is rejected.
    assert_eq!(other.query(&short_read("3")).sql_state(), Some("53300"));
    gate.open();
    assert_eq!(pipelining.read_response().text(), Some("s-1"));
    assert_eq!(
        pipelining.read_response().sql_state(),
        Some("53300"),
        "the pipelined request must be rejected: its deadline has passed"
    );
    assert!(
        !server.statements().iter().any(|statement| statement.contains("id=2,")),
        "the pipelined request must not be sent"
    );
    // A request that has just arrived has its whole deadline left.
    assert_eq!(pipelining.query(&read_statement("4")).text(), Some("s-1"));
}

#[test]
fn an_attempt_passes_no_more_than_the_remaining_time_to_the_server() {
    // The server completes no startup before the gate is open: the connect completes late.
    let (gate, waiter) = Gate::new();
    let server = FakeServer::with_accept_hook(
        "s-1",
        move || waiter.wait(),
        |stream, _| {
            stream.write_row(b"s-1", "replica", ANY_POSITION_MS);
            AfterStatement::KeepOpen
        },
    );
    let pooler = PoolerProcess::with_replica(&server);
    let (mut client, mut other) = (Client::connect(&pooler), Client::connect(&pooler));
    client.send_query(&read_statement("1"));
    pooler.wait_for_counter(" server_connections_opened=1 ");
    // This request was sent after the first one. Once its deadline has passed, the first one has been waiting
    // for at least 300 ms.
    assert!(other.query(&with_deadline(&read_statement("2"), 300)).sql_state.is_some());
    gate.open();
    assert_eq!(client.read_response().text(), Some("s-1"));
    let passed_ms = server.statements().iter().find_map(|statement| {
        let (_, rest) = statement.split_once("id=1,")?;
        rest.split_once(",d=")?.1.split_once(',')?.0.parse::<u64>().ok()
    });
    assert!(
        passed_ms.is_some_and(|passed_ms| passed_ms <= 7_700),
        "deadline passed to the server, in ms: {passed_ms:?}; at most 7,700 of 8,000 were left"
    );
}

#[test]
fn a_connect_that_completes_after_the_deadline_sends_nothing() {
    let (gate, server) = FakeServer::with_gated_startup("s-1");
    let pooler = PoolerProcess::with_replica(&server);
    let mut client = Client::connect(&pooler);
    for (id, statement) in [("1", read_statement("1")), ("2", write_statement("2"))] {
        let response = client.query(&with_deadline(&statement, 200));
        // Nothing was sent, so the request is rejected and may be retried (53300). Once it is too late for a
        // rejection, the request fails (08007).
        let allowed = ["53300", "08007"];
        assert!(response.sql_state().is_some_and(|code| allowed.contains(&code)), "{id}: {response:?}");
    }
    gate.open();
    assert_eq!(client.query(&read_statement("3")).text(), Some("s-1"));
    let statements = server.statements();
    assert!(statements.iter().all(|statement| statement.contains("id=3,")), "{statements:?}");
}

#[test]
fn a_request_whose_deadline_passed_while_the_process_was_stopped_is_not_sent() {
    for round in 0..5 {
        let (gate, server) = FakeServer::with_gated_startup("s-1");
        let pooler = PoolerProcess::with_replica(&server);
        let mut client = Client::connect(&pooler);
        client.send_query(&with_deadline(&read_statement("late"), 200));
        assert!(pooler.reaches_counter(" server_connections_opened=1 "));
        pooler.while_stopped(|| gate.open());
        assert_eq!(client.read_response().sql_state(), Some("53300"));
        assert_eq!(client.query(&read_statement("next")).text(), Some("s-1"));
        let statements = server.statements();
        assert!(
            statements.iter().all(|statement| statement.contains("id=next,")),
            "round {round}: {statements:?}"
        );
    }
}

#[test]
fn a_request_with_almost_no_time_left_is_answered_at_once() {
    let server = FakeServer::answering("s-1", "master");
    let pooler = PoolerProcess::with_primary(&server);
    let mut client = Client::connect(&pooler);
    for deadline in ["d=0", "d=1", "d=5", "d=0.5"] {
        for statement in [read_statement(deadline.trim_start_matches("d=")), write_statement("w")] {
            let sent_at = Instant::now();
            let statement = statement.replace("id=0.5", "id=half").replace(DEADLINE_FIELD, deadline);
            let response = client.query(&statement);
            assert!(response.is_ready() && response.tags != "Z", "{deadline}: {response:?}");
            assert!(sent_at.elapsed().as_millis() < 500, "{deadline}: {:?}", sent_at.elapsed());
        }
    }
    assert_eq!(client.query(&read_statement("last")).text(), Some("s-1"));
}

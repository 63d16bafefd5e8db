//! Requests whose id comes again after their client has left: a write must not run twice.

use crate::support::*;
use std::net::TcpStream;
use std::time::Duration;

/// The deadline of each request, and how long the server takes to answer.
const DEADLINE_MS: u32 = 600;
const SERVICE_TIME: Duration = Duration::from_millis(150);

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Leaving {
    Close,
    Reset,
}

impl Leaving {
    const ALL: [Self; 2] = [Self::Close, Self::Reset];

    fn leave(self, client: Client) {
        if matches!(self, Self::Reset) {
            let no_linger = Some(Duration::ZERO);
            rustix::net::sockopt::set_socket_linger(&client.stream.socket, no_linger).unwrap();
        }
    }
}

/// A primary that takes its time for each write, and runs it whether or not the pooler still waits.
fn slow_primary() -> FakeServer {
    FakeServer::new("s-1", |stream, statement| {
        if statement.starts_with("SHOW") {
            stream.write_load_report("x0=1767225600.1,x1=1", "master");
            return AfterStatement::KeepOpen;
        }
        if statement.contains("slow") {
            std::thread::sleep(SERVICE_TIME);
        }
        stream.write_row(b"s-1", "master", ANY_POSITION_MS);
        AfterStatement::KeepOpen
    })
}

/// The number of statements with this id that the server has received.
fn runs(server: &FakeServer, id: &str) -> usize {
    let field = format!("id={id},");
    server.statements().iter().filter(|statement| statement.contains(&field)).count()
}

#[test]
fn a_write_whose_client_has_left_does_not_run_again_under_its_id() {
    // Guards against an id that comes again on a new connection, at once or up to the deadline of the write, and
    // is forwarded a second time, as the client that sent it first has closed or reset its connection.
    for effect in ["fragile", "dedup", "retryable"] {
        let server = slow_primary();
        let pooler = PoolerProcess::with_server(&server, "master", |config| {
            config.with("/settings/Lanes/2/Effect", effect)
        });
        std::thread::scope(|scope| {
            for leaving in Leaving::ALL {
                for (number, pause_ms) in [0, 2, 50, 200, 580].into_iter().enumerate() {
                    for speed in ["slow", "fast"] {
                        let (server, address) = (&server, pooler.address);
                        scope.spawn(move || {
                            let id = format!("{speed}-{leaving:?}-{number}");
                            let statement = with_deadline(&write_statement(&id), DEADLINE_MS);
                            let client = Client::on_socket(TcpStream::connect(address).unwrap(), &statement);
                            while runs(server, &id) == 0 {
                                std::thread::yield_now();
                            }
                            leaving.leave(client);
                            std::thread::sleep(Duration::from_millis(pause_ms));
                            let socket = TcpStream::connect(address).unwrap();
                            let mut again = Client::on_socket(socket, &statement);
                            again.read_response();
                            let response = again.read_response();
                            assert_eq!(runs(server, &id), 1, "{effect} {id}: {response:?}");
                            assert_eq!(response.sql_state(), Some("42601"), "{effect} {id}: {response:?}");
                        });
                    }
                }
            }
        });
        // Ids that were never used, and those of requests that never ran, are free.
        let mut client = Client::connect(&pooler);
        assert_eq!(client.query(&write_statement("new")).text(), Some("s-1"));
        assert!(client.query(&with_deadline(&write_statement("late"), 0)).sql_state.is_some());
        assert_eq!(client.query(&write_statement("late")).text(), Some("s-1"));
    }
}

#[test]
fn the_id_of_a_write_is_free_after_its_deadline_and_that_of_a_harmless_read_at_once() {
    let server = slow_primary();
    let pooler = PoolerProcess::with_primary(&server);
    let mut client = Client::on_socket(
        TcpStream::connect(pooler.address).unwrap(),
        &with_deadline(&write_statement("1"), DEADLINE_MS),
    );
    client.read_response();
    assert_eq!(client.read_response().text(), Some("s-1"));
    for _ in 0..2 {
        assert_eq!(client.query(&read_statement("2")).text(), Some("s-1"));
    }
    // The deadline, and the half second for which a late response may be waited for.
    std::thread::sleep(Duration::from_millis(u64::from(DEADLINE_MS) + 600));
    assert_eq!(client.query(&write_statement("1")).text(), Some("s-1"));
}

//! What signals ask for.

use pooler_proxy::lifecycle::signals::{Command, Requests};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::low_level::raise;

fn taken(requests: &Requests) -> Vec<Command> {
    requests.take().collect()
}

#[test]
fn only_a_signal_asks_for_anything_and_each_is_taken_once() {
    let requests = Requests::register().unwrap();
    assert_eq!(taken(&requests), [], "nothing was sent");
    for (signal, command) in [
        (SIGUSR1, Command::Report),
        (SIGHUP, Command::Reload),
        (SIGTERM, Command::End),
        (SIGINT, Command::End),
    ] {
        raise(signal).unwrap();
        assert_eq!(taken(&requests), [command]);
        assert_eq!(taken(&requests), [], "taken");
    }
    // One that comes while another is handled is not lost.
    raise(SIGTERM).unwrap();
    raise(SIGHUP).unwrap();
    let mut commands = requests.take();
    assert_eq!(commands.next(), Some(Command::Reload));
    raise(SIGHUP).unwrap();
    assert_eq!(commands.next(), Some(Command::End));
    drop(commands);
    assert_eq!(taken(&requests), [Command::Reload]);
}

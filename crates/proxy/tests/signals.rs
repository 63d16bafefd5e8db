//! The commands that signals request.

use pooler_proxy::lifecycle::signals::{Command, PendingCommands};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::low_level::raise;

fn take_all(pending: &PendingCommands) -> Vec<Command> {
    pending.take().collect()
}

#[test]
fn only_a_signal_requests_a_command_and_each_is_taken_once() {
    let pending = PendingCommands::register().unwrap();
    assert_eq!(take_all(&pending), [], "no signal was sent");
    for (signal, command) in [
        (SIGUSR1, Command::LogStatus),
        (SIGHUP, Command::Reload),
        (SIGTERM, Command::ShutDown),
        (SIGINT, Command::ShutDown),
    ] {
        raise(signal).unwrap();
        assert_eq!(take_all(&pending), [command]);
        assert_eq!(take_all(&pending), [], "already taken");
    }
    // One that arrives while another is handled is not lost.
    raise(SIGTERM).unwrap();
    raise(SIGHUP).unwrap();
    let mut commands = pending.take();
    assert_eq!(commands.next(), Some(Command::Reload));
    raise(SIGHUP).unwrap();
    assert_eq!(commands.next(), Some(Command::ShutDown));
    drop(commands);
    assert_eq!(take_all(&pending), [Command::Reload]);
}

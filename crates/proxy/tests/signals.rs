//! Tests of the commands that signals request.

use pooler_proxy::lifecycle::signals::{PendingCommands, SignalCommand};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::low_level::raise;

fn take_all(pending: &PendingCommands) -> Vec<SignalCommand> {
    pending.take().collect()
}

#[test]
fn only_a_signal_requests_a_command_and_each_is_taken_once() {
    let pending = PendingCommands::register().unwrap();
    assert_eq!(take_all(&pending), [], "no signal was sent");
    for (signal, command) in [
        (SIGUSR1, SignalCommand::LogStatus),
        (SIGHUP, SignalCommand::Reload),
        (SIGTERM, SignalCommand::ShutDown),
        (SIGINT, SignalCommand::ShutDown),
    ] {
        raise(signal).unwrap();
        assert_eq!(take_all(&pending), [command]);
        assert_eq!(take_all(&pending), [], "the command was already taken");
    }
    // A signal that arrives while the pending commands are being taken is not lost.
    raise(SIGTERM).unwrap();
    raise(SIGHUP).unwrap();
    let mut commands = pending.take();
    assert_eq!(commands.next(), Some(SignalCommand::Reload));
    raise(SIGHUP).unwrap();
    assert_eq!(commands.next(), Some(SignalCommand::ShutDown));
    drop(commands);
    assert_eq!(take_all(&pending), [SignalCommand::Reload]);
}

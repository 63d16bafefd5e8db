//! What signals ask for.

use async_signal::Signal;
use linnetdeal_net::signals::{Command, command};
use std::io;

#[test]
fn an_error_of_receiving_a_signal_ends_nothing() {
    assert_eq!(command(&Ok(Signal::Term)), Some(Command::End));
    assert_eq!(command(&Ok(Signal::Int)), Some(Command::End));
    assert_eq!(command(&Ok(Signal::Hup)), Some(Command::Reload));
    assert_eq!(command(&Ok(Signal::Usr1)), Some(Command::Report));
    for kind in [io::ErrorKind::Interrupted, io::ErrorKind::Other, io::ErrorKind::InvalidData] {
        assert_eq!(command(&Err(kind.into())), None);
    }
}

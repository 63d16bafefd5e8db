//! A gate that holds fake servers back until the test opens it.

use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};

/// Holds its waiters back until it is opened or dropped.
pub struct Gate {
    _sender: Sender<()>,
}

impl Gate {
    pub fn new() -> (Self, GateWaiter) {
        let (sender, receiver) = channel();
        (Self { _sender: sender }, GateWaiter { receiver: Mutex::new(receiver) })
    }

    /// Lets everybody through, now and later.
    pub fn open(self) {}
}

/// The side of a [`Gate`] that waits.
pub struct GateWaiter {
    receiver: Mutex<Receiver<()>>,
}

impl GateWaiter {
    /// Returns once the gate is open.
    pub fn wait(&self) {
        assert!(self.receiver.lock().unwrap().recv().is_err());
    }
}

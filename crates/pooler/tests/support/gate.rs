//! A gate that blocks fake servers until the test opens it.

use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};

/// Blocks its waiters until it is opened or dropped.
pub struct Gate {
    _sender: Sender<()>,
}

impl Gate {
    pub fn new() -> (Self, GateWaiter) {
        let (sender, receiver) = channel();
        (Self { _sender: sender }, GateWaiter { receiver: Mutex::new(receiver) })
    }

    /// Unblocks all present and future waiters.
    pub fn open(self) {}
}

/// The waiting side of a [`Gate`].
pub struct GateWaiter {
    receiver: Mutex<Receiver<()>>,
}

impl GateWaiter {
    /// Returns once the gate is open.
    pub fn wait(&self) {
        assert!(self.receiver.lock().unwrap().recv().is_err());
    }
}

//! Distinguishes resource exhaustion on this machine from failures of the peer.

use rustix::io::Errno;
use std::io;

/// The error numbers by which the operating system reports that it is out of descriptors, memory or ports.
const EXHAUSTION_ERRNOS: [Errno; 5] =
    [Errno::MFILE, Errno::NFILE, Errno::NOMEM, Errno::NOBUFS, Errno::ADDRNOTAVAIL];

/// Whether the error means that this machine is out of descriptors, memory or ports.
#[must_use]
pub fn is_resource_exhaustion(error: &io::Error) -> bool {
    Errno::from_io_error(error).is_some_and(|errno| EXHAUSTION_ERRNOS.contains(&errno))
}

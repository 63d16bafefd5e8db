//! Writes in doubt: they were sent completely, no response came, and they must not be sent again.
//!
//! Their clients receive an error that says so. Operators find the writes here by the clients' ids, to look them up on
//! the servers that may have run them.

use pooler_routing::{EndpointId, Timestamp};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt;

/// The number of writes that are kept, the latest ones.
const MAX_KEPT: usize = 256;
/// The length to which a request id is kept, in characters.
const MAX_REQUEST_ID_LENGTH: usize = 64;
const MICROS_PER_MILLI: i64 = 1_000;

#[derive(Debug)]
struct InDoubtWrite {
    request_id: Box<str>,
    class: Box<str>,
    endpoint: EndpointId,
    given_up_at: Timestamp,
}

/// The number of writes in doubt since the start, and the latest of them.
#[derive(Debug, Default)]
pub struct InDoubtWrites {
    total: Cell<u64>,
    latest: RefCell<VecDeque<InDoubtWrite>>,
}

impl InDoubtWrites {
    /// Records a write: the client's id of the request, its class, the endpoint that may have run it, and when it was
    /// given up.
    pub fn record(&self, request_id: &str, class: &str, endpoint: EndpointId, given_up_at: Timestamp) {
        self.total.set(self.total.get().saturating_add(1));
        let mut latest = self.latest.borrow_mut();
        if latest.len() == MAX_KEPT {
            latest.pop_front();
        }
        let request_id: String = request_id.chars().take(MAX_REQUEST_ID_LENGTH).collect();
        latest.push_back(InDoubtWrite {
            request_id: request_id.into(),
            class: class.into(),
            endpoint,
            given_up_at,
        });
    }
}

impl fmt::Display for InDoubtWrites {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "in doubt: {} since the start", self.total.get())?;
        for InDoubtWrite { request_id, class, endpoint, given_up_at } in self.latest.borrow().iter().rev() {
            let millis = given_up_at.0 / MICROS_PER_MILLI;
            write!(f, "; {class} id={request_id} at {}, {millis} ms", endpoint.0)?;
        }
        Ok(())
    }
}

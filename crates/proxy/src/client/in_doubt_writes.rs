//! Record of writes in doubt: writes that were sent completely, got no response, and must not be sent again.
//!
//! The clients of these writes receive an error that says that the write may have run. The status report
//! lists the writes with their request ids, by which operators can look them up on the servers that may have
//! run them.

use pooler_routing::{EndpointId, Timestamp};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt;

/// The number of writes that are kept; older writes are dropped.
const MAX_KEPT_WRITES: usize = 256;
/// The length to which a request id is truncated, in characters.
const MAX_REQUEST_ID_LENGTH: usize = 64;
const MICROS_PER_MILLI: i64 = 1_000;

#[derive(Debug)]
struct InDoubtWrite {
    request_id: Box<str>,
    class: Box<str>,
    endpoint: EndpointId,
    abandoned_at: Timestamp,
}

/// The number of writes in doubt since the start, and the latest of these writes.
#[derive(Debug, Default)]
pub struct InDoubtWrites {
    total: Cell<u64>,
    latest: RefCell<VecDeque<InDoubtWrite>>,
}

impl InDoubtWrites {
    /// Records a write: the request id from the client, the name of the request class, the endpoint that may
    /// have run the write, and the time at which the pooler abandoned it.
    pub fn record(&self, request_id: &str, class: &str, endpoint: EndpointId, abandoned_at: Timestamp) {
        self.total.set(self.total.get().saturating_add(1));
        let mut latest = self.latest.borrow_mut();
        if latest.len() == MAX_KEPT_WRITES {
            latest.pop_front();
        }
        let request_id: String = request_id.chars().take(MAX_REQUEST_ID_LENGTH).collect();
        latest.push_back(InDoubtWrite {
            request_id: request_id.into(),
            class: class.into(),
            endpoint,
            abandoned_at,
        });
    }
}

impl fmt::Display for InDoubtWrites {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "in doubt: {} since the start", self.total.get())?;
        for InDoubtWrite { request_id, class, endpoint, abandoned_at } in self.latest.borrow().iter().rev() {
            let millis = abandoned_at.0 / MICROS_PER_MILLI;
            write!(f, "; {class} id={request_id} at {}, {millis} ms", endpoint.0)?;
        }
        Ok(())
    }
}

//! What a client sends while its request is out. It is kept within bounds, and passed over beyond them: however much a
//! client sends ahead, its close is seen. What was passed over is refused in its turn.

use crate::buffer::{ReadBuffer, discard};
use crate::protocol::{self, ProtocolError, QuerySkipper};
use async_io::Async;
use futures_lite::future::yield_now;
use std::cell::{Cell, RefCell};
use std::net::TcpStream;
use std::rc::Rc;

/// What is kept of one client, and of a few at a time.
const KEPT: usize = 16 * 1024;
const MOST_KEPT: usize = 256 * 1024;
const MOST_LARGE: usize = 16;
/// So many commands are refused for having been passed over; a client that sends more makes no sense.
const MOST_PASSED_OVER: usize = 10_000;

/// What all clients that send ahead share.
#[derive(Debug)]
pub(crate) struct Shared {
    /// How many clients have more kept than the others.
    large: Cell<usize>,
    /// Where bytes are read to that are not kept.
    pub(crate) scratch: RefCell<Vec<u8>>,
}

impl Shared {
    /// Passes over so many bytes at a time.
    pub(crate) fn new(scratch: usize) -> Self {
        Self { large: Cell::new(0), scratch: RefCell::new(vec![0; scratch]) }
    }
}

/// The right of one client to have more kept than others.
struct Large(Rc<Shared>);

impl Large {
    fn enter(shared: &Rc<Shared>) -> Option<Self> {
        let now = shared.large.get();
        (now < MOST_LARGE).then(|| {
            shared.large.set(now + 1);
            Self(shared.clone())
        })
    }
}

impl Drop for Large {
    fn drop(&mut self) {
        self.0.large.set(self.0.large.get() - 1);
    }
}

/// What one client has sent ahead, beside what its buffer holds.
pub(crate) struct ReadAhead {
    shared: Rc<Shared>,
    large: Option<Large>,
    beyond: Option<Beyond>,
}

/// What came after the buffer was full.
#[derive(Default)]
struct Beyond {
    skipper: QuerySkipper,
    /// It can't be followed any further.
    spoilt: Option<ProtocolError>,
}

impl Beyond {
    /// Begins behind the last whole command in the buffer.
    fn after(buffer: &mut ReadBuffer) -> Self {
        let mut beyond = Self::default();
        let mut whole = 0;
        loop {
            match protocol::parse_frontend_message(&buffer.data()[whole..]) {
                Ok(Some(message)) => whole += message.size,
                Ok(None) => break,
                Err(error) => {
                    beyond.spoilt = Some(error);
                    break;
                }
            }
        }
        beyond.take(&buffer.data()[whole..]);
        buffer.truncate(whole);
        beyond
    }

    fn take(&mut self, bytes: &[u8]) {
        if self.spoilt.is_none() {
            self.spoilt = self.skipper.advance(bytes).err();
        }
        if self.skipper.queries() > MOST_PASSED_OVER {
            self.spoilt = Some(ProtocolError::Malformed("stream of commands"));
        }
    }
}

/// What is to be done about commands that were passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PassedOver {
    /// There are none.
    None,
    /// So many are refused.
    Refuse(usize),
    /// One has begun, and the rest of it is still to come.
    Begun,
    /// The client has ended its session.
    Ended,
    /// What came makes no sense.
    Spoilt(ProtocolError),
}

impl ReadAhead {
    /// Nothing yet.
    pub(crate) fn new(shared: Rc<Shared>) -> Self {
        Self { shared, large: None, beyond: None }
    }

    /// Whether bytes are passed over at the moment.
    pub(crate) fn is_passing_over(&self) -> bool {
        self.beyond.is_some()
    }

    /// Reads until the client has closed its connection.
    pub(crate) async fn until_closed(&mut self, stream: &Async<TcpStream>, buffer: &mut ReadBuffer) {
        while self.beyond.is_none() {
            if self.large.is_none() && buffer.data().len() >= KEPT {
                self.large = Large::enter(&self.shared);
            }
            if buffer.data().len() >= if self.large.is_some() { MOST_KEPT } else { KEPT } {
                self.beyond = Some(Beyond::after(buffer));
            } else if !matches!(buffer.fill(stream).await, Ok(1..)) {
                return;
            }
        }
        while self.pass_over(stream).await {
            // One that sends at full speed holds up nobody else.
            yield_now().await;
        }
    }

    /// Reads once, and keeps nothing of it; false at the end of the stream.
    pub(crate) async fn pass_over(&mut self, stream: &Async<TcpStream>) -> bool {
        let Ok(count @ 1..) = discard(stream, &self.shared.scratch).await else { return false };
        if let Some(beyond) = &mut self.beyond {
            beyond.take(&self.shared.scratch.borrow()[..count]);
        }
        true
    }

    /// Takes note that the buffer holds no more than this.
    pub(crate) fn kept(&mut self, bytes: usize) {
        if bytes < KEPT {
            self.large = None;
        }
    }

    /// What comes next, once all commands in the buffer have been answered.
    pub(crate) fn next(&mut self) -> PassedOver {
        let Some(beyond) = &mut self.beyond else { return PassedOver::None };
        match beyond.skipper.take_queries() {
            0 => {}
            count => return PassedOver::Refuse(count),
        }
        if let Some(error) = beyond.spoilt {
            return PassedOver::Spoilt(error);
        }
        if beyond.skipper.is_terminated() {
            return PassedOver::Ended;
        }
        if !beyond.skipper.is_between_messages() {
            return PassedOver::Begun;
        }
        self.beyond = None;
        PassedOver::None
    }
}

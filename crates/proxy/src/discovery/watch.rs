//! The watch of discovery: each change is taken as soon as it has been read.

use crate::buffer::{ReadBuffer, write_all};
use crate::config::ServerList;
use crate::discovery::endpoint_directory::{EndpointUpdates, PLATFORM};
use crate::discovery::http::{self, HttpError};
use crate::metrics::Counters;
use crate::resource_exhaustion::is_resource_exhaustion;
use async_io::{Async, Timer};
use event_listener::Event as Bell;
use futures_lite::future::or;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Empty lines come every 2 s. A watch that misses one is given up and opened anew, since what it would have
/// told binds 6 s later, arrived or not: there is time for one further call that is met with silence.
const SILENCE: Duration = Duration::from_millis(2_500);
/// The least pause before a watch is asked for again, and the window in which a broken one is: what an agent has
/// counts as told within the grace of a drain, watch or no watch.
const LEAST_PAUSE: Duration = Duration::from_millis(20);
const BROKEN: Duration = Duration::from_millis(60);
/// The window after a call that never left this machine: it cost discovery nothing.
const NOT_MADE: Duration = Duration::from_millis(40);
/// The window where discovery is one service for the whole fleet, or has refused a call: so much for each pooler, but
/// no more than leaves time, after a call that waited two seconds to be refused, for the next within 6 s.
const EACH: Duration = Duration::from_millis(50);
const LONGEST_WINDOW: Duration = Duration::from_millis(3_000);
/// An object longer than this is no list.
const LONGEST_LIST: usize = 8 * 1024 * 1024;

/// Where discovery is followed; it may move while the pooler runs.
#[derive(Debug)]
pub struct Source {
    address: Cell<Option<SocketAddr>>,
    moved: Bell,
}

impl Source {
    /// One that is followed at `address`, or nowhere yet.
    #[must_use]
    pub fn new(address: Option<SocketAddr>) -> Self {
        Self { address: Cell::new(address), moved: Bell::new() }
    }

    /// Follows discovery at `address` from now on.
    pub fn follow(&self, address: Option<SocketAddr>) {
        if self.address.replace(address) != address {
            self.moved.notify(usize::MAX);
        }
    }
}

/// How a call for the watch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// Discovery refused it.
    Refused,
    /// It found nobody, or its watch broke or fell silent.
    Broken,
    /// This machine had no descriptor, port or memory for it.
    NotMade,
}

/// The pauses between the tries to open a watch. What an agent of the pooler's own machine has counts as told, so a
/// broken watch is opened again at once. One service for a whole fleet serves only so many calls a second, and goes on
/// being swamped where all come back together, as calls that have waited too long are refused: there, and after any
/// refusal, each pooler picks a moment in a window by the size of the fleet.
#[derive(Debug)]
pub struct Pauses {
    rng: ChaCha8Rng,
    spread: Duration,
    broken: Duration,
}

impl Pauses {
    /// Those of one pooler of so many, who share one service or have an agent each. The seed must differ from
    /// pooler to pooler.
    #[must_use]
    pub fn new(seed: u64, fleet: u32, shared: bool) -> Self {
        let spread = (EACH * fleet).min(LONGEST_WINDOW);
        Self { rng: ChaCha8Rng::seed_from_u64(seed), spread, broken: if shared { spread } else { BROKEN } }
    }

    /// The pause before the next try.
    pub fn next_pause(&mut self, ended: CallEnd) -> Duration {
        let part = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
        let window = match ended {
            CallEnd::Refused => self.spread,
            CallEnd::Broken => self.broken,
            CallEnd::NotMade => NOT_MADE,
        };
        LEAST_PAUSE + window.mul_f64(part)
    }
}

#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Http(#[from] HttpError),
    #[error("an object that is no list: {0}")]
    Json(#[from] serde_json::Error),
    #[error("{0}")]
    Objects(#[from] ObjectsError),
}

/// What follows the platform's list.
pub struct Follower {
    source: Rc<Source>,
    updates: EndpointUpdates,
    counters: Rc<Counters>,
    /// The number of the last message: what comes later is newer.
    messages: Cell<i64>,
}

impl Follower {
    /// One that follows `source` and tells `updates`.
    #[must_use]
    pub fn new(source: Rc<Source>, updates: EndpointUpdates, counters: Rc<Counters>) -> Self {
        Self { source, updates, counters, messages: Cell::new(0) }
    }

    /// Takes a list in; `whole` overrides what it says of itself.
    pub fn take(&self, list: &ServerList, whole: bool) {
        let number = self.messages.get() + 1;
        self.messages.set(number);
        self.updates.apply(PLATFORM, list.news(number, whole));
    }
}

/// Follows discovery for ever, from the version that is known.
pub async fn run(node: Follower, mut generation: u64, mut pauses: Pauses) {
    let mut told = false;
    loop {
        let (moved, followed) = (node.source.moved.listen(), node.source.address.get());
        let Some(address) = followed else {
            moved.await;
            continue;
        };
        node.counters.watches_opened.increment();
        // An old address may stay silent, and what the new one has to tell binds soon: the watch moves at once.
        let left = async {
            moved.await;
            Ok(())
        };
        let ended = or(watch(&node, address, &mut generation), left).await;
        let call_end = match &ended {
            Err(WatchError::Http(HttpError::Status(_))) => CallEnd::Refused,
            Err(WatchError::Io(error)) if is_resource_exhaustion(error) => CallEnd::NotMade,
            _ => CallEnd::Broken,
        };
        match ended {
            // A dropped watch is nothing to report; an answer that makes no sense is, once.
            Err(WatchError::Io(_)) | Ok(()) => {}
            Err(error) if !told => {
                tracing::warn!("discovery: {error}");
                told = true;
            }
            Err(_) => {}
        }
        if node.source.address.get() != followed {
            continue;
        }
        let pause = pauses.next_pause(call_end);
        let moved = node.source.moved.listen();
        if node.source.address.get() == followed {
            or(moved, async {
                let _ = Timer::after(pause).await;
            })
            .await;
        }
    }
}

/// What `work` gives, unless it takes longer than the bound on silence.
async fn bounded<T>(work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let silence = async {
        Timer::after(SILENCE).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    or(work, silence).await
}

/// One watch, until its connection ends or falls silent.
async fn watch(node: &Follower, address: SocketAddr, generation: &mut u64) -> Result<(), WatchError> {
    let stream = bounded(Async::<TcpStream>::connect(address)).await?;
    let ask = format!(
        "GET /discovery/hosts?follow=1&since={generation} HTTP/1.1\r\nHost: {address}\r\n\
         Accept: application/json\r\n\r\n"
    );
    bounded(write_all(&stream, &[ask.as_bytes()])).await?;
    let mut buffer = ReadBuffer::default();
    let head = loop {
        if let Some(head) = http::head(buffer.data())? {
            break head;
        }
        if bounded(buffer.fill(&stream)).await? == 0 {
            return Ok(());
        }
    };
    buffer.consume(head.size);
    let mut objects = Objects::default();
    loop {
        while !buffer.data().is_empty() {
            let (body, size) = if head.chunked {
                match http::chunk(buffer.data())? {
                    Some(([], _)) => return Ok(()),
                    Some(chunk) => chunk,
                    None => break,
                }
            } else {
                (buffer.data(), buffer.data().len())
            };
            objects.push(body);
            buffer.consume(size);
            while let Some(object) = objects.take()? {
                let list: ServerList = serde_json::from_slice(&object)?;
                *generation = list.generation;
                node.take(&list, false);
            }
        }
        buffer.rest();
        if bounded(buffer.fill(&stream)).await? == 0 {
            return Ok(());
        }
    }
}

/// Why a stream is no stream of objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ObjectsError {
    /// Something that is neither an object nor white space.
    #[error("byte {0} between two lists")]
    Between(u8),
    /// An empty line in an object: what it belongs to came after a torn one.
    #[error("an empty line inside a list")]
    Torn,
    /// An object without an end.
    #[error("a list without an end")]
    Endless,
}

/// The JSON objects of a stream, however they are broken into lines. Each byte is looked at once.
#[derive(Debug, Default)]
pub struct Objects {
    text: Vec<u8>,
    seen: usize,
    depth: usize,
    quoted: bool,
    escaped: bool,
    /// Nothing but white space came since the last end of a line.
    empty_line: bool,
}

impl Objects {
    /// Takes in what came next.
    pub fn push(&mut self, bytes: &[u8]) {
        self.text.extend_from_slice(bytes);
    }

    /// The next whole object, if there is one; empty lines between two only tell that the watch lives.
    ///
    /// # Errors
    ///
    /// When what came is no stream of objects.
    pub fn take(&mut self) -> Result<Option<Vec<u8>>, ObjectsError> {
        while let Some(&byte) = self.text.get(self.seen) {
            self.seen += 1;
            match byte {
                b'\n' if self.depth > 0 && self.empty_line => return Err(ObjectsError::Torn),
                b'\n' => self.empty_line = true,
                byte => self.empty_line &= byte.is_ascii_whitespace(),
            }
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.quoted => self.escaped = true,
                b'"' if self.depth > 0 => self.quoted = !self.quoted,
                _ if self.quoted => {}
                b'{' => self.depth += 1,
                b'}' if self.depth > 0 => {
                    self.depth -= 1;
                    if self.depth == 0 {
                        let rest = self.text.split_off(self.seen);
                        self.seen = 0;
                        return Ok(Some(std::mem::replace(&mut self.text, rest)));
                    }
                }
                _ if self.depth > 0 || byte.is_ascii_whitespace() => {}
                _ => return Err(ObjectsError::Between(byte)),
            }
        }
        if self.depth == 0 {
            self.text.clear();
            self.seen = 0;
        }
        if self.text.len() > LONGEST_LIST { Err(ObjectsError::Endless) } else { Ok(None) }
    }
}

//! One client: its startup, and its commands in order, each answered before the next is begun.

use crate::buffer::{ReadBuffer, discard, write_all};
use crate::client::accept::Frontend;
use crate::client::connection_slots::{Rank, Slot};
use crate::client::read_ahead::{PassedOver, ReadAhead};
use crate::client::session_keys::Session;
use crate::protocol::write::{self, Severity};
use crate::protocol::{self as pg, Asks, BackendKey, PgError, Startup};
use crate::request::{AbortReason, ClientRequest, FinalResponse, serve};
use crate::server::statement::{ClientStatement, QueryResponse};
use async_io::{Async, Timer};
use futures_lite::future::{or, yield_now};
use pooler_routing::*;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A client gets this long for its first command from when it was accepted, and for the rest of any command
/// that has begun; and this long to take an answer. Connections without an open request may be closed after 2 s,
/// and who sends nothing whole is owed a close within 3 s of connecting, part of which it may wait in the backlog.
const COMMAND_WAIT: Duration = Duration::from_secs(2);
const WRITE_WAIT: Duration = Duration::from_secs(30);
/// How long a client that was told why its connection ends may go on writing: enough for 60 MB; and how long one
/// that was shut out between two commands has to close its side.
const PARTING: Duration = Duration::from_secs(3);
const CLOSING: Duration = Duration::from_secs(1);
/// Who sends what can't be served rests for so long after each error, and is told to go after so many: the
/// same thing, sent again as soon as it was turned away, would keep others waiting.
const REST: Duration = Duration::from_millis(50);
const MOST_ERRORS: u32 = 8;
const REFUSED: &str = "refused, nothing is harmed by a retry";
/// Refusals of commands that were passed over are written so many at a time.
const REFUSALS: usize = 64;

/// Why a client's connection ends.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ClientError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Pg(#[from] PgError),
    #[error("too slow")]
    Slow,
}

/// How far a client has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Its startup is not all there.
    Startup,
    /// It has not made a request yet.
    Silent,
    /// It has.
    Known,
}

pub(crate) struct Client<'a> {
    frontend: &'a Rc<Frontend>,
    session: Session<'a>,
    // Closed before the slot counts as free.
    stream: Async<TcpStream>,
    buffer: ReadBuffer,
    slot: Slot<'a>,
    stage: Stage,
    /// When it came to its slot, or last had an answer.
    since: Instant,
    /// Its commands that were no use.
    errors: u32,
    /// Nothing more is sent to it.
    closed: bool,
    /// What it has sent ahead.
    ahead: ReadAhead,
}

/// Who ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndedBy {
    /// Its client, or nobody can say anything on it any more.
    Client,
    /// The pooler: it has to make room, its client took too long, or the process ends.
    Pooler,
}

/// What became of reading more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum More {
    /// Something came.
    Bytes,
    /// Nothing will.
    Ended(EndedBy),
}

/// What a command comes down to.
enum Command {
    /// A request to route.
    Request(ClientRequest<ClientStatement>, OpenId),
    /// Something answered here; the answer is in the buffer given.
    Answered,
    /// Something that is not served: the code and words of its error.
    Rejected(&'static str, String),
    /// The connection ends.
    End,
}

impl<'a> Client<'a> {
    /// One that has just been accepted.
    pub(crate) fn new(
        frontend: &'a Rc<Frontend>,
        session: Session<'a>,
        stream: Async<TcpStream>,
        slot: Slot<'a>,
    ) -> Self {
        Self {
            frontend,
            session,
            stream,
            buffer: ReadBuffer::default(),
            slot,
            stage: Stage::Startup,
            since: Instant::now(),
            errors: 0,
            closed: false,
            ahead: ReadAhead::new(frontend.ahead.clone()),
        }
    }

    /// Serves it until its connection ends. Without room it is told so and parted from.
    pub(crate) async fn run(&mut self, room: bool) -> Result<(), ClientError> {
        let ended = match self.begin(room).await {
            Ok(true) => self.commands().await,
            other => other.map(|_| EndedBy::Client),
        };
        match ended {
            Err(ClientError::Pg(error)) => {
                self.frontend.counters.rejected_statements.increment();
                self.part("08P01", &error.to_string(), None).await
            }
            // What was read of a command is owed a word, as the rest of it may be on its way.
            Ok(EndedBy::Pooler) if self.has_begun_command() => {
                self.frontend.counters.rejected_statements.increment();
                self.part("57P03", "the connection ends before the command was read", None).await
            }
            // Who has asked nothing yet has no answer to lose.
            Ok(_) if self.stage == Stage::Known => self.close(CLOSING).await,
            other => other.map(drop),
        }
    }

    /// Whether something of a command has been read that was not answered.
    fn has_begun_command(&self) -> bool {
        !self.buffer.data().is_empty() || self.ahead.is_passing_over()
    }

    /// Sends the last words on a connection, and reads what the client is still writing: to close before that
    /// would reset the connection, and the words might be lost with it.
    async fn part(&mut self, code: &str, words: &str, detail: Option<&str>) -> Result<(), ClientError> {
        let mut out = Vec::new();
        write::error(&mut out, Severity::Fatal, code, words, detail);
        self.send(&[&out]).await?;
        self.close(PARTING).await
    }

    /// Ends the sending, and reads what still comes until the client has closed, or for so long. A close over unread
    /// bytes would reset the connection, and take the last answer with it. What comes now is served no more.
    async fn close(&mut self, longest: Duration) -> Result<(), ClientError> {
        if self.closed {
            return Ok(());
        }
        self.closed = true;
        self.stream.get_ref().shutdown(Shutdown::Write)?;
        self.buffer = ReadBuffer::default();
        let rest = async {
            // One that sends at full speed holds up nobody else.
            while matches!(discard(&self.stream, &self.frontend.ahead.scratch).await, Ok(1..)) {
                yield_now().await;
            }
        };
        let enough = async {
            Timer::after(longest).await;
        };
        let work = or(rest, or(enough, self.frontend.stages.terminated.wait()));
        self.slot.yielding(Rank::Parting, Instant::now(), work).await;
        Ok(())
    }

    async fn send(&self, pieces: &[&[u8]]) -> Result<(), ClientError> {
        let slow = async {
            Timer::after(WRITE_WAIT).await;
            Err(ClientError::Slow)
        };
        or(async { Ok(write_all(&self.stream, pieces).await?) }, slow).await
    }

    /// The startup; false if there is no session after it.
    async fn begin(&mut self, room: bool) -> Result<bool, ClientError> {
        loop {
            if let Some((kind, size)) = pg::startup(self.buffer.data())? {
                self.buffer.consume(size);
                match kind {
                    Startup::Encryption => self.send(&[b"N"]).await?,
                    Startup::Cancel(session) => {
                        self.frontend.sessions.cancel(session);
                        return Ok(false);
                    }
                    Startup::Session => break,
                }
            } else if self.more().await? != More::Bytes {
                return Ok(false);
            }
        }
        if !room {
            self.frontend.counters.rejected_connections.increment();
            let retry_after = self.frontend.full_retry_after.map(retry_after_field);
            self.part("53300", "too many clients", retry_after.as_deref()).await?;
            return Ok(false);
        }
        self.stage = Stage::Silent;
        let mut out = Vec::with_capacity(256);
        let BackendKey { process, secret } = self.session.id;
        write::welcome(&mut out, process, secret);
        self.send(&[&out]).await?;
        Ok(true)
    }

    async fn commands(&mut self) -> Result<EndedBy, ClientError> {
        let mut skipping = false;
        let mut out = Vec::new();
        loop {
            let Some(message) = pg::message(self.buffer.data())? else {
                match self.ahead.next() {
                    PassedOver::None | PassedOver::Begun => {
                        if let More::Ended(by) = self.more().await? {
                            return Ok(by);
                        }
                    }
                    PassedOver::Refuse(count) => self.refuse_passed_over(count).await?,
                    PassedOver::Ended => return Ok(EndedBy::Client),
                    PassedOver::Spoilt(error) => return Err(error.into()),
                }
                continue;
            };
            let (tag, size) = (message.tag, message.size);
            // After an error in the extended protocol all is skipped up to Sync.
            if skipping && tag != b'S' && tag != b'X' {
                self.buffer.consume(size);
                continue;
            }
            out.clear();
            match self.command(size, &mut out)? {
                Command::End => return Ok(EndedBy::Client),
                Command::Answered => {
                    skipping &= tag != b'S';
                    if matches!(tag, b'Q' | b'S') {
                        write::ready(&mut out);
                    }
                    self.send(&[&out]).await?;
                }
                Command::Rejected(code, words) => {
                    self.frontend.counters.rejected_statements.increment();
                    self.errors += 1;
                    if self.errors >= MOST_ERRORS {
                        self.part(code, &words, None).await?;
                        return Ok(EndedBy::Client);
                    }
                    write::error(&mut out, Severity::Error, code, &words, None);
                    skipping = tag != b'Q';
                    if !skipping {
                        write::ready(&mut out);
                    }
                    self.send(&[&out]).await?;
                    let rest = async {
                        Timer::after(REST).await;
                    };
                    if self.slot.yielding(Rank::Silent, self.since, rest).await.is_none() {
                        return Ok(EndedBy::Pooler);
                    }
                }
                Command::Request(asked, open) => {
                    self.stage = Stage::Known;
                    // There is no time left to serve what stood behind others until now.
                    if self.frontend.stages.terminating.is_set() {
                        self.frontend.counters.requests.increment();
                        self.frontend.counters.rejected.increment();
                        self.answer(FinalResponse::Rejected(None), &mut out).await?;
                    } else if !self.request(asked, &open.id, &mut out).await? {
                        return Ok(EndedBy::Client);
                    }
                    drop(open);
                }
            }
            if self.stage == Stage::Known {
                self.since = Instant::now();
            }
            // Many commands sent at once hold up nobody else.
            yield_now().await;
            if out.capacity() > 4 * 1024 {
                out = Vec::new();
            }
        }
    }

    /// Refuses so many commands that were passed over.
    async fn refuse_passed_over(&self, mut count: usize) -> Result<(), ClientError> {
        while count > 0 {
            let mut out = Vec::new();
            for _ in 0..count.min(REFUSALS) {
                self.frontend.counters.rejected_statements.increment();
                write::error(&mut out, Severity::Error, "53300", "too many commands sent ahead", None);
                write::ready(&mut out);
            }
            self.send(&[&out]).await?;
            count = count.saturating_sub(REFUSALS);
        }
        Ok(())
    }

    /// Reads more, unless the client has to go: it makes room, took too long for a command, or the process ends. What
    /// is readable goes before all that.
    async fn more(&mut self) -> Result<More, ClientError> {
        let Self { frontend, stream, buffer, ahead, slot, stage, since, .. } = self;
        let between = buffer.data().is_empty() && !ahead.is_passing_over() && *stage != Stage::Startup;
        // Who asks again as soon as it is answered would otherwise go on until the process ends under its request.
        if between && frontend.stages.terminating.is_set() {
            return Ok(More::Ended(EndedBy::Pooler));
        }
        buffer.rest();
        // The first bytes of a command that has begun came just now; they don't grant more time again.
        let limit = match *stage {
            Stage::Known if between => None,
            _ => Some(*since + COMMAND_WAIT),
        };
        let read = async {
            let came = if ahead.is_passing_over() {
                ahead.pass_over(stream).await
            } else {
                buffer.fill(stream).await? > 0
            };
            Ok(if came { More::Bytes } else { More::Ended(EndedBy::Client) })
        };
        let late = async {
            match limit {
                Some(at) => drop(Timer::at(at).await),
                None => std::future::pending().await,
            }
            Ok(More::Ended(EndedBy::Pooler))
        };
        let ending = async {
            let ends = if between { &frontend.stages.closing_idle } else { &frontend.stages.terminating };
            ends.wait().await;
            Ok(More::Ended(EndedBy::Pooler))
        };
        let rank = if *stage == Stage::Known { Rank::Idle } else { Rank::Silent };
        let done = slot.yielding(rank, *since, or(read, or(late, ending))).await;
        if between && *stage == Stage::Known {
            *since = Instant::now();
        }
        done.unwrap_or(Ok(More::Ended(EndedBy::Pooler)))
    }

    /// Reads the command at the front of the buffer and uses it up.
    fn command(&mut self, size: usize, out: &mut Vec<u8>) -> Result<Command, ClientError> {
        let Some(message) = pg::message(self.buffer.data())? else { return Ok(Command::End) };
        let mut rejected = None;
        match message.tag {
            b'Q' => {
                let statement = pg::query_text(message.body)?;
                match pg::request(statement) {
                    Ok(Asks::Request(comment)) => {
                        // What waits behind others is not taken late: its client counts from when it sent it.
                        let waited = self.buffer.arrived(size).map_or(Duration::ZERO, |at| at.elapsed());
                        let asked = self.frontend.asked(statement, &comment, waited);
                        let open = OpenId::enter(self.frontend, comment.id);
                        if let (Some(asked), Some(open)) = (asked, open) {
                            let wait = comment.wait_at.clone();
                            let (bytes, at) = self.buffer.detach(size);
                            let whole = at.start + 5..at.end;
                            let wait = wait.start + whole.start..wait.end + whole.start;
                            return Ok(Command::Request(
                                asked.with(ClientStatement {
                                    buffer: bytes,
                                    text: whole,
                                    timeout_digits: wait,
                                }),
                                open,
                            ));
                        }
                        rejected = Some(("42601", "no class of this site, or an id in use".to_owned()));
                    }
                    Ok(Asks::Nothing) => write::empty_query(out),
                    Ok(Asks::Session(command)) => write::complete(out, command),
                    Ok(Asks::Unknown) => {
                        rejected = Some(("0A000", "only requests with their comment are routed".to_owned()));
                    }
                    Err(error) => rejected = Some(("42601", error.to_string())),
                }
            }
            b'X' => return Ok(Command::End),
            b'S' => {}
            b'P' | b'B' | b'E' | b'D' | b'C' | b'H' | b'F' => {
                rejected = Some(("0A000", "only simple queries are spoken here".to_owned()));
            }
            b'd' | b'c' | b'f' => {}
            _ => return Err(PgError::Malformed("message type").into()),
        }
        self.buffer.consume(size);
        Ok(rejected.map_or(Command::Answered, |(code, words)| Command::Rejected(code, words)))
    }

    /// Serves a request and writes its one answer; false if the connection ends with it.
    async fn request(
        &mut self,
        asked: ClientRequest<ClientStatement>,
        id: &str,
        out: &mut Vec<u8>,
    ) -> Result<bool, ClientError> {
        let Self { frontend, stream, buffer, session, ahead, .. } = self;
        // Only what is asked now is cancelled, not what comes behind it.
        let cancelled = session.cancelled.listen();
        let left = async {
            ahead.until_closed(stream, buffer).await;
            AbortReason::ClientDisconnected
        };
        let cancelled = async {
            cancelled.await;
            AbortReason::CancelRequested
        };
        let ending = async {
            frontend.stages.terminating.wait().await;
            AbortReason::Shutdown
        };
        let answer = serve(&frontend.router, &*frontend.pool, &asked, or(left, or(cancelled, ending))).await;
        let (class, need) = &frontend.classes[asked.class.0];
        let in_doubt = match &answer {
            FinalResponse::Failed { in_doubt_at }
            | FinalResponse::Cancelled { in_doubt_at }
            | FinalResponse::ClientDisconnected { in_doubt_at } => {
                in_doubt_at.as_ref().filter(|_| *need == Operation::Write)
            }
            _ => None,
        };
        if let Some(at) = in_doubt {
            frontend.doubts.add(id, class, Some(at.clone()), frontend.router.now());
        }
        self.buffer.give_back(asked.query.buffer);
        self.ahead.kept(self.buffer.data().len());
        self.answer(answer, out).await
    }

    /// Writes the one answer to a request; false if the connection ends with it.
    async fn answer(
        &self,
        answer: FinalResponse<QueryResponse>,
        out: &mut Vec<u8>,
    ) -> Result<bool, ClientError> {
        let ends = matches!(answer, FinalResponse::ClientDisconnected { .. });
        let severity = if ends { Severity::Fatal } else { Severity::Error };
        let (code, words, detail) = match answer {
            FinalResponse::Served(reply) => {
                write::ready(out);
                let pieces: Vec<&[u8]> = reply.messages().chain([out.as_slice()]).collect();
                self.send(&pieces).await?;
                return Ok(true);
            }
            FinalResponse::Rejected(retry_after) => ("53300", REFUSED, retry_after.map(retry_after_field)),
            // It may have closed its own side only, and listen.
            FinalResponse::ClientDisconnected { in_doubt_at: None } => ("53300", REFUSED, None),
            FinalResponse::Failed { .. } | FinalResponse::ClientDisconnected { .. } => {
                ("08007", "no answer; it may have been carried out", None)
            }
            FinalResponse::Cancelled { .. } => ("57014", "canceled by its client", None),
        };
        write::error(out, severity, code, words, detail.as_deref());
        if !ends {
            write::ready(out);
        }
        self.send(&[out]).await?;
        Ok(!ends)
    }
}

/// When to come back, as the field D of an error has it.
fn retry_after_field(after: TimeDelta) -> String {
    after.0.max(0).unsigned_abs().div_ceil(1_000).to_string()
}

/// The id of a request that is open, given free when it is dropped: nobody else may use it meanwhile.
struct OpenId {
    frontend: Rc<Frontend>,
    id: Box<str>,
}

impl OpenId {
    /// `None` if a request with this id is open.
    fn enter(frontend: &Rc<Frontend>, id: &str) -> Option<Self> {
        let id: Box<str> = id.into();
        let new = frontend.open_ids.borrow_mut().insert(id.clone());
        new.then(|| Self { frontend: frontend.clone(), id })
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.frontend.open_ids.borrow_mut().remove(&self.id);
    }
}

impl Frontend {
    /// The request that a statement makes that came so long ago; `None` if its class is unknown.
    fn asked(
        &self,
        statement: &str,
        comment: &pg::Comment<'_>,
        waited: Duration,
    ) -> Option<ClientRequest<()>> {
        let at = self.classes.iter().position(|(name, _)| name == comment.class)?;
        let span = |time: Duration| TimeDelta(i64::try_from(time.as_micros()).unwrap_or(i64::MAX));
        let longest = span(self.longest_deadline);
        let keyed =
            matches!(self.classes[at].1, Operation::Write | Operation::Read(Consistency::ReadYourWrites));
        let session = pg::key(statement).filter(|_| keyed).map(|key| {
            let mut hasher = DefaultHasher::new();
            key.hash(&mut hasher);
            SessionKey(hasher.finish())
        });
        Some(ClientRequest {
            class: ClassId(at),
            session,
            group: GroupId(comment.cluster),
            deadline: self.router.now() - span(waited)
                + TimeDelta((comment.wait_ms * 1_000.0) as i64).min(longest),
            last_write: comment.after_ms.map(|ms| Timestamp((ms * 1_000.0) as i64)),
            query: (),
        })
    }
}

impl ClientRequest<()> {
    fn with(self, query: ClientStatement) -> ClientRequest<ClientStatement> {
        let Self { class, session, group, deadline, last_write, .. } = self;
        ClientRequest { class, session, group, deadline, last_write, query }
    }
}

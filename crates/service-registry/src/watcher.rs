//! Polls a registry for as long as the pooler runs, and passes the decoded responses to an [`EventSink`]. The
//! watcher makes no decisions about endpoints; [`crate::eureka::poll_schedule`] decides when to poll.

use crate::client::{ApiRequest, BodyHandler, CallError, Client, SetupError, UnsupportedContentType};
use crate::config::RegistryConfig;
use crate::counters::{RegistryCounters, increment};
use crate::eureka::body::{BodyError, BodyFormat};
use crate::eureka::decoder::{BodyDecoder, BodySummary, DecodedBody};
use crate::eureka::digest::RegistryDigest;
use crate::eureka::poll_schedule::{FetchKind, Poll, PollFailure, PollSchedule};
use crate::sink::EventSink;
use crate::timer::sleep_until;
use pooler_routing::membership::{MergeResult, SuspectedLoss};
use std::fmt;
use std::rc::Rc;

/// The API path that returns the recent changes of all applications.
const DELTA_PATH: &str = "/apps/delta";

/// Polls the servers of one registry and passes the watch events to `S`.
pub struct RegistryWatcher<S> {
    config: RegistryConfig,
    client: Client,
    schedule: PollSchedule,
    digest: RegistryDigest,
    sink: S,
    counters: Rc<RegistryCounters>,
    /// The last logged state; a state is logged again only after a different one.
    logged_state: LoggedState,
    /// Whether unusable instances have been logged, which happens once in the watcher's lifetime.
    has_logged_problems: bool,
}

/// The states of a registry that are logged on entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LoggedState {
    /// Nothing has been logged yet.
    None,
    /// A consistent response was applied.
    Healthy,
    /// At least as many polls in a row failed as the registry has servers.
    Unavailable,
    /// Self-preservation suspected the last snapshot.
    SnapshotSuspected,
    /// The hash code in a snapshot differs from the one computed from its instances.
    HashMismatch,
}

impl<S: EventSink> RegistryWatcher<S> {
    /// Creates a watcher whose first poll is due at once. Reads the password, certificate and key files now.
    /// `seed` seeds the jitter of the poll schedule.
    ///
    /// # Errors
    ///
    /// When a file can't be used or TLS can't be set up.
    pub fn new(
        config: RegistryConfig,
        seed: u64,
        sink: S,
        counters: Rc<RegistryCounters>,
    ) -> Result<Self, SetupError> {
        let client = config.build_client()?;
        let schedule = PollSchedule::new(config.servers.len(), config.polling, seed, sink.now());
        Ok(Self {
            config,
            client,
            schedule,
            digest: RegistryDigest::default(),
            sink,
            counters,
            logged_state: LoggedState::None,
            has_logged_problems: false,
        })
    }

    /// Polls until the future is dropped.
    pub async fn run(mut self) {
        loop {
            sleep_until(self.sink.now(), self.schedule.next_poll_at()).await;
            // `poll` has recorded the failure and scheduled the retry.
            let _ = self.poll().await;
        }
    }

    /// Fetches the snapshot or delta that is due and returns its effect on the membership.
    ///
    /// # Errors
    ///
    /// When the server returns no usable response. A retry is then scheduled.
    pub async fn poll(&mut self) -> Result<MergeResult, CallError> {
        let poll = self.schedule.next_poll(self.sink.now());
        let result = match self.fetch(poll).await {
            Ok(body) => Ok(self.apply(poll, body)),
            Err(error) => {
                self.record_failure(poll, &error);
                Err(error)
            }
        };
        // Fails only while the digest that was kept takes up all of the memory; then it stays counted as it was.
        let _ = self.sink.reserve_memory(self.digest.memory_size());
        result
    }

    async fn fetch(&mut self, poll: Poll) -> Result<DecodedBody, CallError> {
        let path = match poll.fetch {
            FetchKind::Snapshot => &self.config.snapshot_path,
            FetchKind::Delta => DELTA_PATH,
        };
        let server = &self.config.servers[poll.server];
        let sink = &self.sink;
        let mut handler =
            PollBodyHandler { config: &self.config, digest: &self.digest, poll, sink, decoder: None };
        self.client.call(server, &ApiRequest::get(path), &mut handler).await?;
        let decoder = handler.decoder;
        let decoder = decoder.ok_or(CallError::UnsupportedContentType { content_type: String::new() })?;
        Ok(decoder.finish(&mut self.digest)?)
    }

    fn apply(&mut self, poll: Poll, body: DecodedBody) -> MergeResult {
        let DecodedBody { event, summary } = body;
        let is_consistent = summary.hash_code.as_ref().is_none_or(|code| *code == self.digest.hash_code());
        self.schedule.record_success(self.sink.now(), poll.fetch, is_consistent);
        let result = self.sink.apply(event);
        increment(match poll.fetch {
            FetchKind::Snapshot => &self.counters.snapshots,
            FetchKind::Delta => &self.counters.deltas,
        });
        if !is_consistent {
            increment(&self.counters.hash_mismatches);
        }
        self.counters.add_merge(&result);
        self.counters.add_summary(&summary);
        self.log_problems(&summary);
        self.log_response(poll, &summary, is_consistent, result.suspected_loss);
        result
    }

    fn record_failure(&mut self, poll: Poll, error: &CallError) {
        let failure = match error {
            CallError::Status { status, retry_after } => {
                PollFailure::Status { status: *status, retry_after: *retry_after }
            }
            _ => PollFailure::UnusableResponse,
        };
        self.schedule.record_failure(self.sink.now(), poll.fetch, failure);
        increment(&self.counters.poll_failures);
        if self.schedule.consecutive_failures() as usize >= self.config.servers.len() {
            let name = self.server_name(poll);
            let line = format_args!("registry: {name}: {error}; carrying on with what is known");
            self.log_state(LoggedState::Unavailable, &line);
        }
    }

    /// Logs unusable instances only once, since each snapshot contains them again.
    fn log_problems(&mut self, summary: &BodySummary) {
        if summary.problems.is_empty() || self.has_logged_problems {
            return;
        }
        self.has_logged_problems = true;
        for problem in &summary.problems {
            self.sink.log(&format_args!("registry: {problem}"));
        }
    }

    fn log_response(
        &mut self,
        poll: Poll,
        summary: &BodySummary,
        is_consistent: bool,
        suspected_loss: Option<SuspectedLoss>,
    ) {
        let name = self.server_name(poll);
        if let Some(SuspectedLoss { missing, active }) = suspected_loss {
            let line = format_args!(
                "registry: {name}: snapshot that lacks {missing} of {active} active endpoints \
                 is not believed; carrying on with what is known"
            );
            self.log_state(LoggedState::SnapshotSuspected, &line);
        } else if poll.fetch == FetchKind::Snapshot && !is_consistent {
            let reported = summary.hash_code.as_deref().unwrap_or_default();
            let computed = self.digest.hash_code();
            let line = format_args!(
                "registry: {name}: snapshot hash code '{reported}' does not agree with the hash code of its \
                 instances, '{computed}'"
            );
            self.log_state(LoggedState::HashMismatch, &line);
        } else if is_consistent {
            let line = format_args!("registry: {name}: {} instances read", summary.instances);
            self.log_state(LoggedState::Healthy, &line);
        }
    }

    /// Logs a line unless the last logged state is the same.
    fn log_state(&mut self, state: LoggedState, line: &dyn fmt::Display) {
        if self.logged_state != state {
            self.logged_state = state;
            self.sink.log(line);
        }
    }

    fn server_name(&self, poll: Poll) -> String {
        self.config.servers[poll.server].name().to_owned()
    }
}

/// Decodes the response to a poll while its body arrives.
struct PollBodyHandler<'c, 'd, S> {
    config: &'c RegistryConfig,
    digest: &'d RegistryDigest,
    poll: Poll,
    sink: &'d S,
    /// `None` until the content type of the body is known.
    decoder: Option<BodyDecoder<'c>>,
}

impl<S: EventSink> BodyHandler for PollBodyHandler<'_, '_, S> {
    fn on_content_type(&mut self, content_type: &str) -> Result<(), UnsupportedContentType> {
        let format = BodyFormat::from_content_type(content_type).ok_or(UnsupportedContentType)?;
        let decoder = BodyDecoder::new(
            &self.config.mapping,
            self.digest,
            self.poll,
            format,
            self.config.max_body_bytes,
        );
        self.decoder = Some(decoder);
        Ok(())
    }

    fn on_data(&mut self, data: &[u8]) -> Result<(), BodyError> {
        let Some(decoder) = &mut self.decoder else { return Ok(()) };
        decoder.push(data)?;
        let has_memory = self.sink.reserve_memory(self.digest.memory_size() + decoder.memory_size());
        if has_memory { Ok(()) } else { Err(BodyError::OutOfMemory) }
    }
}

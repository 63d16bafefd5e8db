//! Watches a registry for as long as the pooler runs: polls it, decodes the responses and applies them. It decides
//! nothing about endpoints; when to poll is decided by [`crate::eureka::poll_schedule`].

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

/// The path of deltas.
const DELTA_PATH: &str = "/apps/delta";

/// Watches a registry.
pub struct RegistryWatcher<S> {
    config: RegistryConfig,
    client: Client,
    schedule: PollSchedule,
    digest: RegistryDigest,
    sink: S,
    counters: Rc<RegistryCounters>,
    /// The state of the registry that was logged last.
    logged_state: LoggedState,
    /// Whether instances that could not be used were logged.
    has_logged_problems: bool,
}

/// A state of the registry that is logged when it is entered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LoggedState {
    None,
    Healthy,
    Unavailable,
    SnapshotSuspected,
    HashMismatch,
}

impl<S: EventSink> RegistryWatcher<S> {
    /// A watcher whose first poll is due. All files that the configuration names are read now.
    ///
    /// # Errors
    ///
    /// When a file can't be used.
    pub fn new(
        config: RegistryConfig,
        seed: u64,
        sink: S,
        counters: Rc<RegistryCounters>,
    ) -> Result<Self, SetupError> {
        let client = config.client()?;
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

    /// Polls for ever.
    pub async fn run(mut self) {
        loop {
            sleep_until(self.sink.now(), self.schedule.next_poll_at()).await;
            // A failure has been counted and logged; the schedule knows when to poll again.
            let _ = self.poll().await;
        }
    }

    /// Polls once, for what is due, and returns what the response changed.
    ///
    /// # Errors
    ///
    /// When there is no response that can be used. The schedule then has a retry.
    pub async fn poll(&mut self) -> Result<MergeResult, CallError> {
        let poll = self.schedule.next_poll(self.sink.now());
        match self.fetch(poll).await {
            Ok(body) => Ok(self.apply(poll, body)),
            Err(error) => {
                self.record_failure(poll, &error);
                Err(error)
            }
        }
    }

    async fn fetch(&mut self, poll: Poll) -> Result<DecodedBody, CallError> {
        let path = match poll.fetch {
            FetchKind::Snapshot => &self.config.snapshot_path,
            FetchKind::Delta => DELTA_PATH,
        };
        let server = &self.config.servers[poll.server];
        let mut response = PollResponse { config: &self.config, digest: &self.digest, poll, decoder: None };
        self.client.call(server, &ApiRequest::get(path), &mut response).await?;
        let decoder = response.decoder;
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
            _ => PollFailure::Unusable,
        };
        self.schedule.record_failure(self.sink.now(), poll.fetch, failure);
        increment(&self.counters.poll_failures);
        if self.schedule.consecutive_failures() as usize >= self.config.servers.len() {
            let name = self.server_name(poll);
            let line = format_args!("registry: {name}: {error}; carrying on with what is known");
            self.log_state(LoggedState::Unavailable, &line);
        }
    }

    /// Logs the instances that could not be used, once: they stand in each snapshot.
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
                "registry: {name}: a snapshot that lacks {missing} of {active} active endpoints is not believed; \
                 carrying on with what is known"
            );
            self.log_state(LoggedState::SnapshotSuspected, &line);
        } else if poll.fetch == FetchKind::Snapshot && !is_consistent {
            let reported = summary.hash_code.as_deref().unwrap_or_default();
            let computed = self.digest.hash_code();
            let line = format_args!(
                "registry: {name}: a snapshot whose hash code '{reported}' does not agree with what it holds, \
                 '{computed}'"
            );
            self.log_state(LoggedState::HashMismatch, &line);
        } else if is_consistent {
            let line = format_args!("registry: {name}: {} instances read", summary.instances);
            self.log_state(LoggedState::Healthy, &line);
        }
    }

    /// Logs a line if the registry was in another state before.
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

/// The response to a poll, decoded while it arrives.
struct PollResponse<'c, 'd> {
    config: &'c RegistryConfig,
    digest: &'d RegistryDigest,
    poll: Poll,
    /// Made once the body's type is known.
    decoder: Option<BodyDecoder<'c>>,
}

impl BodyHandler for PollResponse<'_, '_> {
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
        self.decoder.as_mut().map_or(Ok(()), |decoder| decoder.push(data))
    }
}

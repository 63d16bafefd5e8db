//! Decodes one response body into a watch event. Nothing of a body counts before its end has been read. No I/O.

use super::body::{BodyError, BodyFormat, BodyItem, BodyScanner};
use super::digest::{DigestEntry, RegistryDigest};
use super::instance::{Instance, InstanceError, InvalidField};
use super::mapping::{InstanceMapping, MappingError, ready_stamp, rejected_claim};
use super::poll_schedule::{FetchKind, Poll};
use pooler_routing::membership::{EndpointClaim, WatchEvent};
use std::fmt;

/// No more instances than this are read from one body, so that the smallest ones a body can hold don't fill the memory.
const MAX_INSTANCES: usize = 50_000;
/// So many of the instances that could not be used are reported.
const MAX_REPORTED_PROBLEMS: usize = 8;
/// The version of a snapshot from which no endpoint counts as missing.
const VERSION_WITHOUT_ABSENCES: i64 = i64::MIN;

/// A body that was read to its end.
#[derive(Debug)]
pub struct DecodedBody {
    /// What it says of endpoints.
    pub event: WatchEvent,
    /// What was seen in it.
    pub summary: BodySummary,
}

/// What was seen in a body.
#[derive(Debug, Default)]
pub struct BodySummary {
    /// The registry's own hash code, where it gives one.
    pub hash_code: Option<String>,
    /// The instances of all applications.
    pub instances: usize,
    /// Instances that can't be decoded.
    pub unreadable: usize,
    /// Instances of the mapped applications that can't be endpoints.
    pub rejected: usize,
    /// Of the rejected ones, those outside of the networks.
    pub outside_networks: usize,
    /// The first few of the unreadable and rejected instances.
    pub problems: Vec<InstanceProblem>,
}

/// An instance that can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InstanceProblem {
    /// It can't be decoded.
    Unreadable(InvalidField),
    /// It can't be an endpoint.
    Rejected {
        /// The instance's id.
        id: String,
        /// Why it can't.
        error: MappingError,
    },
}

impl fmt::Display for InstanceProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(error) => write!(f, "{error}"),
            Self::Rejected { id, error } => write!(f, "instance '{id}': {error}"),
        }
    }
}

/// Decodes a body while its bytes arrive.
pub struct BodyDecoder<'m> {
    scanner: BodyScanner,
    collector: ClaimCollector<'m>,
}

impl<'m> BodyDecoder<'m> {
    /// A decoder of the response to `poll`, of at most `max_bytes`. `digest` is the one that the response will be
    /// applied to.
    #[must_use]
    pub fn new(
        mapping: &'m InstanceMapping,
        digest: &RegistryDigest,
        poll: Poll,
        format: BodyFormat,
        max_bytes: u64,
    ) -> Self {
        let collector = ClaimCollector {
            mapping,
            server: poll.server,
            format,
            changes: DigestChanges::new(poll.fetch, digest),
            claims: Vec::new(),
            newest_stamp: VERSION_WITHOUT_ABSENCES,
            summary: BodySummary::default(),
        };
        Self { scanner: BodyScanner::new(format, max_bytes), collector }
    }

    /// Decodes the next bytes.
    ///
    /// # Errors
    ///
    /// When the body is malformed or too large.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), BodyError> {
        let Self { scanner, collector } = self;
        scanner.push(bytes, &mut |item| collector.add_item(&item))
    }

    /// Ends the body, and only now applies it to `digest`.
    ///
    /// # Errors
    ///
    /// When the body is incomplete.
    pub fn finish(self, digest: &mut RegistryDigest) -> Result<DecodedBody, BodyError> {
        self.scanner.finish()?;
        let ClaimCollector { changes, claims, newest_stamp, summary, .. } = self.collector;
        let event = match changes {
            DigestChanges::Snapshot(snapshot) => {
                *digest = snapshot;
                // An instance that is there and could not be decoded must not count as missing.
                let version = if summary.unreadable > 0 { VERSION_WITHOUT_ABSENCES } else { newest_stamp };
                WatchEvent::Snapshot { claims, version }
            }
            DigestChanges::Delta { entries, .. } => {
                entries.into_iter().for_each(|entry| digest.apply(entry));
                WatchEvent::Delta(claims)
            }
        };
        Ok(DecodedBody { event, summary })
    }
}

/// What a body changes in the digest. It covers all applications.
enum DigestChanges {
    /// All that the registry holds.
    Snapshot(RegistryDigest),
    /// The changed instances, which are applied at the end of the body.
    Delta {
        /// An empty digest that makes entries for the one that they will be applied to.
        key_source: RegistryDigest,
        entries: Vec<DigestEntry>,
    },
}

impl DigestChanges {
    fn new(fetch: FetchKind, digest: &RegistryDigest) -> Self {
        let empty = digest.new_empty_like();
        match fetch {
            FetchKind::Snapshot => Self::Snapshot(empty),
            FetchKind::Delta => Self::Delta { key_source: empty, entries: Vec::new() },
        }
    }

    fn add(&mut self, instance: &Instance) {
        match self {
            Self::Snapshot(digest) => digest.apply(digest.entry(instance)),
            Self::Delta { key_source, entries } => entries.push(key_source.entry(instance)),
        }
    }
}

/// Collects the claims of a body's instances.
struct ClaimCollector<'m> {
    mapping: &'m InstanceMapping,
    server: usize,
    format: BodyFormat,
    changes: DigestChanges,
    claims: Vec<EndpointClaim>,
    newest_stamp: i64,
    summary: BodySummary,
}

impl ClaimCollector<'_> {
    fn add_item(&mut self, item: &BodyItem<'_>) -> Result<(), BodyError> {
        match item {
            BodyItem::HashCode(hash_code) => {
                self.summary.hash_code = Some((*hash_code).to_owned());
                Ok(())
            }
            BodyItem::Instance(bytes) => self.add_instance_bytes(bytes),
        }
    }

    fn add_instance_bytes(&mut self, bytes: &[u8]) -> Result<(), BodyError> {
        self.summary.instances += 1;
        if self.summary.instances > MAX_INSTANCES {
            return Err(BodyError::TooManyInstances { max_instances: MAX_INSTANCES });
        }
        let decoded = match self.format {
            BodyFormat::Json => Instance::from_json(bytes),
            BodyFormat::Xml => Instance::from_xml(bytes),
        };
        match decoded {
            Ok(instance) => self.add_instance(&instance),
            // An invalid field spoils one instance; anything else spoils the body.
            Err(InstanceError::Field(field)) => {
                self.summary.unreadable += 1;
                self.report(InstanceProblem::Unreadable(field));
            }
            Err(error) => return Err(error.into()),
        }
        Ok(())
    }

    fn add_instance(&mut self, instance: &Instance) {
        // How new the registry's knowledge is shows in all instances that it holds, of whichever application.
        self.newest_stamp = self.newest_stamp.max(ready_stamp(instance));
        match self.mapping.claim(instance, self.server) {
            Ok(claim) => self.claims.push(claim),
            Err(MappingError::OtherApplication) => {}
            Err(error) => self.reject(instance, error),
        }
        self.changes.add(instance);
    }

    fn reject(&mut self, instance: &Instance, error: MappingError) {
        self.summary.rejected += 1;
        self.summary.outside_networks += usize::from(matches!(error, MappingError::OutsideNetworks(_)));
        self.report(InstanceProblem::Rejected { id: instance.id.clone(), error });
        self.claims.push(rejected_claim(instance));
    }

    fn report(&mut self, problem: InstanceProblem) {
        if self.summary.problems.len() < MAX_REPORTED_PROBLEMS {
            self.summary.problems.push(problem);
        }
    }
}

//! Decodes one response body into a watch event. A body takes effect only after it has been read to its end.
//! Performs no I/O.

use super::body::{BodyError, BodyFormat, BodyItem, BodyScanner, MAX_INSTANCE_BYTES};
use super::digest::{DigestEntry, RegistryDigest};
use super::instance::{Instance, InstanceError, InvalidField};
use super::mapping::{InstanceMapping, MappingError, ready_change_stamp, rejected_claim};
use super::poll_schedule::{FetchKind, Poll};
use pooler_routing::membership::{EndpointClaim, WatchEvent};
use std::fmt;

/// The maximum number of instances in one body. It keeps a body of the smallest possible instances from
/// filling the memory.
const MAX_INSTANCES: usize = 50_000;
/// The memory of one claim without its names, in bytes: its place in a vector that doubles, and what the allocator
/// adds to each name.
const CLAIM_SIZE: usize = 2 * size_of::<EndpointClaim>() + 2 * NAME_OVERHEAD;
/// The memory that the allocator adds to a name, in bytes.
const NAME_OVERHEAD: usize = 32;
/// The maximum number of unusable instances that are reported for one body.
const MAX_REPORTED_PROBLEMS: usize = 8;
/// The lowest snapshot version. No endpoint counts as missing from a snapshot with this version, because the
/// change stamp of every absent endpoint is later.
const MIN_SNAPSHOT_VERSION: i64 = i64::MIN;

/// The result of decoding a complete body.
#[derive(Debug)]
pub struct DecodedBody {
    /// The watch event with the endpoint claims of the body.
    pub event: WatchEvent,
    /// Instance counts and problems of the body.
    pub summary: BodySummary,
}

/// The hash code, instance counts and problems found in a body.
#[derive(Debug, Default)]
pub struct BodySummary {
    /// The registry's own hash code, if the body contains it.
    pub hash_code: Option<String>,
    /// The number of instances of all applications, including unreadable ones.
    pub instances: usize,
    /// The number of instances that can't be decoded.
    pub unreadable: usize,
    /// The number of instances of mapped applications that can't be endpoints.
    pub rejected: usize,
    /// The number of rejected instances whose address lies outside of the allowed networks.
    pub outside_networks: usize,
    /// The first few unreadable and rejected instances, in the order of the body.
    pub problems: Vec<InstanceProblem>,
}

/// An instance that can't be used as an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InstanceProblem {
    /// A field of the instance is missing or invalid.
    Unreadable(InvalidField),
    /// The instance can be decoded, but not mapped to an endpoint.
    Rejected {
        /// The instance id.
        id: String,
        /// The reason for the rejection.
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

/// Decodes the response to one poll while its bytes arrive.
pub struct BodyDecoder<'m> {
    scanner: BodyScanner,
    collector: ClaimCollector<'m>,
}

impl<'m> BodyDecoder<'m> {
    /// Creates a decoder for the response to `poll`, a body of at most `max_bytes`. `digest` is the digest
    /// that [`BodyDecoder::finish`] will be called with.
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
            claims_size: 0,
            newest_change_stamp: MIN_SNAPSHOT_VERSION,
            summary: BodySummary::default(),
        };
        Self { scanner: BodyScanner::new(format, max_bytes), collector }
    }

    /// Decodes the next bytes of the body.
    ///
    /// # Errors
    ///
    /// When the body is malformed, or exceeds the limit on its size or on its number of instances.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), BodyError> {
        let Self { scanner, collector } = self;
        scanner.push(bytes, &mut |item| collector.add_item(&item))
    }

    /// The memory that the decoder may take up, in bytes: its claims, and one instance that is being read.
    #[must_use]
    pub fn memory_size(&self) -> usize {
        let digest_entries = self.collector.summary.instances * size_of::<DigestEntry>();
        MAX_INSTANCE_BYTES + self.collector.claims_size + digest_entries
    }

    /// Ends the body and applies its changes to `digest`, which stays unchanged on an error.
    ///
    /// # Errors
    ///
    /// When the body is incomplete.
    pub fn finish(self, digest: &mut RegistryDigest) -> Result<DecodedBody, BodyError> {
        self.scanner.finish()?;
        let ClaimCollector { changes, claims, newest_change_stamp, summary, .. } = self.collector;
        let event = match changes {
            DigestChanges::Snapshot(snapshot) => {
                *digest = snapshot;
                // The registry holds the unreadable instances, so their endpoints must not count as missing.
                let version = if summary.unreadable > 0 { MIN_SNAPSHOT_VERSION } else { newest_change_stamp };
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

/// The changes that a body makes to the digest. They cover the instances of all applications.
enum DigestChanges {
    /// A new digest of all instances that the registry holds, which replaces the current one.
    Snapshot(RegistryDigest),
    /// The changed instances, which are applied to the current digest at the end of the body.
    Delta {
        /// An empty digest with the same hasher as the current one, so that entries made by it can be applied
        /// to the current one.
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

/// Collects the claims and the digest changes that a body's instances make.
struct ClaimCollector<'m> {
    mapping: &'m InstanceMapping,
    /// The index of the registry server that sent the body.
    server: usize,
    format: BodyFormat,
    changes: DigestChanges,
    claims: Vec<EndpointClaim>,
    /// The memory that the claims take up, in bytes.
    claims_size: usize,
    /// The greatest change stamp of the instances read so far, which becomes the version of a snapshot.
    newest_change_stamp: i64,
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
            // An invalid field makes one instance unusable; any other error makes the whole body unusable.
            Err(InstanceError::Field(field)) => {
                self.summary.unreadable += 1;
                self.record_problem(InstanceProblem::Unreadable(field));
            }
            Err(error) => return Err(error.into()),
        }
        Ok(())
    }

    fn add_instance(&mut self, instance: &Instance) {
        // Instances of other applications count too: they also show how recent the registry's data is.
        self.newest_change_stamp = self.newest_change_stamp.max(ready_change_stamp(instance));
        match self.mapping.claim(instance, self.server) {
            Ok(claim) => self.add_claim(claim),
            Err(MappingError::OtherApplication) => {}
            Err(error) => self.reject(instance, error),
        }
        self.changes.add(instance);
    }

    fn reject(&mut self, instance: &Instance, error: MappingError) {
        self.summary.rejected += 1;
        self.summary.outside_networks += usize::from(matches!(error, MappingError::OutsideNetworks(_)));
        self.record_problem(InstanceProblem::Rejected { id: instance.id.clone(), error });
        self.add_claim(rejected_claim(instance));
    }

    fn add_claim(&mut self, claim: EndpointClaim) {
        self.claims_size += CLAIM_SIZE + claim.endpoint.0.len() + claim.zone.len();
        self.claims.push(claim);
    }

    fn record_problem(&mut self, problem: InstanceProblem) {
        if self.summary.problems.len() < MAX_REPORTED_PROBLEMS {
            self.summary.problems.push(problem);
        }
    }
}

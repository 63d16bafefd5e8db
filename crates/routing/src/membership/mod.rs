//! Endpoint membership: the known endpoints and their states, resolved from the claims of several sources.
//!
//! The sources are the platform's endpoint list and a service registry. They lag, contradict each other and
//! lose records. This module decides which claims take effect, without I/O and without a clock of its own.
//! [`RecordVersion`] documents the order of the versions of a record; each case of that order is tested.
//!
//! Invariant: **an endpoint that is draining or removed stays so until a newer record says otherwise.** A
//! repeated record, a stale copy or the older view of another registry server is not newer.

mod claim;
mod memory;
mod resolution;
mod self_preservation;
mod table;
mod watch;

pub use claim::{EndpointClaim, RecordAuthority, RecordVersion, SourceId, VersionOrder};
pub use resolution::ResolvedEndpoint;
pub use self_preservation::{SelfPreservation, SuspectedLoss};
pub use table::{MAX_ENDPOINTS, Membership};
pub use watch::{MergeResult, WatchEvent};

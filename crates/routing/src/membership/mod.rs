//! Endpoint membership: which endpoints exist and in which state, resolved from what several sources claim.
//!
//! Sources are the platform's endpoint list and a service registry. They lag, contradict one another and lose
//! records; this module decides what counts, without I/O and without a clock of its own. How versions of a record are
//! ordered is documented at [`RecordVersion`], and each case of it is tested.
//!
//! The invariant: **an endpoint that was told to drain or was removed stays so until a newer record says otherwise.**
//! A repeated record, a stale copy or the older view of another registry server is not newer.

mod claim;
mod resolution;
mod self_preservation;
mod table;
mod watch;

pub use claim::{EndpointClaim, RecordAuthority, RecordVersion, SourceId, VersionOrder};
pub use resolution::ResolvedEndpoint;
pub use self_preservation::{SelfPreservation, SuspectedLoss};
pub use table::{MAX_ENDPOINTS, Membership};
pub use watch::{MergeResult, WatchEvent};

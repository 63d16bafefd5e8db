//! The overload ratios of a group's primary and of its replicas: the fraction of responses that were late or
//! were rejections. They measure the load of all routers together, for which a single endpoint has too few
//! responses.

use super::decaying::DecayingRatio;
use crate::{Role, TimeDelta, Timestamp};

/// Load shedding starts above this overload ratio.
pub(super) const SHEDDING_START: f64 = 0.35;
/// Load shedding reaches its full extent at this overload ratio.
pub(super) const SHEDDING_COMPLETE: f64 = 0.7;
/// Above this overload ratio, new reads with too little time left are rejected and reads that replicas could
/// serve are kept off the primary. A threshold of 0.35 would lower the service result by 0.02.
pub(super) const SEVERE_OVERLOAD: f64 = 0.525;
/// The time in which the weight of a response in the ratios decays by a factor of e.
pub(super) const OVERLOAD_MEMORY: TimeDelta = TimeDelta::from_millis(3_000);
/// The overload ratio that is assumed without any responses.
const IDLE_RATIO: f64 = 0.2;

/// The fraction of late responses and rejections among recent responses, by the role of the endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OverloadRatios {
    replicas: DecayingRatio,
    primary: DecayingRatio,
}

impl OverloadRatios {
    fn of(&self, role: Role) -> &DecayingRatio {
        match role {
            Role::Replica => &self.replicas,
            Role::Primary => &self.primary,
        }
    }

    /// Adds a sample to the ratio of a role.
    pub(super) fn add(&mut self, now: Timestamp, role: Role, sample: OverloadSample) {
        let ratio = match role {
            Role::Replica => &mut self.replicas,
            Role::Primary => &mut self.primary,
        };
        ratio.add(now, OVERLOAD_MEMORY, sample.late, sample.total);
    }

    /// The overload ratio of a role over all groups. Meant for the counts of all groups together.
    pub(super) fn fleet_ratio(&self, now: Timestamp, role: Role) -> f64 {
        self.of(role).estimate(now, OVERLOAD_MEMORY, IDLE_RATIO)
    }

    /// The overload ratio of a role in one group. Meant for the counts of that group: the fewer responses
    /// there are, the closer it is to the ratio over all groups.
    pub(super) fn group_ratio(&self, now: Timestamp, role: Role, fleet_ratio: f64) -> f64 {
        self.of(role).estimate(now, OVERLOAD_MEMORY, fleet_ratio)
    }
}

/// The contribution of one outcome to an overload ratio: a number of responses, and how many of them count as
/// late. Both may be fractions.
#[derive(Clone, Copy, Debug)]
pub(super) struct OverloadSample {
    late: f64,
    total: f64,
}

impl OverloadSample {
    /// A response or a rejection, which counts in full.
    pub(super) fn response(is_late: bool) -> Self {
        Self { late: f64::from(u8::from(is_late)), total: 1.0 }
    }

    /// A lost response. It counts as late, but only to the extent that the endpoints are overloaded: among
    /// timely responses, a loss has another cause.
    pub(super) fn lost_response(overload: f64) -> Self {
        Self { late: overload, total: overload }
    }
}

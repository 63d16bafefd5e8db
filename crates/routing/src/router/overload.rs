//! The overload ratio of a group's primary and of its replicas: the fraction of responses that were late or
//! were rejections. It measures the load of all routers together, which the few responses of one endpoint do
//! not show.

use super::decaying::DecayingRatio;
use crate::{Role, TimeDelta, Timestamp};

/// The ratio from which load is shed.
pub(super) const SHEDDING_START: f64 = 0.35;
/// The ratio at which shedding is complete.
pub(super) const SHEDDING_COMPLETE: f64 = 0.7;
/// The ratio from which some requests are hopeless and reads are kept from the primary; 0.35 lost 0.02 of the
/// result.
pub(super) const SEVERE_OVERLOAD: f64 = 0.525;
/// How long responses count.
pub(super) const OVERLOAD_MEMORY: TimeDelta = TimeDelta::from_millis(3_000);
/// The ratio of an idle fleet.
const IDLE_RATIO: f64 = 0.2;

/// Late responses and rejections among all responses, by the role of the endpoint.
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

    /// Adds responses; `late` and `total` may be fractions.
    pub(super) fn add(&mut self, now: Timestamp, role: Role, sample: OverloadSample) {
        let ratio = match role {
            Role::Replica => &mut self.replicas,
            Role::Primary => &mut self.primary,
        };
        ratio.add(now, OVERLOAD_MEMORY, sample.late, sample.total);
    }

    /// The ratio over all groups.
    pub(super) fn fleet_ratio(&self, now: Timestamp, role: Role) -> f64 {
        self.of(role).estimate(now, OVERLOAD_MEMORY, IDLE_RATIO)
    }

    /// The ratio of a group; the less is known of it, the closer it is to the ratio over all groups.
    pub(super) fn group_ratio(&self, now: Timestamp, role: Role, fleet_ratio: f64) -> f64 {
        self.of(role).estimate(now, OVERLOAD_MEMORY, fleet_ratio)
    }
}

/// What an outcome shows of the load.
#[derive(Clone, Copy, Debug)]
pub(super) struct OverloadSample {
    late: f64,
    total: f64,
}

impl OverloadSample {
    /// A response, or a rejection.
    pub(super) fn response(is_late: bool) -> Self {
        Self { late: f64::from(u8::from(is_late)), total: 1.0 }
    }

    /// A lost response. Among responses in good time it shows no overload, among late ones it does.
    pub(super) fn lost_response(overload: f64) -> Self {
        Self { late: overload, total: overload }
    }
}

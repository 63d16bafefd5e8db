//! Fixtures shared by the unit tests of several components.

use super::latency::LatencyEstimates;
use crate::{Consistency, Idempotency, Operation, RequestClass, TimeDelta};

/// Latency estimates of one class of reads before any response: a mean of 100 ms and a mean deviation of
/// 50 ms.
pub(super) fn latency_of_one_class() -> LatencyEstimates {
    LatencyEstimates::new(&[RequestClass {
        name: "read".to_owned(),
        idempotency: Idempotency::Idempotent,
        operation: Operation::Read(Consistency::Eventual),
        latency_objective: TimeDelta::from_millis(400),
        objective_work_multiple: 0.0,
        priority_weight: 1.0,
        late_weight: 0.0,
    }])
}

//! Latency estimates: the mean and the mean deviation of each request class over all endpoints, and how much
//! slower than usual each endpoint responds.

#[cfg(test)]
mod tests;

use super::decaying::remaining_weight;
use crate::time::Microseconds;
use crate::{ClassId, RequestClass, TimeDelta, Timestamp};

/// The initial estimate of a class's mean latency, as a fraction of its latency objective. Too low an
/// estimate would time out requests.
const INITIAL_MEAN: f64 = 0.25;
/// The initial estimate of the mean deviation, as a fraction of the latency objective.
const INITIAL_MEAN_DEVIATION: f64 = 0.125;
/// The number of responses that the initial estimate counts for.
const INITIAL_SAMPLES: f64 = 4.0;
/// The largest number of responses that an estimate averages over: from then on it is an exponential moving
/// average in which a new response has the weight 1 / `MAX_SAMPLES`.
const MAX_SAMPLES: f64 = 33.0;
/// An attempt is overdue after the mean latency of its class plus this many mean deviations.
const OVERDUE_DEVIATIONS: f64 = 4.0;
/// The weight of the previous slowness of an endpoint in the moving average that each response updates.
const SLOWNESS_RETENTION: f64 = 0.9;
/// The weight of the previous slowness if the response is to a trial read. It is lower, because what was
/// known of an endpoint that was passed over is old.
const TRIAL_SLOWNESS_RETENTION: f64 = 0.5;
/// The lower bound of the slowness.
const MIN_SLOWNESS: f64 = 0.3;
/// The upper bound of the slowness.
const MAX_SLOWNESS: f64 = 10.0;
/// The time in which the difference of the slowness from 1 decays by a factor of e without new responses.
const SLOWNESS_MEMORY: TimeDelta = TimeDelta::from_millis(7_000);

/// The usual latency of a request class.
#[derive(Clone, Copy, Debug)]
pub(super) struct LatencyEstimate {
    mean: Microseconds,
    mean_deviation: Microseconds,
    /// The number of responses that the estimate counts for, up to [`MAX_SAMPLES`].
    samples: f64,
}

impl LatencyEstimate {
    fn from_objective(objective: TimeDelta) -> Self {
        let Microseconds(objective) = objective.into();
        Self {
            mean: Microseconds(objective * INITIAL_MEAN),
            mean_deviation: Microseconds(objective * INITIAL_MEAN_DEVIATION),
            samples: INITIAL_SAMPLES,
        }
    }

    pub(super) fn mean(&self) -> Microseconds {
        self.mean
    }

    /// The mean latency, but at least one microsecond, for use as a divisor.
    pub(super) fn positive_mean(&self) -> Microseconds {
        Microseconds(self.mean.0.max(1.0))
    }

    /// The mean latency in whole microseconds.
    pub(super) fn typical(&self) -> TimeDelta {
        self.quantile_bound(0.0)
    }

    /// The mean latency plus a number of mean deviations, which few responses exceed.
    pub(super) fn quantile_bound(&self, deviations: f64) -> TimeDelta {
        TimeDelta((self.mean.0 + deviations * self.mean_deviation.0) as i64)
    }

    /// How long after it was sent an unanswered attempt is overdue.
    pub(super) fn overdue_after(&self) -> TimeDelta {
        self.quantile_bound(OVERDUE_DEVIATIONS)
    }

    /// A duration as a multiple of the mean latency.
    pub(super) fn relative(&self, duration: TimeDelta) -> f64 {
        Microseconds::from(duration).0 / self.positive_mean().0
    }

    fn observe(&mut self, latency: Microseconds) {
        self.samples = (self.samples + 1.0).min(MAX_SAMPLES);
        let deviation = (latency.0 - self.mean.0).abs();
        self.mean_deviation.0 += (deviation - self.mean_deviation.0) / self.samples;
        self.mean.0 += (latency.0 - self.mean.0) / self.samples;
    }
}

/// The latency estimates of all classes.
#[derive(Clone, Debug)]
pub(super) struct LatencyEstimates {
    by_class: Vec<LatencyEstimate>,
}

impl LatencyEstimates {
    /// Creates initial estimates from the latency objectives of the classes.
    pub(super) fn new(classes: &[RequestClass]) -> Self {
        let estimate = |class: &RequestClass| LatencyEstimate::from_objective(class.latency_objective);
        Self { by_class: classes.iter().map(estimate).collect() }
    }

    pub(super) fn of(&self, class: ClassId) -> &LatencyEstimate {
        &self.by_class[class.0]
    }

    /// Updates the estimate of a class with the latency of a response.
    pub(super) fn observe(&mut self, class: ClassId, latency: TimeDelta) {
        self.by_class[class.0].observe(latency.into());
    }
}

/// The latency of an endpoint as a multiple of what is usual for the request class.
#[derive(Clone, Copy, Debug)]
pub(super) struct Slowness {
    factor: f64,
    observed_at: Timestamp,
}

impl Default for Slowness {
    fn default() -> Self {
        Self { factor: 1.0, observed_at: Timestamp::default() }
    }
}

impl Slowness {
    /// The latency as a multiple of the usual one. Without new responses it returns to 1 over time, since an
    /// endpoint that receives no requests cannot show that it has recovered.
    pub(super) fn factor(&self, now: Timestamp) -> f64 {
        let known = remaining_weight(self.observed_at, now, SLOWNESS_MEMORY);
        1.0 + (self.factor - 1.0) * known
    }

    /// Updates the slowness with the latency of a response.
    pub(super) fn observe(&mut self, now: Timestamp, latency: TimeDelta, usual: &LatencyEstimate) {
        self.update(now, usual.relative(latency), SLOWNESS_RETENTION);
    }

    /// Updates the slowness with the latency of the response to a trial read, which counts for more than that
    /// of another response.
    pub(super) fn observe_trial(&mut self, now: Timestamp, latency: TimeDelta, usual: &LatencyEstimate) {
        self.update(now, usual.relative(latency), TRIAL_SLOWNESS_RETENTION);
    }

    fn update(&mut self, now: Timestamp, relative_latency: f64, retention: f64) {
        let kept = self.factor(now) * retention;
        let factor = kept + (1.0 - retention) * relative_latency;
        self.factor = factor.clamp(MIN_SLOWNESS, MAX_SLOWNESS);
        self.observed_at = now;
    }
}

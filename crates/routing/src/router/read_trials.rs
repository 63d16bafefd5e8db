//! When a read goes to an endpoint that the load balancer passes over, to show whether it has recovered.
//!
//! An endpoint that is passed over for its slowness or its failures gets no reads, and so none of the
//! responses that would clear it. After it was passed over for a number of reads it takes the next one, if it
//! has nothing else to do. The number doubles with each read that it does not answer in the usual time.

#[cfg(test)]
mod tests;

/// The number of reads for which an endpoint is first passed over.
const MIN_INTERVAL: u32 = 2;
/// The number of reads for which an endpoint that stays slow is passed over.
const MAX_INTERVAL: u32 = 32;

/// The reads for which an endpoint was passed over, and how many more there are to be.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadTrials {
    /// Since its last response or failure.
    passed_over: u32,
    interval: u32,
}

impl Default for ReadTrials {
    fn default() -> Self {
        Self { passed_over: 0, interval: MIN_INTERVAL }
    }
}

impl ReadTrials {
    /// Whether the endpoint takes the next read that it would be passed over for.
    pub(super) fn is_due(&self) -> bool {
        self.passed_over >= self.interval
    }

    /// Whether it was passed over since its last response or failure, so that what is known of it is old.
    pub(super) fn was_passed_over(&self) -> bool {
        self.passed_over > 0
    }

    /// Records that it was passed over.
    pub(super) fn record_passed_over(&mut self) {
        self.passed_over = self.passed_over.saturating_add(1);
    }

    /// Records a response in the usual time.
    pub(super) fn record_timely_response(&mut self) {
        *self = Self::default();
    }

    /// Records a late response, or none.
    pub(super) fn record_failure(&mut self) {
        if self.was_passed_over() {
            self.interval = (2 * self.interval).min(MAX_INTERVAL);
        }
        self.passed_over = 0;
    }
}

//! Trial reads: reads that are sent to an endpoint that the load balancer passes over, to learn whether it
//! has recovered.
//!
//! An endpoint that is passed over for its slowness or its failures receives no reads, and so gives none of
//! the responses that would show a recovery. After it was passed over for a number of reads it is sent the
//! next one, if it has no other work. The number doubles with each trial read that is not answered in the
//! usual time.

#[cfg(test)]
mod tests;

/// The number of reads for which an endpoint is passed over before its first trial read.
const MIN_INTERVAL: u32 = 2;
/// The largest number of reads for which an endpoint is passed over between trial reads.
const MAX_INTERVAL: u32 = 32;

/// The schedule of an endpoint's trial reads, counted in reads for which it is passed over.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadTrials {
    /// The number of reads for which the endpoint was passed over since its last response or failure.
    passed_over: u32,
    /// The number of reads for which the endpoint is passed over before the next trial read.
    interval: u32,
}

impl Default for ReadTrials {
    fn default() -> Self {
        Self { passed_over: 0, interval: MIN_INTERVAL }
    }
}

impl ReadTrials {
    /// Whether the next read for which the endpoint would be passed over is a trial read.
    pub(super) fn is_due(&self) -> bool {
        self.passed_over >= self.interval
    }

    /// Whether the endpoint was passed over since its last response or failure, so that what is known of it
    /// is old.
    pub(super) fn was_passed_over(&self) -> bool {
        self.passed_over > 0
    }

    /// Records that the endpoint was passed over for a read.
    pub(super) fn record_passed_over(&mut self) {
        self.passed_over = self.passed_over.saturating_add(1);
    }

    /// Records a response in the usual time.
    pub(super) fn record_timely_response(&mut self) {
        *self = Self::default();
    }

    /// Records a late response, a rejection or a failure. The interval doubles if the endpoint was passed
    /// over since the last response or failure.
    pub(super) fn record_failure(&mut self) {
        if self.was_passed_over() {
            self.interval = (2 * self.interval).min(MAX_INTERVAL);
        }
        self.passed_over = 0;
    }
}

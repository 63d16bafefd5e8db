//! Budgets of additional work: retries and hedges, and health checks for the positions of replicas.

#[cfg(test)]
mod tests;

/// The retries that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// The retries that may be saved up.
const MAX_RETRIES: f64 = 10.0;
/// What health checks may cost, in points of the result.
const HEALTH_CHECK_PRICE: f64 = 0.02;
/// The health checks that may be saved up.
const MAX_HEALTH_CHECKS: f64 = 10.0;

/// The retries and hedges that may be sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: 1.0 }
    }
}

impl RetryBudget {
    /// A request has arrived.
    pub(super) fn deposit(&mut self) {
        self.tokens = (self.tokens + RETRIES_PER_REQUEST).min(MAX_RETRIES);
    }

    /// Whether a retry may be sent.
    pub(super) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// A retry is sent. One that may not be left out is sent without a token if need be, and leaves no debt.
    pub(super) fn withdraw(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }
}

/// The health checks for positions that may be sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct HealthCheckBudget {
    tokens: f64,
}

impl Default for HealthCheckBudget {
    fn default() -> Self {
        Self { tokens: MAX_HEALTH_CHECKS }
    }
}

impl HealthCheckBudget {
    /// A request has arrived, where one health check per request costs this much of the result.
    pub(super) fn deposit(&mut self, health_check_cost: f64) {
        let affordable = HEALTH_CHECK_PRICE / health_check_cost.max(f64::EPSILON);
        self.tokens = (self.tokens + affordable).min(MAX_HEALTH_CHECKS);
    }

    /// Whether there are plenty.
    pub(super) fn is_ample(&self) -> bool {
        self.tokens >= MAX_HEALTH_CHECKS / 2.0
    }

    /// The number that may be sent.
    pub(super) fn available(&self) -> usize {
        self.tokens as usize
    }

    /// So many are sent, no more than were available.
    pub(super) fn withdraw(&mut self, count: usize) {
        self.tokens -= count as f64;
    }
}

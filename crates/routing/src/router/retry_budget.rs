//! The budgets of requests beyond those of the clients: retries and hedges, and health checks of log
//! positions.

#[cfg(test)]
mod tests;

/// The number of retries or hedges that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// The largest number of retries or hedges that the budget holds.
const MAX_RETRIES: f64 = 10.0;
/// The largest amount by which health checks may lower the service result.
const MAX_HEALTH_CHECK_COST: f64 = 0.02;
/// The largest number of health checks that the budget holds.
const MAX_HEALTH_CHECKS: f64 = 10.0;

/// The retry budget: each token permits one retry or hedge.
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
    /// Records the arrival of a request, which adds to the budget.
    pub(super) fn deposit(&mut self) {
        self.tokens = (self.tokens + RETRIES_PER_REQUEST).min(MAX_RETRIES);
    }

    /// Whether the budget permits a retry or a hedge.
    pub(super) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Records that a retry or a hedge is sent. One that must be sent without a token leaves no debt.
    pub(super) fn withdraw(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }
}

/// The health-check budget: each token permits one health check of a replica's log position.
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
    /// Records the arrival of a request, which adds to the budget. `health_check_cost` is the amount by which
    /// one health check per request lowers the service result.
    pub(super) fn deposit(&mut self, health_check_cost: f64) {
        let affordable = MAX_HEALTH_CHECK_COST / health_check_cost.max(f64::EPSILON);
        self.tokens = (self.tokens + affordable).min(MAX_HEALTH_CHECKS);
    }

    /// Whether the budget is at least half full.
    pub(super) fn is_ample(&self) -> bool {
        self.tokens >= MAX_HEALTH_CHECKS / 2.0
    }

    /// The number of health checks that may be sent.
    pub(super) fn available(&self) -> usize {
        self.tokens as usize
    }

    /// Records that health checks are sent. There must have been at least `count` available.
    pub(super) fn withdraw(&mut self, count: usize) {
        self.tokens -= count as f64;
    }
}

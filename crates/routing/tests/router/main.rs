//! Tests of the router through its public interface, one module for each concern.

mod concurrency;
mod draining;
mod endpoints;
mod fleet_clock;
mod freshness;
mod health_checks;
mod hedging;
mod load_balancing;
mod outlier_ejection;
mod overload;
mod primary;
mod properties;
mod queueing;
mod retries;
mod slow_start;
mod slow_start_fleet;
mod support;
mod timeouts;

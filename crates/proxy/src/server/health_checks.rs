//! Health checks that the router requests. Each runs in a task of its own, so that an unresponsive endpoint
//! does not delay the checks of others.

use super::exchange::{Exchange, Query, exchange};
use super::pool::Pool;
use crate::protocol::parse_load_report;
use crate::router_handle::RouterHandle;
use async_channel::Receiver;
use async_executor::LocalExecutor;
use pooler_routing::{AttemptOutcome, EndpointId, Event};
use std::rc::Rc;
use std::time::Duration;

const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// Carries out the health checks that are requested through `requested`, until that channel is closed.
pub async fn run(
    executor: Rc<LocalExecutor<'static>>,
    router: Rc<RouterHandle>,
    pool: Rc<Pool>,
    requested: Receiver<EndpointId>,
) {
    while let Ok(endpoint) = requested.recv().await {
        let (router, pool) = (router.clone(), pool.clone());
        executor.spawn(async move { check(&router, &pool, endpoint).await }).detach();
    }
}

async fn check(router: &RouterHandle, pool: &Pool, endpoint: EndpointId) {
    let started = router.now();
    router.counters().health_checks.increment();
    let (outcome, load_report) = query_load_report(pool, &endpoint).await;
    let elapsed = router.now() - started;
    router.dispatch(Event::HealthCheckCompleted { endpoint, outcome, elapsed, load_report });
}

/// Queries an endpoint for its load report. Returns `None` for the report if the endpoint sends no valid one.
async fn query_load_report(pool: &Pool, endpoint: &EndpointId) -> (AttemptOutcome, Option<Vec<f64>>) {
    let Exchange { mut connection, response } =
        match exchange(pool, endpoint, Query::LoadReport, HEALTH_CHECK_TIMEOUT).await {
            Ok(exchange) => exchange,
            Err(outcome) => return (outcome, None),
        };
    let value = response.value.and_then(|range| connection.unread().get(range));
    let text = value.and_then(|value| std::str::from_utf8(value).ok());
    let load_report = text.and_then(|text| parse_load_report(text, pool.load_report_fields()));
    if response.ready_for_query {
        connection.consume(response.size);
        pool.release(endpoint, connection);
    }
    (response.outcome, load_report)
}

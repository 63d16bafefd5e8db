//! Probes, as the module asks for them: each on its own, so that a silent member holds up no other.

use crate::router_handle::RouterHandle;
use crate::server::pool::Pool;
use async_channel::Receiver;
use async_executor::LocalExecutor;
use pooler_routing::{EndpointId, Event};
use std::rc::Rc;

/// Carries out the probes that are asked for. Runs as long as the module does.
pub async fn run(
    executor: Rc<LocalExecutor<'static>>,
    router: Rc<RouterHandle>,
    pool: Rc<Pool>,
    wanted: Receiver<EndpointId>,
) {
    while let Ok(member) = wanted.recv().await {
        let (router, pool) = (router.clone(), pool.clone());
        executor.spawn(async move { probe(&router, &pool, member).await }).detach();
    }
}

async fn probe(router: &RouterHandle, pool: &Pool, member: EndpointId) {
    let sent = router.now();
    router.counters().health_checks.increment();
    let (verdict, report) = pool.probe(&member).await;
    let took = router.now() - sent;
    router.dispatch(Event::HealthCheckCompleted {
        endpoint: member,
        outcome: verdict,
        elapsed: took,
        load_report: report,
    });
}

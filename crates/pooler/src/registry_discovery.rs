//! Discovery through a service registry, in addition to the platform's discovery service: watches the
//! registry's instances, and maintains the pooler's own registration.

use crate::registry_config::{PoolerIdentity, registry_config};
use pooler_operator_config::RegistrySettings;
use pooler_proxy::Pooler;
use pooler_proxy::discovery::endpoint_directory::{EndpointUpdates, REGISTRY};
use pooler_proxy::memory_budget::{MemoryUse, Reservation};
use pooler_routing::Timestamp;
use pooler_routing::membership::{MergeResult, WatchEvent};
use pooler_service_registry::client::SetupError;
use pooler_service_registry::eureka::instance::InstanceStatus;
use pooler_service_registry::{
    EventSink, Registrar, RegistrationState, RegistryConfig, RegistryCounters, RegistryWatcher,
};
use std::cell::RefCell;
use std::fmt;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

/// The maximum time for which the process delays its exit until the registry confirms the deregistration.
/// The platform allows the process more time than this after the last responses.
const DEREGISTRATION_TIMEOUT: Duration = Duration::from_millis(100);

/// Starts to watch a registry, and registers the pooler there if the settings configure a registration. The
/// returned future deregisters the pooler; await it last, just before the process exits.
///
/// # Errors
///
/// When a file or a server URL of the settings can't be used.
pub fn start(
    pooler: &Pooler,
    settings: &RegistrySettings,
    name: &str,
    seed: u64,
) -> Result<impl Future<Output = ()> + use<>, SetupError> {
    let identity = PoolerIdentity { name, address: pooler.listening() };
    let config = registry_config(settings, Some(identity))?;
    let registration = Rc::new(RegistrationState::starting());
    let counters = Rc::new(RegistryCounters::default());
    let updates = pooler.endpoint_updates();
    updates.set_self_preservation(REGISTRY, config.self_preservation);
    let reservation = Rc::new(RefCell::new(pooler.memory_reservation()));
    let sink = DirectorySink { updates, registration: registration.clone(), reservation };
    start_registrar(pooler, &config, &sink, &counters)?;
    let registers_itself = config.self_registration.is_some();
    let watcher = RegistryWatcher::new(config, seed, sink, counters.clone())?;
    pooler.add_to_status_report(counters);
    pooler.spawn(watcher.run());
    Ok(async move {
        if registers_itself {
            registration.set_status(None);
            registration.wait_deregistered(DEREGISTRATION_TIMEOUT).await;
        }
    })
}

/// Starts the registrar if the pooler registers itself. The registrar reports the pooler as out of service
/// once the pooler drains.
fn start_registrar(
    pooler: &Pooler,
    config: &RegistryConfig,
    sink: &DirectorySink,
    counters: &Rc<RegistryCounters>,
) -> Result<(), SetupError> {
    let Some(registrar) = Registrar::new(config, sink.clone(), counters.clone())? else { return Ok(()) };
    let registration = sink.registration.clone();
    pooler.spawn(registrar.run(registration.clone()));
    let stages = pooler.shutdown_stages();
    pooler.spawn(async move {
        stages.draining.wait().await;
        registration.set_status(Some(InstanceStatus::OutOfService));
    });
    Ok(())
}

/// Applies the registry's watch events to the pooler's endpoint directory.
#[derive(Clone)]
struct DirectorySink {
    updates: EndpointUpdates,
    registration: Rc<RegistrationState>,
    /// The memory of the digest and of the poll in progress.
    reservation: Rc<RefCell<Reservation>>,
}

impl EventSink for DirectorySink {
    fn now(&self) -> Timestamp {
        self.updates.now()
    }

    fn apply(&self, event: WatchEvent) -> MergeResult {
        let result = self.updates.apply(REGISTRY, event);
        // The pooler can serve requests once it knows an active endpoint.
        if result.active_changes > 0 && self.registration.status() == Some(InstanceStatus::Starting) {
            self.registration.set_status(Some(InstanceStatus::Up));
        }
        result
    }

    fn reserve_memory(&self, size: usize) -> bool {
        self.reservation.borrow_mut().try_resize(MemoryUse::EndpointList, size)
    }

    fn log(&self, line: &dyn fmt::Display) {
        tracing::warn!("{line}");
    }
}

//! Registers the pooler with the registry, renews its lease, and cancels the registration on demand.

use crate::client::{ApiRequest, CallError, Client, DiscardBody, RegistryServer, SetupError};
use crate::config::{RegistryConfig, SelfRegistration};
use crate::counters::{RegistryCounters, increment};
use crate::eureka::instance::InstanceStatus;
use crate::eureka::lease::{LeaseOutcome, LeaseRequest, RegistrationLease};
use crate::sink::EventSink;
use crate::timer::sleep_until;
use async_io::Timer;
use event_listener::Event;
use futures_lite::future::or;
use hyper::Method;
use pooler_routing::TimeDelta;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Maintains the pooler's registration. The registrar has its own connection, since a slow snapshot on a
/// shared one would delay the announcement of a drain.
pub struct Registrar<S> {
    servers: Vec<RegistryServer>,
    client: Client,
    registration: SelfRegistration,
    sink: S,
    counters: Rc<RegistryCounters>,
}

impl<S: EventSink> Registrar<S> {
    /// Creates a registrar and reads the password, certificate and key files; `None` if the configuration has
    /// no self-registration.
    ///
    /// # Errors
    ///
    /// When a file can't be used or TLS can't be set up.
    pub fn new(
        config: &RegistryConfig,
        sink: S,
        counters: Rc<RegistryCounters>,
    ) -> Result<Option<Self>, SetupError> {
        let Some(registration) = config.self_registration.clone() else { return Ok(None) };
        let client = config.build_client()?;
        Ok(Some(Self { servers: config.servers.clone(), client, registration, sink, counters }))
    }

    /// Maintains the registration. Returns once the status is `None` and no registration is left to cancel.
    pub async fn run(mut self, state: Rc<RegistrationState>) {
        let mut lease = RegistrationLease::new(self.registration.renewal_interval, self.sink.now());
        let mut server_index = 0;
        loop {
            let status_changed = state.status_changed.listen();
            lease.set_status(self.sink.now(), state.status());
            match (lease.due_request(self.sink.now()), lease.next_request_at()) {
                (None, None) => return state.set_deregistered(),
                (None, Some(due)) => or(sleep_until(self.sink.now(), due), status_changed).await,
                (Some(request), _) => {
                    let sent = self.send_request(server_index, request, lease.last_dirty_ms());
                    // A status change abandons the pending request and is announced to the next server at
                    // once: a server that does not respond must not delay the announcement.
                    let interrupted = async {
                        status_changed.await;
                        LeaseOutcome::Failed
                    };
                    let outcome = or(sent, interrupted).await;
                    lease.record_outcome(self.sink.now(), request, outcome);
                    self.count_outcome(outcome);
                    if outcome == LeaseOutcome::Failed {
                        server_index = (server_index + 1) % self.servers.len();
                    }
                }
            }
        }
    }

    async fn send_request(
        &mut self,
        server_index: usize,
        request: LeaseRequest,
        last_dirty_ms: i64,
    ) -> LeaseOutcome {
        let SelfRegistration { app, id, .. } = &self.registration;
        let (method, path, json) = match request {
            LeaseRequest::Register(status) => {
                let instance = instance_json(&self.registration, status, last_dirty_ms);
                (Method::POST, format!("/apps/{app}"), Some(instance))
            }
            LeaseRequest::Renew(status) => {
                let status = status.name();
                let path = format!("/apps/{app}/{id}?status={status}&lastDirtyTimestamp={last_dirty_ms}");
                (Method::PUT, path, None)
            }
            LeaseRequest::Cancel => (Method::DELETE, format!("/apps/{app}/{id}"), None),
        };
        let request = ApiRequest { method, path: &path, json };
        match self.client.call(&self.servers[server_index], &request, &mut DiscardBody).await {
            Ok(()) => LeaseOutcome::Accepted,
            Err(CallError::Status { status: 404, .. }) => LeaseOutcome::NotRegistered,
            Err(_) => LeaseOutcome::Failed,
        }
    }

    fn count_outcome(&self, outcome: LeaseOutcome) {
        increment(match outcome {
            LeaseOutcome::Accepted => &self.counters.lease_requests_accepted,
            LeaseOutcome::NotRegistered | LeaseOutcome::Failed => &self.counters.lease_requests_failed,
        });
    }
}

/// Encodes the pooler as an instance in Eureka's JSON schema. Lease times are whole seconds, at least 1.
fn instance_json(registration: &SelfRegistration, status: InstanceStatus, last_dirty_ms: i64) -> Vec<u8> {
    let ip = registration.address.ip().to_string();
    let seconds = |delta: TimeDelta| (delta.0 / 1_000_000).max(1);
    let instance = serde_json::json!({"instance": {
        "instanceId": registration.id,
        "app": registration.app.to_ascii_uppercase(),
        "hostName": ip,
        "ipAddr": ip,
        "vipAddress": registration.app.to_ascii_lowercase(),
        "port": {"$": registration.address.port(), "@enabled": "true"},
        "securePort": {"$": 443, "@enabled": "false"},
        "status": status.name(),
        "overriddenstatus": "UNKNOWN",
        "dataCenterInfo": {
            "@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo",
            "name": "MyOwn",
        },
        "leaseInfo": {
            "renewalIntervalInSecs": seconds(registration.renewal_interval),
            "durationInSecs": seconds(registration.lease_duration),
        },
        "lastDirtyTimestamp": last_dirty_ms.to_string(),
    }});
    instance.to_string().into_bytes()
}

/// Passes the pooler's status to its [`Registrar`] and reports the end of the registration back.
#[derive(Debug)]
pub struct RegistrationState {
    status: Cell<Option<InstanceStatus>>,
    status_changed: Event,
    is_deregistered: Cell<bool>,
    deregistered: Event,
}

impl RegistrationState {
    /// The initial state: [`InstanceStatus::Starting`], as the pooler is not ready to serve yet.
    #[must_use]
    pub fn starting() -> Self {
        Self {
            status: Cell::new(Some(InstanceStatus::Starting)),
            status_changed: Event::new(),
            is_deregistered: Cell::new(false),
            deregistered: Event::new(),
        }
    }

    /// The status to announce; `None` if the registration is to be cancelled.
    #[must_use]
    pub fn status(&self) -> Option<InstanceStatus> {
        self.status.get()
    }

    /// Sets the status to announce and wakes the registrar; `None` cancels the registration.
    pub fn set_status(&self, status: Option<InstanceStatus>) {
        self.status.set(status);
        self.status_changed.notify(usize::MAX);
    }

    /// Waits until the [`Registrar`] has no registration left to cancel, or until `timeout` expires.
    pub async fn wait_deregistered(&self, timeout: Duration) {
        let deregistered = async {
            while !self.is_deregistered.get() {
                let listener = self.deregistered.listen();
                if !self.is_deregistered.get() {
                    listener.await;
                }
            }
        };
        let expired = async {
            Timer::after(timeout).await;
        };
        or(deregistered, expired).await;
    }

    fn set_deregistered(&self) {
        self.is_deregistered.set(true);
        self.deregistered.notify(usize::MAX);
    }
}

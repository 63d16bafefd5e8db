//! Converts the operator's registry settings into the configuration of the registry client.

use pooler_operator_config::{FetchMode, RegistrySettings};
use pooler_routing::TimeDelta;
use pooler_routing::membership::SelfPreservation;
use pooler_service_registry::client::{
    BasicCredentials, ClientIdentity, Credentials, RegistryServer, SetupError,
};
use pooler_service_registry::eureka::mapping::{DrainRelease, InstanceMapping};
use pooler_service_registry::eureka::networks::Networks;
use pooler_service_registry::eureka::poll_schedule::PollSettings;
use pooler_service_registry::{RegistryConfig, SelfRegistration};
use std::net::SocketAddr;
use std::sync::Arc;

/// The API path of the instances of all applications.
const ALL_APPS_PATH: &str = "/apps";
/// Maximum length of the default instance id of the pooler.
const MAX_DEFAULT_ID_CHARS: usize = 128;

/// The identity under which the pooler registers itself.
#[derive(Clone, Copy, Debug)]
pub struct PoolerIdentity<'a> {
    /// The pooler's name in the platform's configuration.
    pub name: &'a str,
    /// The address on which the pooler listens for clients.
    pub address: SocketAddr,
}

/// Returns the registry client's configuration for these settings. If `pooler` is `None`, self-registration
/// is off even if the settings configure it.
///
/// # Errors
///
/// When the URL of a registry server can't be used.
pub fn registry_config(
    settings: &RegistrySettings,
    pooler: Option<PoolerIdentity<'_>>,
) -> Result<RegistryConfig, SetupError> {
    let servers = settings.servers.iter().map(|server| RegistryServer::new(&server.url, server.address));
    Ok(RegistryConfig {
        servers: servers.collect::<Result<_, _>>()?,
        credentials: credentials(settings),
        call_timeout: settings.call_timeout,
        polling: PollSettings {
            interval: TimeDelta::from(settings.poll_interval),
            max_backoff: TimeDelta::from(settings.max_backoff),
            use_deltas: settings.fetch_mode == FetchMode::Delta,
        },
        max_body_bytes: settings.max_body_bytes,
        mapping: mapping(settings),
        self_preservation: SelfPreservation {
            max_missing_fraction: settings.max_missing_fraction,
            accept_after: settings.accept_loss_after.map(TimeDelta::from),
        },
        snapshot_path: snapshot_path(settings),
        self_registration: pooler.and_then(|pooler| self_registration(settings, pooler)),
    })
}

fn credentials(settings: &RegistrySettings) -> Credentials {
    let basic = settings
        .user
        .as_ref()
        .map(|user| BasicCredentials { user: user.name.clone(), password_file: user.password_file.clone() });
    let identity = settings.identity.as_ref().map(|identity| ClientIdentity {
        certificate_file: identity.certificate_file.clone(),
        key_file: identity.key_file.clone(),
    });
    Credentials { basic, ca_file: settings.ca_file.clone(), identity }
}

fn mapping(settings: &RegistrySettings) -> InstanceMapping {
    let mut networks = Networks::default();
    for network in &settings.networks {
        networks.add(network.prefix, network.zone.as_deref().map(Arc::from));
    }
    let drain_release = if settings.accept_override_removal {
        DrainRelease::OverrideRemoval
    } else {
        DrainRelease::Registration
    };
    InstanceMapping {
        // Eureka reports application names in upper case.
        apps: settings.apps.iter().map(|app| app.to_ascii_uppercase()).collect(),
        networks,
        group_key: settings.metadata_keys.group.clone(),
        default_group: settings.default_group,
        zone_key: settings.metadata_keys.zone.clone(),
        role_key: settings.metadata_keys.role.clone(),
        primary_role: settings.primary_role.clone(),
        started_at_key: settings.metadata_keys.started.clone(),
        use_secure_port: settings.use_secure_port,
        drain_release,
    }
}

fn snapshot_path(settings: &RegistrySettings) -> String {
    match settings.fetch_mode {
        FetchMode::Delta | FetchMode::Full => ALL_APPS_PATH.to_owned(),
        FetchMode::App => {
            let app = settings.apps.first().map_or("", String::as_str);
            format!("{ALL_APPS_PATH}/{app}")
        }
        FetchMode::Vip => format!("/vips/{}", settings.vip_address),
    }
}

fn self_registration(settings: &RegistrySettings, pooler: PoolerIdentity<'_>) -> Option<SelfRegistration> {
    let registration = settings.registration.as_ref()?;
    let default_id = || url_safe_id(&format!("{}:{}", pooler.name, pooler.address));
    Some(SelfRegistration {
        app: registration.app.clone(),
        id: registration.id.clone().unwrap_or_else(default_id),
        address: pooler.address,
        renewal_interval: TimeDelta::from(registration.renewal_interval),
        lease_duration: TimeDelta::from(registration.lease_duration),
    })
}

/// Makes an id usable in a URL path, since the platform may give the pooler any name: replaces all characters
/// but ASCII letters, digits and `._:-` by `-`, and truncates the id to [`MAX_DEFAULT_ID_CHARS`].
fn url_safe_id(id: &str) -> String {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "._:-".contains(c);
    id.chars().take(MAX_DEFAULT_ID_CHARS).map(|c| if is_allowed(c) { c } else { '-' }).collect()
}

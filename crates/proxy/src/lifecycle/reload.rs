//! Configuration reload on SIGHUP, which applies the address of discovery only.

use crate::config::Config;
use crate::discovery::address::DiscoveryAddress;
use crate::metrics::Counters;
use async_io::Timer;
use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long reading is retried if the file can't be read or is truncated, since it may be in the process of
/// being replaced. Changes that discovery reports at its new address have to take effect within 4 s of the
/// signal.
const RETRY_WINDOW: Duration = Duration::from_secs(3);
/// The delay before the first retry; it doubles with each further retry.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Reloads the configuration file.
pub(crate) struct Reloader {
    config_file: PathBuf,
    discovery: Rc<DiscoveryAddress>,
    counters: Rc<Counters>,
    /// The number of reloads that have been requested, which is also the number of the latest one.
    requested_reloads: Cell<u64>,
}

impl Reloader {
    /// Creates a reloader that reads `config_file` and sets the address in `discovery`.
    pub(crate) fn new(config_file: PathBuf, discovery: Rc<DiscoveryAddress>, counters: Rc<Counters>) -> Self {
        Self { config_file, discovery, counters, requested_reloads: Cell::new(0) }
    }

    /// Reads the configuration file and applies the address of discovery. All other changes in the file take
    /// effect at the next start; endpoints, connections and requests in flight are unaffected. An invalid
    /// file changes nothing. If the file may be in the process of being replaced, reading is retried until
    /// the retry window ends or the next reload is requested.
    pub(crate) async fn reload(self: Rc<Self>) {
        let (started, reload_number) = (Instant::now(), self.requested_reloads.get() + 1);
        self.requested_reloads.set(reload_number);
        let mut delay = FIRST_RETRY_DELAY;
        let mut logged = false;
        while self.requested_reloads.get() == reload_number {
            match Config::load(&self.config_file) {
                Ok(config) => return self.apply(&config),
                Err(error) => {
                    if !logged {
                        tracing::warn!("configuration kept as it was: {error}");
                        logged = true;
                    }
                    if !error.is_transient() || started.elapsed() >= RETRY_WINDOW {
                        return;
                    }
                }
            }
            Timer::after(delay).await;
            delay *= 2;
        }
    }

    fn apply(&self, config: &Config) {
        self.counters.config_reloads.increment();
        tracing::info!("configuration read again, discovery at {:?}", config.discovery_address);
        self.discovery.set(config.discovery_address);
    }
}

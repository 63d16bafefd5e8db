//! Reload of the configuration on SIGHUP, which applies the address of discovery.

use crate::config::Config;
use crate::discovery::address::DiscoveryAddress;
use crate::metrics::Counters;
use async_io::Timer;
use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a file that can't be read, or is truncated, is read again: it may be being replaced. What
/// discovery reports at its new address has to take effect within 4 s of the signal.
const RETRY_WINDOW: Duration = Duration::from_secs(3);
/// The first pause before the file is read again; each further one is twice as long.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Reads the configuration again.
pub(crate) struct Reloader {
    config_file: PathBuf,
    discovery: Rc<DiscoveryAddress>,
    counters: Rc<Counters>,
    /// The number of reloads requested so far.
    requested: Cell<u64>,
}

impl Reloader {
    /// One that reads `config_file`, and sets the address of `discovery`.
    pub(crate) fn new(config_file: PathBuf, discovery: Rc<DiscoveryAddress>, counters: Rc<Counters>) -> Self {
        Self { config_file, discovery, counters, requested: Cell::new(0) }
    }

    /// Reads the configuration again and applies the address of discovery. All other changes take effect at
    /// the next start; endpoints, connections and requests in flight are unaffected. A file that can't be
    /// used changes nothing; one that may be being replaced is read again for a while, or until the next
    /// signal.
    pub(crate) async fn reload(self: Rc<Self>) {
        let (started, reload) = (Instant::now(), self.requested.get() + 1);
        self.requested.set(reload);
        let mut delay = FIRST_RETRY_DELAY;
        let mut reported = false;
        while self.requested.get() == reload {
            match Config::load(&self.config_file) {
                Ok(config) => return self.apply(&config),
                Err(error) => {
                    if !reported {
                        tracing::warn!("configuration kept as it was: {error}");
                        reported = true;
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
        tracing::info!("configuration read again, discovery at {:?}", config.discovery);
        self.discovery.set(config.discovery);
    }
}

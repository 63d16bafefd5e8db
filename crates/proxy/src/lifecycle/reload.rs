//! Reload on SIGHUP: the configuration is read again, and discovery watched where it says.

use crate::config::Config;
use crate::discovery::address::DiscoveryAddress;
use crate::metrics::Counters;
use async_io::Timer;
use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// For how long a file that can't be read, or is not complete, is read again: it may be being replaced, and what its
/// discovery has to report counts as reported 4 s after the signal.
const RETRY_WINDOW: Duration = Duration::from_secs(3);
/// The pause before it is read again; each is twice the one before.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Reads the configuration again.
pub(crate) struct Reloader {
    config_file: PathBuf,
    discovery: Rc<DiscoveryAddress>,
    counters: Rc<Counters>,
    /// How many reloads were requested.
    requested: Cell<u64>,
}

impl Reloader {
    /// One that reads `config_file`, and sets the address of `discovery`.
    pub(crate) fn new(config_file: PathBuf, discovery: Rc<DiscoveryAddress>, counters: Rc<Counters>) -> Self {
        Self { config_file, discovery, counters, requested: Cell::new(0) }
    }

    /// Reads the configuration again and watches discovery where it says. All else in it takes effect at the next start;
    /// the endpoints, the connections and the requests in flight stay as they are. A file that can't be used changes
    /// nothing; one that may just be being replaced is read again for a while, or until the next signal.
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

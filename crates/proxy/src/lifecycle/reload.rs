//! SIGHUP: the configuration is read again, and discovery followed where it says.

use crate::config::Config;
use crate::discovery::watch::Source;
use crate::metrics::Counters;
use async_io::Timer;
use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a file that can't be read, or not whole, is read again: it may be being replaced, and what its discovery has to tell
/// counts as told 4 s after the signal.
const PATIENCE: Duration = Duration::from_secs(3);
/// The pause before it is read again; each is twice the one before.
const FIRST_PAUSE: Duration = Duration::from_millis(20);

/// Reads the configuration again.
pub(crate) struct Reloader {
    file: PathBuf,
    source: Rc<Source>,
    counters: Rc<Counters>,
    /// How many times it was asked to.
    asked: Cell<u64>,
}

impl Reloader {
    /// One that reads `file` and has `source` follow discovery where it says.
    pub(crate) fn new(file: PathBuf, source: Rc<Source>, counters: Rc<Counters>) -> Self {
        Self { file, source, counters, asked: Cell::new(0) }
    }

    /// Reads the configuration again and follows discovery where it says. All else in it holds from the next start;
    /// the list that is held, the connections and the open requests stay as they are. A file that can't be used
    /// changes nothing; one that may just be being replaced is read again for a while, or until the next signal.
    pub(crate) async fn reload(self: Rc<Self>) {
        let (started, number) = (Instant::now(), self.asked.get() + 1);
        self.asked.set(number);
        let mut pause = FIRST_PAUSE;
        let mut told = false;
        while self.asked.get() == number {
            match Config::load(&self.file) {
                Ok(config) => return self.follow(&config),
                Err(error) => {
                    if !std::mem::replace(&mut told, true) {
                        tracing::warn!("configuration kept as it was: {error}");
                    }
                    if !error.may_pass() || started.elapsed() >= PATIENCE {
                        return;
                    }
                }
            }
            Timer::after(pause).await;
            pause *= 2;
        }
    }

    fn follow(&self, config: &Config) {
        self.counters.config_reloads.increment();
        tracing::info!("configuration read again, discovery at {:?}", config.discovery);
        self.source.follow(config.discovery);
    }
}

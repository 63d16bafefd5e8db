//! Runs the pooler as a child process, with its files in a temporary folder of its own.

use crate::error::TestbedError;
use crate::{POLL_INTERVAL, WAIT_TIMEOUT, lock};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long to wait for the last log lines of a pooler that has ended.
const FINAL_LOG_WAIT: Duration = Duration::from_millis(50);

/// The settings of the testbed's poolers: the request classes of the site, with endpoints that perform
/// no checks of their own.
#[must_use]
pub fn settings() -> Value {
    let class = |name: &str, idempotency: &str, objective: f64, deadline: f64, priority_weight: f64| {
        json!({"Name": name, "Effect": idempotency, "Objective": objective, "Deadline": deadline,
               "Worth": priority_weight, "LateValue": 0.2, "KeyScope": "all", "Stream": false})
    };
    json!({"FleetSize": 1, "Zone": "adum", "Discovery": "push",
        "Lanes": [class("bundle-menu", "retryable", 400.0, 1000.0, 3.0),
                  class("my-recent", "retryable", 400.0, 1000.0, 1.0),
                  class("usage-history", "retryable", 300.0, 1000.0, 2.0),
                  class("balance-check", "retryable", 300.0, 1000.0, 1.0),
                  class("top-up", "fragile", 300.0, 5000.0, 3.0)],
        "FamilyInfo": {"NeedsByClass": ["lag_bound", "causal", "eventual", "strong", "mutate"],
                       "OldestData": [1500.0, 0.0, 0.0, 0.0, 0.0],
                       "WhenBehind": "none", "SessionMarks": "kept", "Zero": 0.0},
        "Report": {"Fields": ["x0", "x1"], "How": "probe"},
        "Limits": {"SendCap": 10, "MayDuplicate": false, "Probing": true, "Cancel": true, "RetryAfter": true,
                   "MaxRetryAfter": 2000.0, "DialTimeout": 250.0, "Keepalive": 60000.0},
        "Rules": {"DrainGrace": 250.0, "ColdFrom": 0.16, "Cold": 16000.0, "FallMultiple": 2.5, "Fall": 3000.0}})
}

/// The path of the pooler's executable: the value of `POOLER_PROGRAM`, or else `pooler` in the folder of
/// this executable.
#[must_use]
pub fn default_program() -> PathBuf {
    std::env::var_os("POOLER_PROGRAM").map(PathBuf::from).unwrap_or_else(|| {
        let own = std::env::current_exe().unwrap_or_default();
        own.parent().unwrap_or(Path::new(".")).join("pooler")
    })
}

/// A running pooler whose configuration lists no endpoints. Dropping it kills the process and deletes its
/// folder.
pub struct PoolerProcess {
    child: Child,
    /// The address on which the pooler accepts clients.
    pub address: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
    folder: PathBuf,
}

impl PoolerProcess {
    /// Starts `program`, with an operator's file that contains `operator` if that is given, and waits until
    /// the pooler listens.
    ///
    /// # Errors
    ///
    /// If the pooler can't be started, ends, or logs no listen address in time.
    pub fn start(program: &Path, operator: Option<&str>) -> Result<Self, TestbedError> {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("pooler-testbed-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let config = json!({"name": format!("lab{number}"), "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"generation": 0, "reset": true, "instances": []}, "settings": settings()});
        std::fs::write(folder.join("config.json"), config.to_string())?;
        let mut command = Command::new(program);
        command.env("GW_CONFIG", folder.join("config.json")).env_remove("LINNETDEAL_OPERATOR");
        if let Some(text) = operator {
            std::fs::write(folder.join("operator.cue"), text)?;
            command.env("LINNETDEAL_OPERATOR", folder.join("operator.cue"));
        }
        let mut child = command.stderr(Stdio::piped()).spawn()?;
        let log = Arc::new(Mutex::new(Vec::new()));
        if let Some(stderr) = child.stderr.take() {
            collect_lines(stderr, log.clone());
        }
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut pooler = Self { child, address, log, folder };
        let line = pooler.wait_for_log(" listening on ")?;
        let address = line.rsplit(' ').next().and_then(|text| text.parse().ok());
        pooler.address = address.ok_or(TestbedError::NoListenAddress { line })?;
        Ok(pooler)
    }

    /// Starts `program` with an operator's file, and waits until it has read the registry.
    ///
    /// # Errors
    ///
    /// If the pooler does not start, or does not read the registry in time.
    pub fn start_with_registry(program: &Path, operator: &str) -> Result<Self, TestbedError> {
        let mut pooler = Self::start(program, Some(operator))?;
        pooler.wait_for_log("instances read")?;
        Ok(pooler)
    }

    /// Waits for a log line that contains `text`, and returns the first one, which may be an earlier line.
    ///
    /// # Errors
    ///
    /// If no such line is logged in time, or the pooler ends first.
    pub fn wait_for_log(&mut self, text: &str) -> Result<String, TestbedError> {
        let give_up_at = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < give_up_at {
            if let Some(line) = lock(&self.log).iter().find(|line| line.contains(text)) {
                return Ok(line.clone());
            }
            if let Some(status) = self.child.try_wait()? {
                std::thread::sleep(FINAL_LOG_WAIT);
                return Err(TestbedError::PoolerExited { status, log: self.log().join("\n") });
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Err(TestbedError::NoLogLine { text: text.to_owned(), log: self.log().join("\n") })
    }

    /// All lines that the pooler has logged.
    #[must_use]
    pub fn log(&self) -> Vec<String> {
        lock(&self.log).clone()
    }

    /// The process id of the pooler.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGTERM to the pooler.
    ///
    /// # Errors
    ///
    /// If the `kill` command can't be run.
    pub fn terminate(&self) -> Result<(), TestbedError> {
        Command::new("kill").args(["-s", "TERM", &self.id().to_string()]).status()?;
        Ok(())
    }

    /// Waits until the pooler has ended.
    ///
    /// # Errors
    ///
    /// If the pooler does not end in time.
    pub fn wait(&mut self) -> Result<ExitStatus, TestbedError> {
        let give_up_at = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < give_up_at {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Err(TestbedError::PoolerDidNotExit)
    }
}

/// Starts a thread that appends the lines of a stream to a log as they arrive.
fn collect_lines(stream: impl Read + Send + 'static, log: Arc<Mutex<Vec<String>>>) {
    std::thread::spawn(move || {
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            lock(&log).push(line);
        }
    });
}

impl Drop for PoolerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

//! Starts the pooler with the `run` command of the deploy file, as a process of its own.

use crate::discovery::Discovery;
use crate::messages::{self, Reader};
use crate::record::Record;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The settings of the site couva-paint, as its instances receive them. `FLEET` stands for the fleet's size.
const SETTINGS: &str = r#"{"Clients":{"MarksRetry":false},
"Costs":{"Connection":0.0,"CrossZone":0.01,"Discovery":0.0,"Handshake":0.0,"LateFail":0.03,"Moves":0.0,"Origin":0.0,"Peer":0.0,"Probe":0.01,"Waste":0.03},
"Discovery":"push",
"FamilyInfo":{"HoldsFor":0.0,"NeedsByClass":["lag_bound","causal","eventual","eventual","mutate"],"OldestData":[3000.0,0.0,0.0,0.0,0.0],"ReportX0":"position_in_seconds_after_zero","ReportX1":"1_from_a_primary","SessionMarks":"kept","ShowsRole":"trailing","TellsPosition":false,"WaitsForCopy":false,"WhenBehind":"none","Zero":0.0},
"FleetSize":FLEET,"Kinds":["std-5core"],
"Lanes":[
{"Name":"formula-lookup","Effect":"retryable","Deadline":800.0,"Objective":200.0,"KeyScope":"all","LateValue":0.0,"Stream":false,"Window":5000.0,"Worth":1.0},
{"Name":"my-orders","Effect":"retryable","Deadline":1000.0,"Objective":250.0,"KeyScope":"all","LateValue":0.2,"Stream":false,"Window":5000.0,"Worth":3.0},
{"Name":"stock-history","Effect":"retryable","Deadline":1000.0,"Objective":300.0,"KeyScope":"all","LateValue":0.0,"Stream":false,"Window":5000.0,"Worth":3.0},
{"Name":"usage-report","Effect":"retryable","Deadline":4000.0,"Objective":2000.0,"KeyScope":"all","LateValue":0.2,"Stream":false,"Window":5000.0,"Worth":6.0},
{"Name":"place-order","Effect":"fragile","Deadline":3000.0,"Objective":500.0,"KeyScope":"all","LateValue":0.3,"Stream":false,"Window":5000.0,"Worth":6.0}],
"Layer":0,
"Limits":{"Cancel":true,"CpuUsPerRequest":0.0,"CpuUsPerS":50000,"DialTimeout":250.0,"Keepalive":30000.0,"MaxRetryAfter":1000.0,"MayDuplicate":false,"OpenCap":20000,"Peers":false,"Probing":true,"RetryAfter":true,"SendCap":6,"StreamsPerConn":1},
"ObjectiveMix":{"Whole":0.5,"WorstClass":0.2,"WorstTenant":0.0,"WorstWindow":0.3},
"OverShareWorth":0.1,"Rank":0,"Report":{"Fields":["x0","x1"],"How":"probe"},"Resolution":5.0,
"Rules":{"AnswerSlack":20.0,"AskEvery":10000.0,"Cold":15000.0,"ColdFrom":0.18,"DrainGrace":500.0,"Fall":1500.0,"FallMultiple":3.0},
"ServiceType":"replicas","Tenants":[],"Tiers":["paint-db"],"WeightSource":"nominal","WorthBy":"request","Zone":"south-depot","Zones":["main-office","south-depot"]}"#;

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// What a case sets in the configuration.
pub struct Options {
    pub fleet: u32,
    pub memory_mb: u32,
    pub sockets: u32,
}

pub struct Pooler {
    child: Child,
    pub address: SocketAddr,
    folder: PathBuf,
}

fn run_command() -> Result<String, String> {
    let text = std::fs::read_to_string("deploy/balancer.toml").map_err(|error| error.to_string())?;
    let line = text.lines().find(|line| line.starts_with("run")).ok_or("no run in the deploy file")?;
    line.split('"').nth(1).map(str::to_owned).ok_or_else(|| "no run in the deploy file".to_owned())
}

impl Pooler {
    /// Starts the pooler and waits until it answers an empty query.
    pub fn start(discovery: &Discovery, options: &Options, record: &Record) -> Result<Self, String> {
        let text = |error: std::io::Error| error.to_string();
        let folder = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), crate::now_us()));
        std::fs::create_dir_all(folder.join("tmp")).map_err(text)?;
        let address = TcpListener::bind("127.0.0.1:0").and_then(|free| free.local_addr()).map_err(text)?;
        let settings = SETTINGS.replace("FLEET", &options.fleet.to_string());
        let config = format!(
            "{{\"name\":\"n1\",\"listen\":\"{address}\",\"discovery\":\"{}\",\"seed\":\"{:016x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{},\"settings\":{settings}}}",
            discovery.address,
            crate::now_us(),
            options.memory_mb,
            options.sockets,
            discovery.known().trim_end()
        );
        let file = folder.join("config.json");
        std::fs::write(&file, config).map_err(text)?;
        let log = std::fs::File::create(folder.join("log")).map_err(text)?;
        let mut command = Command::new("/bin/sh");
        // SAFETY: prctl is async-signal-safe. The pooler gets SIGKILL if this program ends before it.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command
            .args(["-c", &run_command()?])
            .env("GW_NAME", "n1")
            .env("GW_LISTEN", address.to_string())
            .env("GW_DISCOVERY", discovery.address.to_string())
            .env("GW_CONFIG", &file)
            .env("TMPDIR", folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(text)?)
            .stderr(log)
            .spawn()
            .map_err(text)?;
        record.line(&format!("pooler started, listening on {address}"));
        let pooler = Self { child, address, folder };
        let give_up = Instant::now() + Duration::from_secs(15);
        while Instant::now() < give_up {
            if pooler.answers_empty_query().is_ok() {
                record.line("pooler ready: it answered an empty query");
                return Ok(pooler);
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err("the pooler did not become ready".to_owned())
    }

    fn answers_empty_query(&self) -> std::io::Result<()> {
        let mut stream = TcpStream::connect(self.address)?;
        stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        let mut bytes = messages::startup();
        bytes.extend_from_slice(&messages::query(""));
        stream.write_all(&bytes)?;
        let mut reader = Reader::new();
        while reader.message(&mut stream)?.0 != b'I' {}
        Ok(())
    }

    /// Whether the process has ended; its status.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }
}

impl Drop for Pooler {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

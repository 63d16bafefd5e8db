//! Usual clients read and write; one data server spoils some of its answers to empty queries, which never end. Every
//! request of the usual clients has to get its final answer.

use super::{Verdict, judge_answers};
use crate::load::{Deployment, Load};
use crate::pooler::{Options, Pooler};
use crate::record::Record;
use std::time::Duration;

/// The usual clients: about 200 requests a second in all.
const CLIENTS: usize = 20;
const MEAN_PAUSE_S: f64 = 0.1;
const BEFORE: Duration = Duration::from_secs(3);
/// How many answers are spoilt, and the time from one to the next.
const SPOILT: u32 = 10;
const INTERVAL: Duration = Duration::from_secs(2);
const AFTER: Duration = Duration::from_secs(3);

pub fn run(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let deployment = Deployment::start(record)?;
    let options = Options { fleet: 3, memory_mb: 64, sockets: 512 };
    let mut pooler = Pooler::start(&deployment.discovery, &options, record)?;
    let load = Load::start(pooler.address, CLIENTS, MEAN_PAUSE_S, record);
    std::thread::sleep(BEFORE);
    for _ in 0..SPOILT {
        if trouble {
            deployment.servers[1].spoil_next();
        }
        std::thread::sleep(INTERVAL);
    }
    std::thread::sleep(AFTER);
    judge_answers(load.finish(), &mut pooler)
}

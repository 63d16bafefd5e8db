//! Usual clients read and write; beside them one bad client asks for TLS, is turned away, and asks again at once, at
//! full speed. Every request of the usual clients has to get its final answer.

use super::{Verdict, judge_answers};
use crate::load::{Deployment, Load};
use crate::pooler::{Options, Pooler};
use crate::record::Record;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The message with which a client asks for TLS, and how many of them the bad client sends at once.
const SSL_REQUEST: [u8; 8] = [0, 0, 0, 8, 4, 210, 22, 47];
const AT_ONCE: usize = 500;
/// The usual clients: about 200 requests a second in all.
const CLIENTS: usize = 20;
const MEAN_PAUSE_S: f64 = 0.1;
const BEFORE: Duration = Duration::from_secs(3);
/// How long the bad client sends.
const BAD: Duration = Duration::from_secs(6);
const AFTER: Duration = Duration::from_secs(3);

/// The bad client: it asks for TLS hundreds of times at once, again and again at full speed, and reads whatever
/// it is sent. If its connection ends, it does the same on a new one.
struct BadClient<'a> {
    address: SocketAddr,
    record: &'a Record,
}

impl BadClient<'_> {
    fn run(&self, until: Instant) {
        while Instant::now() < until {
            let (mut asked, turned_away) = (0, Arc::new(AtomicU64::new(0)));
            let result = self.run_connection(until, &mut asked, &turned_away);
            let turned_away = turned_away.load(Ordering::SeqCst);
            self.record.line(&format!(
                "bad client: asked {asked} times, turned away {turned_away} times, connection ended: {result:?}"
            ));
        }
    }

    fn run_connection(&self, until: Instant, asked: &mut u64, turned_away: &Arc<AtomicU64>) -> std::io::Result<()> {
        let mut stream = TcpStream::connect(self.address)?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(Duration::from_secs(1)))?;
        self.record.line("bad client: connected");
        let (mut receiving, count_answers) = (stream.try_clone()?, turned_away.clone());
        std::thread::spawn(move || {
            let mut answers = [0; 64 * 1024];
            while let Ok(count @ 1..) = receiving.read(&mut answers) {
                let refusals = answers[..count].iter().filter(|answer| **answer == b'N').count();
                count_answers.fetch_add(refusals as u64, Ordering::SeqCst);
            }
        });
        let requests = SSL_REQUEST.repeat(AT_ONCE);
        let mut result = Ok(());
        while Instant::now() < until && result.is_ok() {
            result = stream.write_all(&requests);
            *asked += AT_ONCE as u64;
        }
        let _ = stream.shutdown(Shutdown::Both);
        result
    }
}

pub fn run(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let deployment = Deployment::start(record)?;
    let options = Options { fleet: 3, memory_mb: 64, sockets: 512 };
    let mut pooler = Pooler::start(&deployment.discovery, &options, record)?;
    let load = Load::start(pooler.address, CLIENTS, MEAN_PAUSE_S, record);
    std::thread::sleep(BEFORE);
    if trouble {
        BadClient { address: pooler.address, record }.run(Instant::now() + BAD);
    } else {
        std::thread::sleep(BAD);
    }
    std::thread::sleep(AFTER);
    judge_answers(load.finish(), &mut pooler)
}

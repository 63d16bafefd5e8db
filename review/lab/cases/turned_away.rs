//! Usual clients read and write; beside them one bad client asks for TLS, is turned away, and asks again at once, at
//! full speed. Every request of the usual clients has to get its final answer.

use super::{Verdict, judge_answers};
use crate::load::{Deployment, Load};
use crate::pooler::{Options, Pooler};
use crate::record::Record;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
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

/// The bad client: it asks for TLS hundreds of times at once, and asks once more for each time that it is
/// turned away. If its connection ends, it does the same on a new one.
struct BadClient<'a> {
    address: SocketAddr,
    record: &'a Record,
    asked: u64,
    turned_away: u64,
}

impl BadClient<'_> {
    fn run(&mut self, until: Instant) {
        while Instant::now() < until {
            let result = self.run_connection(until);
            let (asked, turned_away) = (self.asked, self.turned_away);
            self.record.line(&format!(
                "bad client: asked {asked} times, turned away {turned_away} times, connection ended: {result:?}"
            ));
        }
    }

    fn run_connection(&mut self, until: Instant) -> std::io::Result<()> {
        let mut stream = TcpStream::connect(self.address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        self.record.line("bad client: connected");
        let requests = SSL_REQUEST.repeat(AT_ONCE);
        stream.write_all(&requests)?;
        self.asked += AT_ONCE as u64;
        let mut answers = [0; AT_ONCE];
        while Instant::now() < until {
            let count = stream.read(&mut answers)?;
            if count == 0 || answers[..count].iter().any(|answer| *answer != b'N') {
                return Ok(());
            }
            self.turned_away += count as u64;
            stream.write_all(&requests[..count * SSL_REQUEST.len()])?;
            self.asked += count as u64;
        }
        Ok(())
    }
}

pub fn run(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let deployment = Deployment::start(record)?;
    let options = Options { fleet: 3, memory_mb: 64, sockets: 512 };
    let mut pooler = Pooler::start(&deployment.discovery, &options, record)?;
    let load = Load::start(pooler.address, CLIENTS, MEAN_PAUSE_S, record);
    std::thread::sleep(BEFORE);
    if trouble {
        BadClient { address: pooler.address, record, asked: 0, turned_away: 0 }.run(Instant::now() + BAD);
    } else {
        std::thread::sleep(BAD);
    }
    std::thread::sleep(AFTER);
    judge_answers(load.finish(), &mut pooler)
}

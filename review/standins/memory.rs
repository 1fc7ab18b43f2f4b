//! A platform that ends processes which exceed their memory, and clients that read on kept
//! connections meanwhile.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::support::*;

pub const MEMORY_MB: u64 = 260;
pub const READ_WORK: Duration = Duration::from_millis(360);
/// `stable_window`: only machines whose process has run for this long are judged.
pub const STABLE_WINDOW: Duration = Duration::from_secs(3);
const READ_DEADLINE_MS: u64 = 2_500;
/// Requests that a machine may lose.
const TOLERATED: usize = 3;
/// Time until the platform starts a process again.
const RESTART: Duration = Duration::from_millis(500);
/// Time after a kill in which its clients notice the end of their connections.
const NOTICE: Duration = Duration::from_millis(500);

/// What the platform knows of each machine.
struct Machines {
    nodes: Vec<Node>,
    started: Vec<Instant>,
    /// When each process was killed, and how long it had run.
    kills: Vec<Vec<(Instant, Duration)>>,
    peak_bytes: Vec<u64>,
}

/// A request on a kept connection that ended without an answer.
struct Lost {
    machine: usize,
    id: String,
    at: Instant,
}

/// The platform and the clients that read.
pub struct Watch {
    pub record: Record,
    pub stop: Stop,
    pub callers: Vec<SocketAddr>,
    pub next: Arc<AtomicUsize>,
    machines: Arc<Mutex<Machines>>,
    lost: Arc<Mutex<Vec<Lost>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Watch {
    /// Watches the memory of these nodes.
    pub fn start(nodes: Vec<Node>, record: &Record) -> Self {
        let machines = Machines {
            started: vec![Instant::now() - STABLE_WINDOW; nodes.len()],
            kills: vec![Vec::new(); nodes.len()],
            peak_bytes: vec![0; nodes.len()],
            nodes,
        };
        let mut watch = Self {
            record: record.clone(),
            stop: Arc::new(AtomicBool::new(false)),
            callers: machines.nodes.iter().map(Node::callers).collect(),
            next: Arc::default(),
            machines: Arc::new(Mutex::new(machines)),
            lost: Arc::default(),
            threads: Vec::new(),
        };
        let (machines, stop, record) = (
            Arc::clone(&watch.machines),
            Arc::clone(&watch.stop),
            record.clone(),
        );
        watch.spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                limit_memory(&mut machines.lock().unwrap(), &record);
                thread::sleep(Duration::from_millis(2));
            }
        });
        watch
    }

    /// Starts a thread that ends when the run stops.
    pub fn spawn(&mut self, run: impl FnOnce() + Send + 'static) {
        self.threads.push(thread::spawn(run));
    }

    /// Starts clients of a machine that read on kept connections.
    pub fn start_readers(&mut self, machine: usize, count: usize) {
        for _ in 0..count {
            let (address, stop) = (self.callers[machine], Arc::clone(&self.stop));
            let (next, lost) = (Arc::clone(&self.next), Arc::clone(&self.lost));
            let record = self.record.clone();
            self.spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    // Fails while the process is down; the client tries again.
                    let ended = read_on_one_connection(address, &next, &stop, &record);
                    if let Ok(Some(id)) = ended {
                        let at = Instant::now();
                        lost.lock().unwrap().push(Lost { machine, id, at });
                    }
                    thread::sleep(Duration::from_millis(50));
                }
            });
        }
    }

    /// Stops the run and judges the machines. `servers` tell which requests ran.
    pub fn judge(self, servers: &[Server]) -> i32 {
        let Self {
            record,
            stop,
            machines,
            lost,
            threads,
            ..
        } = self;
        stop.store(true, Ordering::Relaxed);
        for thread in threads {
            let _ = thread.join();
        }
        let machines = machines.lock().unwrap();
        let mut is_broken = false;
        for machine in 0..machines.nodes.len() {
            let mut count = 0;
            for lost in lost.lock().unwrap().iter() {
                let ran: usize = servers
                    .iter()
                    .map(|server| server.run_count(&lost.id))
                    .sum();
                // The kill that ended the connection, of a process that had run for long enough.
                let is_judged = machines.kills[machine].iter().any(|(at, ran_for)| {
                    let since = lost.at.saturating_duration_since(*at);
                    *ran_for > STABLE_WINDOW && since < NOTICE
                });
                if lost.machine != machine || ran == 0 || !is_judged {
                    continue;
                }
                count += 1;
                record.line(&format!(
                    "LOST: {} from a kept connection to sidecar-{machine} ran and got no answer",
                    lost.id
                ));
            }
            let kills = machines.kills[machine].len();
            let peak_mb = machines.peak_bytes[machine] >> 20;
            record.line(&format!(
                "sidecar-{machine}: {count} requests lost, {kills} ends for memory, peak {peak_mb} MB"
            ));
            is_broken |= count > TOLERATED;
        }
        let often = machines.kills.iter().filter(|kills| kills.len() >= 3);
        record.line(&format!(
            "{} of {} machines ended three times or more",
            often.count(),
            machines.kills.len()
        ));
        if is_broken { BROKEN } else { HELD }
    }
}

/// Ends each process that has more memory than its machine, and starts it again.
fn limit_memory(machines: &mut Machines, record: &Record) {
    for index in 0..machines.nodes.len() {
        let node = &mut machines.nodes[index];
        let bytes = node.resident_bytes();
        let peak = &mut machines.peak_bytes[index];
        *peak = bytes.max(*peak);
        if bytes <= MEMORY_MB << 20 {
            continue;
        }
        let ran_for = machines.started[index].elapsed();
        record.line(&format!(
            "platform: the process on {} has {} MB of {MEMORY_MB} MB after {:.1} s and is killed",
            node.name,
            bytes >> 20,
            ran_for.as_secs_f64()
        ));
        machines.kills[index].push((Instant::now(), ran_for));
        node.kill();
        thread::sleep(RESTART);
        if let Err(error) = node.spawn() {
            record.line(&format!("platform: {} does not start: {error}", node.name));
        }
        machines.started[index] = Instant::now();
    }
}

/// Sends one read after the other on a connection until it ends. Returns the id of a read
/// that got no answer, unless it was the first one.
fn read_on_one_connection(
    address: SocketAddr,
    next: &AtomicUsize,
    stop: &AtomicBool,
    record: &Record,
) -> io::Result<Option<String>> {
    let mut client = Client::connect(address)?;
    let mut is_kept = false;
    while !stop.load(Ordering::Relaxed) {
        let id = format!("r{:05}", next.fetch_add(1, Ordering::Relaxed));
        client.send("GET", "/read/x", &id, READ_DEADLINE_MS, 0)?;
        let (seen, keeps) = client.receive();
        record.line(&format!("client of {id} sees {seen:?}"));
        if matches!(seen, Seen::Cut(_)) {
            return Ok(is_kept.then_some(id));
        }
        if !keeps {
            return Ok(None);
        }
        is_kept = true;
    }
    Ok(None)
}

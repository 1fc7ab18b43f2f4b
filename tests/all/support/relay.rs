//! A TCP relay that stands between an entry and a gate, and can hold, cut and
//! strand what goes through it, as a bad network does.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use eyre::Result;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;

use super::loopback;

const CHUNK_BYTES: usize = 16 * 1024;

/// What the relay does now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Rule {
    /// Bytes towards the gate are kept back.
    hold_requests: bool,
    /// Bytes towards the entry are kept back.
    hold_answers: bool,
    /// New connections are reset.
    refuse: bool,
    /// Connections of earlier cuts are reset on both sides.
    cuts: u64,
    /// Connections of earlier strandings are reset towards the entry only.
    strandings: u64,
    /// What stranded connections kept back reaches the gate.
    deliver_stranded: bool,
}

struct Shared {
    gate: SocketAddr,
    rule: watch::Sender<Rule>,
    /// Bytes that may still go to the entry before a cut.
    answer_budget: Mutex<Option<usize>>,
    /// What the gate has sent on stranded connections.
    late_answers: Mutex<Vec<u8>>,
    /// Bytes kept back towards the gate, one buffer a connection.
    kept: Mutex<Vec<Arc<Mutex<Vec<u8>>>>>,
}

/// How a connection through the relay ends.
enum End {
    /// One side closed it.
    Closed,
    /// Reset on both sides.
    Cut,
    /// Reset towards the entry; what is kept back still reaches the gate.
    Stranded,
}

/// A running relay; it ends when this value is dropped.
pub struct Relay {
    addr: SocketAddr,
    shared: Arc<Shared>,
    accepting: AbortHandle,
}

impl Relay {
    /// Relays to the gate at `gate` until told otherwise.
    pub async fn start(gate: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(loopback()).await?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            gate,
            rule: watch::Sender::new(Rule::default()),
            answer_budget: Mutex::new(None),
            late_answers: Mutex::default(),
            kept: Mutex::default(),
        });
        let accepting = tokio::spawn(accept(listener, Arc::clone(&shared)));
        Ok(Self {
            addr,
            shared,
            accepting: accepting.abort_handle(),
        })
    }

    /// Where entries connect.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Keeps back, or passes on again, what entries send.
    pub fn hold_requests(&self, hold: bool) {
        self.shared
            .rule
            .send_modify(|rule| rule.hold_requests = hold);
    }

    /// Keeps back, or passes on again, what the gate sends.
    pub fn hold_answers(&self, hold: bool) {
        self.shared
            .rule
            .send_modify(|rule| rule.hold_answers = hold);
    }

    /// Resets all connections; new ones go through.
    pub fn cut(&self) {
        self.shared.rule.send_modify(|rule| rule.cuts += 1);
    }

    /// Resets, or lets through, every new connection.
    pub fn refuse(&self, refuse: bool) {
        self.shared.rule.send_modify(|rule| rule.refuse = refuse);
    }

    /// Resets all connections towards the entries only. What was kept back of
    /// them stays in the network until [`Self::deliver_stranded`]; new ones
    /// keep back nothing.
    pub fn strand(&self) {
        self.shared.rule.send_modify(|rule| {
            rule.hold_requests = false;
            rule.strandings += 1;
        });
    }

    /// Brings what was stranded to the gate, late and without a sender.
    pub fn deliver_stranded(&self) {
        self.shared
            .rule
            .send_modify(|rule| rule.deliver_stranded = true);
    }

    /// Cuts all connections once this many more bytes went to entries.
    pub fn cut_after_answering(&self, budget_bytes: usize) {
        *lock(&self.shared.answer_budget) = Some(budget_bytes);
    }

    /// Whether connections were cut.
    pub fn has_cut(&self) -> bool {
        self.shared.rule.borrow().cuts > 0
    }

    /// Whether a part of a request is kept back.
    pub fn keeps(&self, part: &[u8]) -> bool {
        for kept in lock(&self.shared.kept).iter() {
            if contains(&lock(kept), part) {
                return true;
            }
        }
        false
    }

    /// Whether the gate has answered to what came late with these bytes.
    pub fn has_answered_late(&self, part: &[u8]) -> bool {
        contains(&lock(&self.shared.late_answers), part)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.accepting.abort();
        self.refuse(true);
        self.cut();
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((entry, _)) = listener.accept().await {
        if shared.rule.borrow().refuse {
            let _ = entry.set_zero_linger();
            continue;
        }
        tokio::spawn(relay(entry, Arc::clone(&shared)));
    }
}

async fn relay(mut entry: TcpStream, shared: Arc<Shared>) {
    let mut rule = shared.rule.subscribe();
    let at_start = *rule.borrow_and_update();
    let Ok(mut gate) = TcpStream::connect(shared.gate).await else {
        let _ = entry.set_zero_linger();
        return;
    };
    let _ = entry.set_nodelay(true);
    let _ = gate.set_nodelay(true);
    let kept = Arc::new(Mutex::new(Vec::new()));
    lock(&shared.kept).push(Arc::clone(&kept));
    let end = {
        let (entry_reads, entry_writes) = entry.split();
        let (gate_reads, gate_writes) = gate.split();
        tokio::select! {
            // An order to end comes before what it also lets through.
            biased;
            end = ordered_end(rule, at_start) => end,
            end = pass_requests(entry_reads, gate_writes, &kept, &shared) => end,
            end = pass_answers(gate_reads, entry_writes, &shared) => end,
        }
    };
    match end {
        End::Closed => {}
        End::Cut => {
            let _ = entry.set_zero_linger();
            let _ = gate.set_zero_linger();
        }
        End::Stranded => {
            let _ = entry.set_zero_linger();
            drop(entry);
            deliver_late(gate, &kept, &shared).await;
        }
    }
}

async fn ordered_end(mut rule: watch::Receiver<Rule>, at_start: Rule) -> End {
    loop {
        let now = *rule.borrow_and_update();
        if now.cuts != at_start.cuts {
            return End::Cut;
        }
        if now.strandings != at_start.strandings {
            return End::Stranded;
        }
        if rule.changed().await.is_err() {
            return End::Cut;
        }
    }
}

async fn pass_requests(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    kept: &Mutex<Vec<u8>>,
    shared: &Shared,
) -> End {
    let mut rule = shared.rule.subscribe();
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        if !rule.borrow_and_update().hold_requests {
            let bytes = std::mem::take(&mut *lock(kept));
            if to.write_all(&bytes).await.is_err() {
                return End::Closed;
            }
        }
        tokio::select! {
            read = from.read(&mut chunk) => match read {
                Ok(0) | Err(_) => return End::Closed,
                Ok(count) => lock(kept).extend_from_slice(&chunk[..count]),
            },
            _ = rule.changed() => {}
        }
    }
}

async fn pass_answers(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    shared: &Shared,
) -> End {
    let mut rule = shared.rule.subscribe();
    let mut chunk = vec![0; CHUNK_BYTES];
    let mut kept = Vec::new();
    loop {
        if !rule.borrow_and_update().hold_answers {
            let allowed_bytes = shared.spend_answer_budget(kept.len());
            if to.write_all(&kept[..allowed_bytes]).await.is_err() {
                return End::Closed;
            }
            if allowed_bytes < kept.len() {
                shared.rule.send_modify(|rule| rule.cuts += 1);
                return End::Cut;
            }
            kept.clear();
        }
        tokio::select! {
            read = from.read(&mut chunk) => match read {
                Ok(0) | Err(_) => return End::Closed,
                Ok(count) => kept.extend_from_slice(&chunk[..count]),
            },
            _ = rule.changed() => {}
        }
    }
}

/// Plays a network that brings packets late, long after their sender has
/// given up.
async fn deliver_late(mut gate: TcpStream, kept: &Mutex<Vec<u8>>, shared: &Shared) {
    let mut rule = shared.rule.subscribe();
    if rule.wait_for(|rule| rule.deliver_stranded).await.is_err() {
        return;
    }
    let bytes = std::mem::take(&mut *lock(kept));
    if gate.write_all(&bytes).await.is_err() {
        return;
    }
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(count) = gate.read(&mut chunk).await {
        if count == 0 {
            return;
        }
        lock(&shared.late_answers).extend_from_slice(&chunk[..count]);
    }
}

impl Shared {
    /// How many of these bytes may go to the entry.
    fn spend_answer_budget(&self, wanted_bytes: usize) -> usize {
        let mut budget = lock(&self.answer_budget);
        let Some(left_bytes) = *budget else {
            return wanted_bytes;
        };
        if wanted_bytes <= left_bytes {
            *budget = Some(left_bytes - wanted_bytes);
            return wanted_bytes;
        }
        *budget = None;
        left_bytes
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of this lock panics")
}

fn contains(bytes: &[u8], part: &[u8]) -> bool {
    bytes.windows(part.len()).any(|window| window == part)
}

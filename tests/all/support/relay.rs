//! A TCP relay between an entry and a gate. It can hold back bytes, reset
//! connections and deliver requests after their sender is gone, as a faulty network
//! does.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use eyre::Result;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;

use super::loopback;

const CHUNK_BYTES: usize = 16 * 1024;

/// Current behaviour of the relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct RelayState {
    /// Whether bytes from the entry to the gate are held back.
    hold_requests: bool,
    /// Whether bytes from the gate to the entry are held back.
    hold_answers: bool,
    /// Whether new connections are reset.
    refuse: bool,
    /// Number of cuts so far. A cut resets the existing connections on both sides.
    cuts: u64,
    /// Number of times that existing connections were reset on the entry side only.
    entry_side_resets: u64,
    /// Whether held bytes of connections that were reset on the entry side are
    /// delivered to the gate.
    deliver_held: bool,
}

struct Shared {
    gate: SocketAddr,
    state: watch::Sender<RelayState>,
    /// Number of bytes that may still go to entries before the relay cuts all
    /// connections. `None` is no limit.
    answer_budget: Mutex<Option<usize>>,
    /// Bytes that the gate sent on connections whose entry side was reset.
    late_answers: Mutex<Vec<u8>>,
    /// Held bytes towards the gate, with one buffer per connection.
    held: Mutex<Vec<Arc<Mutex<Vec<u8>>>>>,
}

/// How a connection through the relay ends.
enum End {
    /// One side closed it.
    Closed,
    /// Reset on both sides.
    Cut,
    /// Reset on the entry side. Held bytes may still be delivered to the gate.
    EntrySideReset,
}

/// A running relay. Dropping it resets all its connections.
pub struct Relay {
    addr: SocketAddr,
    shared: Arc<Shared>,
    accepting: AbortHandle,
}

impl Relay {
    /// Starts a relay that forwards every connection to the gate at `gate`.
    pub async fn start(gate: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(loopback()).await?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            gate,
            state: watch::Sender::new(RelayState::default()),
            answer_budget: Mutex::new(None),
            late_answers: Mutex::default(),
            held: Mutex::default(),
        });
        let accepting = tokio::spawn(accept(listener, Arc::clone(&shared)));
        Ok(Self {
            addr,
            shared,
            accepting: accepting.abort_handle(),
        })
    }

    /// Address to which entries connect.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Starts or stops holding back the bytes that entries send.
    pub fn hold_requests(&self, hold: bool) {
        self.shared
            .state
            .send_modify(|state| state.hold_requests = hold);
    }

    /// Starts or stops holding back the bytes that the gate sends.
    pub fn hold_answers(&self, hold: bool) {
        self.shared
            .state
            .send_modify(|state| state.hold_answers = hold);
    }

    /// Resets all existing connections. New connections are forwarded.
    pub fn cut(&self) {
        self.shared.state.send_modify(|state| state.cuts += 1);
    }

    /// Starts or stops resetting new connections.
    pub fn refuse(&self, refuse: bool) {
        self.shared.state.send_modify(|state| state.refuse = refuse);
    }

    /// Resets all existing connections on the entry side only. Their held bytes
    /// remain in the relay until [`Self::deliver_held`]. Requests on new connections
    /// are not held back.
    pub fn reset_entry_side(&self) {
        self.shared.state.send_modify(|state| {
            state.hold_requests = false;
            state.entry_side_resets += 1;
        });
    }

    /// Delivers the bytes that [`Self::reset_entry_side`] left in the relay to the
    /// gate, after their sender is gone.
    pub fn deliver_held(&self) {
        self.shared
            .state
            .send_modify(|state| state.deliver_held = true);
    }

    /// Cuts all connections once `budget_bytes` further bytes went to entries.
    pub fn cut_after_answering(&self, budget_bytes: usize) {
        *lock(&self.shared.answer_budget) = Some(budget_bytes);
    }

    /// Whether the relay has cut connections.
    pub fn has_cut(&self) -> bool {
        self.shared.state.borrow().cuts > 0
    }

    /// Whether the held bytes of a request contain `part`.
    pub fn holds(&self, part: &[u8]) -> bool {
        for held in lock(&self.shared.held).iter() {
            if contains(&lock(held), part) {
                return true;
            }
        }
        false
    }

    /// Whether the gate's answers to late requests contain `part`.
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
        if shared.state.borrow().refuse {
            let _ = entry.set_zero_linger();
            continue;
        }
        tokio::spawn(relay(entry, Arc::clone(&shared)));
    }
}

async fn relay(mut entry: TcpStream, shared: Arc<Shared>) {
    let mut state = shared.state.subscribe();
    let at_start = *state.borrow_and_update();
    let Ok(mut gate) = TcpStream::connect(shared.gate).await else {
        let _ = entry.set_zero_linger();
        return;
    };
    let _ = entry.set_nodelay(true);
    let _ = gate.set_nodelay(true);
    let held = Arc::new(Mutex::new(Vec::new()));
    lock(&shared.held).push(Arc::clone(&held));
    let end = {
        let (entry_reads, entry_writes) = entry.split();
        let (gate_reads, gate_writes) = gate.split();
        tokio::select! {
            // A reset takes effect before bytes that the same change releases.
            biased;
            end = wait_for_reset(state, at_start) => end,
            end = forward_requests(entry_reads, gate_writes, &held, &shared) => end,
            end = forward_answers(gate_reads, entry_writes, &shared) => end,
        }
    };
    match end {
        End::Closed => {}
        End::Cut => {
            let _ = entry.set_zero_linger();
            let _ = gate.set_zero_linger();
        }
        End::EntrySideReset => {
            let _ = entry.set_zero_linger();
            drop(entry);
            deliver_late(gate, &held, &shared).await;
        }
    }
}

async fn wait_for_reset(mut state: watch::Receiver<RelayState>, at_start: RelayState) -> End {
    loop {
        let now = *state.borrow_and_update();
        if now.cuts != at_start.cuts {
            return End::Cut;
        }
        if now.entry_side_resets != at_start.entry_side_resets {
            return End::EntrySideReset;
        }
        if state.changed().await.is_err() {
            return End::Cut;
        }
    }
}

async fn forward_requests(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    held: &Mutex<Vec<u8>>,
    shared: &Shared,
) -> End {
    let mut state = shared.state.subscribe();
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        if !state.borrow_and_update().hold_requests {
            let bytes = std::mem::take(&mut *lock(held));
            if to.write_all(&bytes).await.is_err() {
                return End::Closed;
            }
        }
        tokio::select! {
            read = from.read(&mut chunk) => match read {
                Ok(0) | Err(_) => return End::Closed,
                Ok(count) => lock(held).extend_from_slice(&chunk[..count]),
            },
            _ = state.changed() => {}
        }
    }
}

async fn forward_answers(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    shared: &Shared,
) -> End {
    let mut state = shared.state.subscribe();
    let mut chunk = vec![0; CHUNK_BYTES];
    let mut held = Vec::new();
    loop {
        if !state.borrow_and_update().hold_answers {
            let allowed_bytes = shared.spend_answer_budget(held.len());
            if to.write_all(&held[..allowed_bytes]).await.is_err() {
                return End::Closed;
            }
            if allowed_bytes < held.len() {
                shared.state.send_modify(|state| state.cuts += 1);
                return End::Cut;
            }
            held.clear();
        }
        tokio::select! {
            read = from.read(&mut chunk) => match read {
                Ok(0) | Err(_) => return End::Closed,
                Ok(count) => held.extend_from_slice(&chunk[..count]),
            },
            _ = state.changed() => {}
        }
    }
}

/// Delivers held bytes late, as a network does that delays packets until after
/// their sender has given up.
async fn deliver_late(mut gate: TcpStream, held: &Mutex<Vec<u8>>, shared: &Shared) {
    let mut state = shared.state.subscribe();
    if state.wait_for(|state| state.deliver_held).await.is_err() {
        return;
    }
    let bytes = std::mem::take(&mut *lock(held));
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
    /// Returns how many of `wanted_bytes` may go to the entry, and subtracts them
    /// from the budget.
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

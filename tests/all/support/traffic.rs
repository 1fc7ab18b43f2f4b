//! Callers that send calls, as the documented contract requires, until they are
//! stopped.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use eyre::{Result, ensure};
use hornbeamhitch_standins::http_client::WholeAnswer;
use hornbeamhitch_types::prelude::*;
use hornbeamhitch_wire::header;
use tokio::task::JoinSet;

use super::caller::{Call, Caller, certainty_of, code_of};
use super::{POLL, WAIT_TIMEOUT};

/// Time that a caller waits between two calls.
const CALL_INTERVAL: Duration = Duration::from_millis(8);
/// Number of sends, including redirects, after which a call counts as failed.
const MAX_SENDS: u32 = 20;
/// Number of the next caller in this process, which keeps nonces unique.
static NEXT_CALLER: AtomicU64 = AtomicU64::new(0);

/// Running callers. Dropping it aborts them.
pub struct Traffic {
    shared: Arc<Shared>,
    callers: JoinSet<Vec<String>>,
}

#[derive(Default)]
struct Shared {
    stop: AtomicBool,
    answered: AtomicU64,
    refusals: AtomicU64,
}

/// Outcome of all calls.
pub struct Served {
    /// Number of calls that got their own complete answer.
    pub answered: u64,
    /// Number of answers that asked a caller to retry later.
    pub refusals: u64,
    /// One line for each call without an answer or with a wrong one.
    pub failures: Vec<String>,
}

impl Traffic {
    /// Starts callers of the service `cashier`. Each of them sends lookups and
    /// payments alternately, one at a time.
    pub fn start(entries: &[SocketAddr], callers: usize) -> Self {
        let shared = Arc::new(Shared::default());
        let mut tasks = JoinSet::new();
        for _ in 0..callers {
            let number = NEXT_CALLER.fetch_add(1, Ordering::Relaxed);
            let shared = Arc::clone(&shared);
            tasks.spawn(run_caller(number, entries.to_vec(), shared));
        }
        Self {
            shared,
            callers: tasks,
        }
    }

    /// Waits until `more` further calls are answered.
    pub async fn wait_answered(&self, more: u64) -> Result<()> {
        let wanted = self.shared.answered.load(Ordering::Relaxed) + more;
        let give_up = Instant::now() + WAIT_TIMEOUT;
        while self.shared.answered.load(Ordering::Relaxed) < wanted {
            ensure!(Instant::now() < give_up, "callers get no answers");
            tokio::time::sleep(POLL).await;
        }
        Ok(())
    }

    /// Stops the callers after their current calls and returns the outcome of all
    /// calls.
    pub async fn stop(mut self) -> Result<Served> {
        self.shared.stop.store(true, Ordering::Relaxed);
        let mut failures = Vec::new();
        while let Some(ended) = self.callers.join_next().await {
            failures.append(&mut ended?);
        }
        Ok(Served {
            answered: self.shared.answered.load(Ordering::Relaxed),
            refusals: self.shared.refusals.load(Ordering::Relaxed),
            failures,
        })
    }
}

async fn run_caller(number: u64, entries: Vec<SocketAddr>, shared: Arc<Shared>) -> Vec<String> {
    let caller = Caller::new();
    let mut failures = Vec::new();
    let mut turn = usize::try_from(number).unwrap_or(0);
    while !shared.stop.load(Ordering::Relaxed) {
        turn += 1;
        let entry = entries[turn % entries.len()];
        let nonce = format!("traffic-{number}-{turn}");
        let call = match turn % 2 {
            0 => Call::charge(&nonce),
            _ => Call::price(&nonce),
        };
        match send_until_answered(&caller, entry, &call, &shared).await {
            Ok(()) => shared.answered.fetch_add(1, Ordering::Relaxed),
            Err(failure) => {
                failures.push(format!("{nonce} at {entry}: {failure}"));
                0
            }
        };
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    failures
}

/// Sends a call until it is answered, as the documented contract allows.
async fn send_until_answered(
    caller: &Caller,
    entry: SocketAddr,
    call: &Call,
    shared: &Shared,
) -> Result<(), String> {
    let mut path = call.path.clone();
    let mut codes = Vec::new();
    for _ in 0..MAX_SENDS {
        let answer = caller.send_to(entry, call, &path).await;
        let answer = answer.map_err(|fault| format!("{fault} after {codes:?}"))?;
        codes.push(code_of(&answer));
        if code_of(&answer) == Some(ResultCode::TicketNeeded) {
            path = text_of(&answer, http::header::LOCATION.as_str());
            continue;
        }
        match certainty_of(&answer) {
            Certainty::Answered if call.is_answered_by(&answer) => return Ok(()),
            Certainty::Answered => return Err(format!("a wrong answer after {codes:?}")),
            Certainty::Unknown => return Err(format!("{codes:?}")),
            Certainty::NotRun | Certainty::TicketDead => path = next_path(call, &answer),
            Certainty::NotYet | Certainty::Pending => {}
        }
        shared.refusals.fetch_add(1, Ordering::Relaxed);
        let wait_ms = text_of(&answer, header::RETRY_AFTER_MS);
        tokio::time::sleep(Duration::from_millis(wait_ms.parse().unwrap_or(20))).await;
    }
    Err(format!("given up after {codes:?}"))
}

/// Path for the next send of a call that certainly did not run: it contains the
/// ticket of the answer if there is one, else the entry issues a new ticket.
fn next_path(call: &Call, answer: &WholeAnswer) -> String {
    match text_of(answer, header::NEXT_TICKET).as_str() {
        "" => call.path.clone(),
        ticket => format!("{}{ticket}{}", header::TICKETED_PREFIX, call.path),
    }
}

fn text_of(answer: &WholeAnswer, name: &str) -> String {
    let value = answer.headers.get(name);
    let value = value.and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

//! A payment under its ticket, and checks of its runs in the targets' journals.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use eyre::{Result, ensure, eyre};
use hornbeamhitch_standins::http_client::{SendFault, WholeAnswer};
use hornbeamhitch_standins::target::{RunEnd, RunRecord};
use hornbeamhitch_types::prelude::*;
use hornbeamhitch_wire::header;
use hornbeamhitch_wire::prelude::Ticket;
use tokio::task::JoinHandle;

use super::Deployment;
use super::caller::{Call, Caller, certainty_of, code_of};

/// A send that runs in its own task.
pub type Sending = JoinHandle<Result<WholeAnswer, SendFault>>;

/// A call with its ticket.
#[derive(Clone, Debug)]
pub struct Payment {
    /// The call.
    pub call: Call,
    /// Ticketed path of the call, which every entry accepts.
    pub path: String,
    /// The ticket in that path.
    pub ticket: Ticket,
}

impl Payment {
    /// Fetches a ticket for a call at an entry.
    pub async fn ticketed(entry: SocketAddr, call: Call) -> Result<Self> {
        let path = Caller::new().ticketed_path(entry, &call).await?;
        let rest = path.strip_prefix(header::TICKETED_PREFIX);
        let text = rest.and_then(|rest| rest.split('/').next());
        let ticket = text.ok_or_else(|| eyre!("no ticket in {path}"))?;
        Ok(Self {
            ticket: Ticket::decode(ticket)?,
            call,
            path,
        })
    }

    /// VM of the only target that may run the payment.
    pub fn gate(&self) -> &str {
        self.ticket.gate.as_str()
    }

    /// The same payment with another deadline.
    pub fn within_ms(&self, deadline_ms: u64) -> Self {
        let mut limited = self.clone();
        limited.call = limited.call.with(header::DEADLINE_MS, deadline_ms);
        limited
    }

    /// The same payment under the next ticket that an answer contains.
    pub fn renewed(&self, answer: &WholeAnswer) -> Result<Self> {
        let next = answer.headers.get(header::NEXT_TICKET);
        let next = next.ok_or_else(|| eyre!("no next ticket"))?.to_str()?;
        let path = &self.call.path;
        Ok(Self {
            call: self.call.clone(),
            path: format!("{}{next}{path}", header::TICKETED_PREFIX),
            ticket: Ticket::decode(next)?,
        })
    }

    /// Sends the payment over its own connection.
    pub async fn send(&self, entry: SocketAddr) -> Result<WholeAnswer, SendFault> {
        Caller::new().send_to(entry, &self.call, &self.path).await
    }

    /// Starts to send the payment. Aborting the task closes the caller's connection.
    pub fn begin(&self, entry: SocketAddr) -> Sending {
        let payment = self.clone();
        tokio::spawn(async move { payment.send(entry).await })
    }

    /// Runs under this ticket's key at all targets.
    pub fn runs(&self, deployment: &Deployment) -> Vec<RunRecord> {
        deployment.runs_of(&self.ticket.key.to_string())
    }

    /// Waits until a target has started the payment.
    pub async fn wait_started(&self, deployment: &Deployment) -> Result<()> {
        let started = |deployment: &Deployment| !self.runs(deployment).is_empty();
        deployment.wait_until("the run starts", started).await
    }

    /// Waits until the first run of the payment has ended in its target.
    pub async fn wait_ended(&self, deployment: &Deployment) -> Result<()> {
        let ended = |deployment: &Deployment| {
            let runs = self.runs(deployment);
            runs.first().is_some_and(|run| run.end != RunEnd::Running)
        };
        deployment.wait_until("the run ends", ended).await
    }

    /// Sends the payment again, as the documentation allows, until it gets an answer
    /// that no further send can change.
    pub async fn settle(&self, entry: SocketAddr) -> Result<WholeAnswer> {
        let give_up = std::time::Instant::now() + super::WAIT_TIMEOUT;
        loop {
            let answer = self.send(entry).await.map_err(|fault| eyre!("{fault}"))?;
            let certainty = certainty_of(&answer);
            if !matches!(certainty, Certainty::Pending | Certainty::NotYet) {
                return Ok(answer);
            }
            ensure!(
                std::time::Instant::now() < give_up,
                "still {:?}",
                code_of(&answer)
            );
            tokio::time::sleep(super::POLL).await;
        }
    }
}

/// Number of runs by `hitch-key` at all targets.
pub fn runs_by_key(deployment: &Deployment) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for target in deployment.targets.values() {
        for run in target.all_runs() {
            let Some(key) = run.marks.key else {
                continue;
            };
            *counts.entry(key).or_default() += 1;
        }
    }
    counts
}

/// Fails if a key ran more than once or a payment ran without a key.
pub fn assert_at_most_once(deployment: &Deployment) {
    for (key, runs) in runs_by_key(deployment) {
        assert_eq!(runs, 1, "key {key} ran {runs} times");
    }
    for target in deployment.targets.values() {
        for run in target.all_runs() {
            let is_safe = run.marks.method == "GET";
            assert!(is_safe || run.marks.key.is_some(), "no key: {run:?}");
        }
    }
}

//! A caller that follows the documented protocol.
//!
//! The rules are those of `docs/callers/result-codes.md`: a caller uses a new ticket
//! only after a certain "not run", sends the same ticket through another entry after
//! a broken connection, and stops at "unknown".

use std::time::Instant;

use http_body_util::Full;
use tokio::time::sleep;

use crate::http_client::{HttpClient, SendFault, WholeAnswer};
use crate::http_server::header_text;
use crate::prelude::*;
use crate::target::echo::{EchoRequest, digest, echo_body, push_filler};
use crate::target::headers;

use super::answer::{AnswerKind, from_node, from_target};
use super::plan::{CallKind, CallerLimits, Destination, LoadPlan};
use super::progress::Progress;
use super::record::{CallRecord, Verdict};
use super::tickets::{TicketBatch, TicketCache};

/// Delay after the first failure without a specified delay; it doubles with each
/// further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// Assumed validity of a ticket from `hitch-next-ticket`, because the header states
/// none.
const NEXT_TICKET_VALID_MS: u64 = 60_000;

/// A call to be made.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Kind of the call.
    pub kind: &'a CallKind,
    /// Index of the kind in the plan.
    pub kind_index: usize,
    /// The caller's identifier of the call, also used as its idempotency key.
    pub nonce: String,
    /// Tenant of the call.
    pub tenant: Option<String>,
    /// Random number that selects the first entry.
    pub entry_draw: u64,
    /// Intended start of the call.
    pub intended_at: Instant,
}

/// Makes calls. It is shared by all calls of a run.
pub struct Caller {
    client: HttpClient,
    destination: Destination,
    limits: CallerLimits,
    ticket_cache: TicketCache,
}

/// What the caller does next.
enum Step {
    Done(Verdict),
    Retry,
    RetryAfter(Duration),
}

impl Caller {
    /// Creates a caller for a plan.
    #[must_use]
    pub fn new(plan: &LoadPlan) -> Self {
        Self {
            client: HttpClient::new(plan.http),
            destination: plan.destination.clone(),
            limits: plan.caller,
            ticket_cache: TicketCache::default(),
        }
    }

    /// Makes one call, within the limits on requests and time.
    pub async fn call(&self, call: &Call<'_>) -> CallRecord {
        let mut progress = self.begin(call).await;
        let verdict = self.run_to_verdict(call, &mut progress).await;
        let mut record = progress.record;
        record.verdict = verdict;
        record.latency_us = micros(call.intended_at.elapsed());
        record.from_send_us = micros(progress.started_at.elapsed());
        record
    }

    async fn begin(&self, call: &Call<'_>) -> Progress {
        let entries = self.destination.addrs(&call.kind.service).len().max(1);
        let entry = usize::try_from(call.entry_draw % entries as u64).unwrap_or(0);
        let mut progress = Progress::begin(call, body_of(call), entry);
        if self.is_ticketed(call) && self.limits.tickets_ahead > 0 {
            let ticket = match self.ticket_cache.take(&call.kind.service) {
                Some(ticket) => Some(ticket),
                None => self.fetch_tickets(call, &mut progress).await,
            };
            progress.use_ticket(call, ticket);
        }
        progress
    }

    fn is_ticketed(&self, call: &Call<'_>) -> bool {
        !call.kind.idempotent && !self.destination.is_direct()
    }

    async fn run_to_verdict(&self, call: &Call<'_>, progress: &mut Progress) -> Verdict {
        let give_up_after = Duration::from_millis(self.limits.give_up_after_ms);
        loop {
            let late = call.intended_at.elapsed() >= give_up_after;
            if late || progress.record.sends >= self.limits.max_sends {
                return progress.give_up();
            }
            match self.step(call, progress).await {
                Step::Done(verdict) => return verdict,
                Step::Retry => {}
                Step::RetryAfter(wait) => {
                    if call.intended_at.elapsed() + wait >= give_up_after {
                        return progress.give_up();
                    }
                    sleep(wait).await;
                }
            }
        }
    }

    async fn step(&self, call: &Call<'_>, progress: &mut Progress) -> Step {
        match self.send(call, progress).await {
            Ok(answer) => self.handle_answer(call, progress, &answer).await,
            Err(fault) => self.handle_fault(call, progress, fault),
        }
    }

    fn handle_fault(&self, call: &Call<'_>, progress: &mut Progress, fault: SendFault) -> Step {
        progress.record.broken_sends += 1;
        progress.entry += 1;
        progress.faults += 1;
        let nothing_was_sent = fault == SendFault::NotConnected;
        // An entry runs no non-idempotent call without a ticket.
        let runs_nothing = self.is_ticketed(call) && progress.ticket_path.is_none();
        if !nothing_was_sent && !runs_nothing {
            progress.certainly_not_run = false;
            if self.destination.is_direct() && !call.kind.idempotent {
                return Step::Done(Verdict::Unknown);
            }
        }
        if call.kind.idempotent {
            progress.next_idempotent_try();
        }
        Step::RetryAfter(backoff(progress.faults))
    }

    async fn handle_answer(
        &self,
        call: &Call<'_>,
        progress: &mut Progress,
        answer: &WholeAnswer,
    ) -> Step {
        let meaning = match self.destination.is_direct() {
            true => from_target(answer),
            false => from_node(answer),
        };
        progress.note(answer, &meaning);
        let wait = meaning.wait.unwrap_or_else(|| backoff(progress.faults + 1));
        match &meaning.kind {
            AnswerKind::Answered => {
                progress.record.wrong_answer = !is_expected_answer(call, &progress.body, answer);
                self.store_next_ticket(call, meaning.next_ticket);
                Step::Done(Verdict::Answered)
            }
            AnswerKind::Redirect(path) => {
                progress.redirect(path);
                Step::Retry
            }
            AnswerKind::NotRun => {
                self.retry_with_new_ticket(call, progress, meaning.next_ticket, wait)
                    .await
            }
            AnswerKind::Refused => {
                progress.conclude_not_run();
                Step::Done(progress.not_run_verdict())
            }
            AnswerKind::NotYet if meaning.code == Some(ResultCode::BadRequest.number()) => {
                Step::Done(progress.give_up())
            }
            AnswerKind::NotYet => {
                progress.faults += 1;
                progress.entry += 1;
                if call.kind.idempotent {
                    progress.conclude_not_run();
                    progress.next_idempotent_try();
                }
                Step::RetryAfter(wait)
            }
            AnswerKind::TicketDead if progress.certainly_not_run => {
                let none = Duration::ZERO;
                self.retry_with_new_ticket(call, progress, meaning.next_ticket, none)
                    .await
            }
            AnswerKind::TicketDead => Step::Done(Verdict::Unknown),
            AnswerKind::Pending => {
                progress.certainly_not_run = false;
                Step::RetryAfter(wait)
            }
            AnswerKind::Unknown => self.handle_unknown(call, progress, wait),
        }
    }

    fn handle_unknown(&self, call: &Call<'_>, progress: &mut Progress, wait: Duration) -> Step {
        progress.certainly_not_run = false;
        progress.entry += 1;
        if progress.unknowns >= self.limits.unknown_resends {
            return Step::Done(Verdict::Unknown);
        }
        progress.unknowns += 1;
        if call.kind.idempotent {
            progress.next_idempotent_try();
        }
        Step::RetryAfter(wait)
    }

    /// Retries after a certain "not run". A ticketed call needs a new ticket, which
    /// has a new key, because the old key is fenced at its gate.
    async fn retry_with_new_ticket(
        &self,
        call: &Call<'_>,
        progress: &mut Progress,
        next_ticket: Option<String>,
        wait: Duration,
    ) -> Step {
        progress.conclude_not_run();
        if progress.try_number + 1 >= u64::from(self.limits.max_tickets) {
            return Step::Done(progress.not_run_verdict());
        }
        progress.faults += 1;
        progress.entry += 1;
        if call.kind.idempotent || self.destination.is_direct() {
            progress.next_idempotent_try();
            return Step::RetryAfter(wait);
        }
        let had_ticket = progress.ticket_path.take().is_some();
        progress.try_number += 1;
        progress.certainly_not_run = true;
        let ticket = match next_ticket {
            Some(ticket) => Some(ticket),
            None if had_ticket => self.fetch_tickets(call, progress).await,
            None => None,
        };
        progress.use_ticket(call, ticket);
        Step::RetryAfter(wait)
    }

    fn store_next_ticket(&self, call: &Call<'_>, next_ticket: Option<String>) {
        if self.limits.tickets_ahead == 0 {
            return;
        }
        let Some(ticket) = next_ticket else {
            return;
        };
        let batch = TicketBatch {
            tickets: vec![ticket],
            valid_ms: NEXT_TICKET_VALID_MS,
        };
        self.ticket_cache.store(&call.kind.service, batch);
    }

    /// Fetches tickets with new keys; returns one and caches the rest.
    async fn fetch_tickets(&self, call: &Call<'_>, progress: &mut Progress) -> Option<String> {
        let count = self.limits.tickets_ahead.max(1);
        let entry = self.entry(call, progress)?;
        let service = &call.kind.service;
        let prefix = header::TICKETS_PREFIX;
        let mut request = Request::post(format!("http://{entry}{prefix}{service}?count={count}"));
        if let Some(tenant) = &call.tenant {
            request = request.header(header::TENANT, tenant);
        }
        let request = request.body(Full::default()).ok()?;
        progress.record.sends += 1;
        let bound = Duration::from_millis(self.limits.send_timeout_ms);
        let answer = self.client.send(request, bound).await.ok()?;
        let mut batch: TicketBatch = answer.json().ok()?;
        let ticket = batch.tickets.pop()?;
        self.ticket_cache.store(service, batch);
        Some(ticket)
    }

    fn entry(&self, call: &Call<'_>, progress: &Progress) -> Option<SocketAddr> {
        let entries = self.destination.addrs(&call.kind.service);
        if entries.is_empty() {
            return None;
        }
        Some(entries[progress.entry % entries.len()])
    }

    async fn send(
        &self,
        call: &Call<'_>,
        progress: &mut Progress,
    ) -> Result<WholeAnswer, SendFault> {
        let Some(entry) = self.entry(call, progress) else {
            return Err(SendFault::NotConnected);
        };
        progress.record.sends += 1;
        let request = self.request(call, progress, entry);
        let bound = Duration::from_millis(self.limits.send_timeout_ms);
        self.client.send(request, bound).await
    }

    fn request(
        &self,
        call: &Call<'_>,
        progress: &Progress,
        entry: SocketAddr,
    ) -> Request<Full<Bytes>> {
        let kind = call.kind;
        let path = match (&progress.ticket_path, self.destination.is_direct()) {
            (Some(path), _) => path.clone(),
            (None, true) => kind.path.clone(),
            (None, false) => format!("/{}{}", kind.service, kind.path),
        };
        let mut request = Request::builder()
            .method(kind.method.as_str())
            .uri(format!("http://{entry}{path}"))
            .header(headers::NONCE, &call.nonce)
            .header(headers::TRY, progress.try_number);
        if !kind.idempotent && progress.ticket_path.is_none() {
            request = request.header(header::IDEMPOTENCY_KEY, &call.nonce);
        }
        if kind.answer_bytes > 0 {
            request = request.header(headers::ANSWER_BYTES, kind.answer_bytes);
        }
        if let Some(tenant) = &call.tenant {
            request = request.header(header::TENANT, tenant);
        }
        if let Some(deadline_ms) = kind.deadline_ms {
            request = request.header(header::DEADLINE_MS, deadline_ms);
        }
        for (name, value) in &kind.headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(progress.body.clone()));
        request.expect("the method, path and headers of a checked plan are valid")
    }
}

fn backoff(faults: u32) -> Duration {
    let doublings = faults.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
    INITIAL_BACKOFF * 2_u32.pow(doublings)
}

/// Returns the body of a call, which differs from that of every other call.
fn body_of(call: &Call<'_>) -> Bytes {
    let kind = call.kind;
    if kind.body_bytes == 0 && kind.body_prefix.is_empty() {
        return Bytes::new();
    }
    let mut body = kind.body_prefix.clone();
    body.push_str(&call.nonce);
    push_filler(&mut body, &call.nonce, kind.body_bytes);
    Bytes::from(body)
}

/// Returns whether an answer is complete and the expected one for this request.
///
/// Only successful answers have a body derived from the request, so all others
/// count as expected.
fn is_expected_answer(call: &Call<'_>, body: &[u8], answer: &WholeAnswer) -> bool {
    if !answer.status.is_success() {
        return true;
    }
    let expected = echo_body(&EchoRequest {
        nonce: &call.nonce,
        method: &call.kind.method,
        path: &call.kind.path,
        body,
        answer_bytes: call.kind.answer_bytes,
    });
    let announced = header_text(&answer.headers, headers::DIGEST);
    announced == Some(digest(&answer.body).as_str()) && answer.body == expected
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

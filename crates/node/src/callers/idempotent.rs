//! Serves idempotent calls: picks targets, retries and hedges within the
//! budgets and the deadline.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hornbeamhitch_core::entry::{AttemptEnd, CallProgress, Next, TargetIndex};
use hornbeamhitch_core::prelude::*;
use hornbeamhitch_core::suspects::{CONVICTED_RETRY_AFTER_MS, SuspicionLevel};
use http::request::Parts;
use http::{Request, Response};
use http_body::Body;

use super::CallerServer;
use super::call::{CallerCall, Outbound};
use super::entries::{AttemptGuard, Entry};
use super::relay::{self, RelayOutcome, Relayed};
use crate::answer;
use crate::body::{self, NodeBody};
use crate::fingerprint;
use crate::metrics::{AttemptKind, Side};
use crate::peers::SendFailure;

/// The result of one attempt.
enum Ended {
    /// The answer is relayed to the caller.
    Answer(Relayed),
    /// The call is retried if the budgets allow it. Otherwise the answer, if
    /// there is one, is relayed, or the call is refused.
    Failed {
        end: AttemptEnd,
        answer: Option<Relayed>,
    },
}

type AttemptFuture = Pin<Box<dyn Future<Output = Ended> + Send>>;

/// Serves one idempotent call.
pub(super) async fn serve(
    server: Arc<CallerServer>,
    entry: Arc<Entry>,
    call: CallerCall,
    request: Request<NodeBody>,
) -> Response<NodeBody> {
    let deadline = server.clock.to_instant(call.deadline_at);
    let (parts, body) = request.into_parts();
    let content = match tokio::time::timeout_at(deadline, RequestContent::read(body, &call)).await {
        Ok(Ok(content)) => content,
        Ok(Err(refused)) => return refused,
        Err(_) => return answer::from_code(ResultCode::UploadCut, "the deadline passed within"),
    };
    let suspicion = suspicion_of(&server, &call, &parts);
    if suspicion == SuspicionLevel::Convicted {
        let refusal = Refusal::retry_after(ResultCode::CrashSuspect, CONVICTED_RETRY_AFTER_MS);
        return answer::from_refusal(&refusal);
    }
    let mut run = CallRun::new(server, entry, call, &parts, content);
    run.may_hedge = suspicion == SuspicionLevel::Clear;
    match tokio::time::timeout_at(deadline, run.run()).await {
        Ok(response) => response,
        Err(_) => {
            let wait = run.entry.retry_after_ms();
            answer::from_refusal(&Refusal::retry_after(ResultCode::DeadlinePassed, wait))
        }
    }
}

/// Returns the fleet's suspicion against the request, as far as this node knows
/// it.
fn suspicion_of(server: &CallerServer, call: &CallerCall, parts: &Parts) -> SuspicionLevel {
    let routes = server.board.routes();
    if routes.suspects.is_empty() {
        return SuspicionLevel::Clear;
    }
    let path = &call.to.path_and_query;
    let fingerprint = fingerprint::of_request(&parts.method, path, &parts.headers);
    routes.suspects.level(fingerprint)
}

/// The request's body: buffered, which allows several attempts, or a stream,
/// which allows one.
enum RequestContent {
    Buffered(Bytes),
    Stream(Option<NodeBody>),
}

impl RequestContent {
    async fn read(body: NodeBody, call: &CallerCall) -> Result<Self, Response<NodeBody>> {
        let buffer_bytes = u64::from(call.policy.buffer_bytes);
        let max_bytes = call.policy.max_request_bytes;
        if body.is_end_stream() {
            return Ok(Self::Buffered(Bytes::new()));
        }
        match body.size_hint().exact() {
            Some(length) if length > max_bytes => Err(answer::from_code(
                ResultCode::TooLarge,
                "the body is above the limit",
            )),
            Some(length) if length <= buffer_bytes => {
                match body::collect(body, buffer_bytes).await {
                    Ok(bytes) => Ok(Self::Buffered(bytes)),
                    Err(_) => Err(answer::from_code(
                        ResultCode::UploadCut,
                        "the upload ended early",
                    )),
                }
            }
            _ => Ok(Self::Stream(Some(body::limit(body, max_bytes)))),
        }
    }

    fn next(&mut self) -> Option<NodeBody> {
        match self {
            Self::Buffered(bytes) => Some(body::full(bytes.clone())),
            Self::Stream(stream) => stream.take(),
        }
    }

    fn is_repeatable(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }
}

struct CallRun {
    server: Arc<CallerServer>,
    entry: Arc<Entry>,
    call: CallerCall,
    outbound: Outbound,
    content: RequestContent,
    tried: Vec<TargetIndex>,
    started_at: Instant,
    /// False for a crash suspect. It waits until it can run alone, and its
    /// hedge would only crash a second target.
    may_hedge: bool,
    progress: CallProgress,
}

impl CallRun {
    fn new(
        server: Arc<CallerServer>,
        entry: Arc<Entry>,
        call: CallerCall,
        parts: &Parts,
        content: RequestContent,
    ) -> Self {
        Self {
            outbound: Outbound::prepare(parts, &call, &server.entry_header),
            content,
            tried: Vec::new(),
            started_at: Instant::now(),
            may_hedge: true,
            progress: CallProgress {
                idempotent: call.idempotent,
                attempts: 0,
                depth: call.depth,
                deadline_at: call.deadline_at,
                may_have_run: false,
            },
            server,
            entry,
            call,
        }
    }

    async fn run(&mut self) -> Response<NodeBody> {
        let mut attempts: FuturesUnordered<AttemptFuture> = FuturesUnordered::new();
        match self.start(AttemptKind::First) {
            Ok(attempt) => attempts.push(attempt),
            Err(refusal) => return answer::from_refusal(&refusal),
        }
        let mut hedge_timer = self.hedge_timer();
        loop {
            let result = tokio::select! {
                result = attempts.next() => result,
                () = wait(&mut hedge_timer) => {
                    hedge_timer = None;
                    if let Some(hedge) = self.hedge(&attempts) {
                        attempts.push(hedge);
                    }
                    continue;
                }
            };
            let Some(result) = result else {
                let wait = self.entry.retry_after_ms();
                return answer::from_refusal(&Refusal::retry_after(
                    ResultCode::AttemptsFailed,
                    wait,
                ));
            };
            let (end, fallback) = match result {
                Ended::Answer(relayed) => {
                    self.note_answer(&relayed, attempts.len());
                    return relayed.response;
                }
                Ended::Failed { end, answer } => (end, answer),
            };
            let ran_before = self.progress.may_have_run;
            if !attempts.is_empty() {
                // The other attempt of a hedged pair is still running.
                self.progress.may_have_run = ran_before || end.may_have_run();
                continue;
            }
            let next = self.after_failure(&end);
            self.progress.may_have_run = ran_before || end.may_have_run();
            match next {
                Ok(attempt) => attempts.push(attempt),
                Err(refusal) => return self.final_answer(fallback, refusal),
            }
        }
    }

    /// Starts the next attempt, or returns the refusal that ends the call.
    fn after_failure(&mut self, end: &AttemptEnd) -> Result<AttemptFuture, Refusal> {
        if *end == AttemptEnd::Broken {
            self.outbound.set_suspect();
        }
        let next = self.entry.after_failure(&self.progress, end);
        match next {
            Next::Retry if self.content.is_repeatable() => {
                self.server.traffic.note_retry();
                self.start(AttemptKind::Retry)
            }
            Next::Retry => Err(Refusal::retry_after(
                ResultCode::AttemptsFailed,
                self.entry.retry_after_ms(),
            )),
            Next::GiveUp(refusal) => Err(refusal),
        }
    }

    fn start(&mut self, kind: AttemptKind) -> Result<AttemptFuture, Refusal> {
        let guard = self.entry.choose(&self.tried, self.call.deadline_at)?;
        let Some(body) = self.content.next() else {
            return Err(Refusal::fixed(ResultCode::AttemptsFailed));
        };
        self.tried.push(guard.target.pick.target);
        let service = self.call.to.service.as_str();
        self.server.metrics.attempt_sent(service, kind);
        let remaining_ms = self.call.deadline_at.since(self.server.clock.now());
        let request = self.outbound.request(
            guard.target.peer,
            self.progress.attempts,
            remaining_ms,
            body,
        );
        self.progress.attempts += 1;
        Ok(Box::pin(attempt(
            Arc::clone(&self.server),
            self.call.clone(),
            guard,
            request,
        )))
    }

    /// Returns the final answer of a failed call. A target's own error answer
    /// is relayed unchanged, because it says more than a refusal. A refusal
    /// only states "not run" if none of the attempts can have run, whatever the
    /// outcome of the last one.
    fn final_answer(&self, fallback: Option<Relayed>, refusal: Refusal) -> Response<NodeBody> {
        if let Some(relayed) = fallback
            && relayed.code == ResultCode::Answered
        {
            return relayed.response;
        }
        let mut refusal = refusal;
        if self.progress.may_have_run && refusal.code.certainty() == Certainty::NotRun {
            refusal.code = ResultCode::AttemptsFailed;
        }
        answer::from_refusal(&refusal)
    }

    /// Records the latency that this node added to the call, and counts the
    /// hedged attempts that lost.
    fn note_answer(&self, relayed: &Relayed, losers: usize) {
        let service = self.call.to.service.as_str();
        for _ in 0..losers {
            self.server.metrics.loser_cancelled(service);
        }
        if self.progress.attempts != 1 {
            return;
        }
        let total_us = self.started_at.elapsed().as_micros();
        let total_us = u64::try_from(total_us).unwrap_or(u64::MAX);
        let added_us = total_us.saturating_sub(relayed.time_to_head_us.into());
        self.server.metrics.latency_added(Side::Entry, added_us);
    }

    fn hedge_timer(&self) -> Option<Pin<Box<tokio::time::Sleep>>> {
        if !self.content.is_repeatable() || !self.may_hedge {
            return None;
        }
        let delay = self.entry.hedge_delay_ms(&self.progress)?;
        Some(Box::pin(tokio::time::sleep(delay.to_duration())))
    }

    fn hedge(&mut self, running: &FuturesUnordered<AttemptFuture>) -> Option<AttemptFuture> {
        if running.is_empty() || !self.entry.try_hedge(&self.progress) {
            return None;
        }
        let hedge = self.start(AttemptKind::Hedge).ok()?;
        self.server.traffic.note_hedge();
        Some(hedge)
    }
}

/// Waits for the timer; never returns if there is none.
async fn wait(timer: &mut Option<Pin<Box<tokio::time::Sleep>>>) {
    match timer {
        Some(sleep) => sleep.as_mut().await,
        None => std::future::pending().await,
    }
}

async fn attempt(
    server: Arc<CallerServer>,
    call: CallerCall,
    guard: AttemptGuard,
    request: Request<NodeBody>,
) -> Ended {
    let response = match server.peers.send(guard.target.peer, request).await {
        Ok(response) => response,
        Err(failure) => {
            let end = match failure {
                SendFailure::NotSent(_) => AttemptEnd::Unreachable,
                SendFailure::MaybeSent(_) => AttemptEnd::Broken,
            };
            log::debug!("attempt at {} failed: {failure:?}", guard.target.vm);
            guard.end(end);
            return Ended::Failed { end, answer: None };
        }
    };
    server.report_load(&guard.target.vm, response.headers());
    let deadline = server.clock.to_instant(call.deadline_at);
    let buffer_bytes = u64::from(call.policy.buffer_bytes);
    let relayed = match relay::receive(response, guard, buffer_bytes, deadline).await {
        RelayOutcome::Answer(relayed) => relayed,
        RelayOutcome::Truncated => {
            return Ended::Failed {
                end: AttemptEnd::Broken,
                answer: None,
            };
        }
    };
    let end = match relayed.code {
        ResultCode::Answered if relayed.response.status().is_server_error() => {
            AttemptEnd::Answered { failed: true }
        }
        ResultCode::Answered | ResultCode::Replayed => return Ended::Answer(relayed),
        ResultCode::DeadlinePassed => AttemptEnd::TimedOut,
        code if code.certainty() == Certainty::Unknown => AttemptEnd::Broken,
        code => AttemptEnd::Refused(answer::refusal_of(relayed.response.headers(), code)),
    };
    Ended::Failed {
        end,
        answer: Some(relayed),
    }
}

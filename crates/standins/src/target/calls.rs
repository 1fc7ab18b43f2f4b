//! Handling of requests to a target.

use std::str::FromStr;
use std::sync::atomic::Ordering;

use futures_util::future::BoxFuture;
use http::HeaderValue;
use http::request::Parts;
use tokio::time::{Instant, sleep, timeout_at};

use crate::http_server::{
    Answer, Connection, DropConnection, Handler, header_number, header_text, read_body,
    text_answer, whole_body,
};
use crate::prelude::*;

use super::behaviour::Behaviour;
use super::cut::Cut;
use super::echo::{EchoRequest, digest, echo_body};
use super::journal::{RequestMarks, Run, RunEnd};
use super::{Shared, admin, downstream, headers};

pub(super) struct TargetHandler {
    pub(super) shared: Arc<Shared>,
}

/// A call with its complete body.
pub(super) struct Call {
    pub(super) head: Parts,
    pub(super) body: Bytes,
    pub(super) deadline: Option<Instant>,
}

impl Handler for TargetHandler {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        connection: Connection,
    ) -> BoxFuture<'static, Result<Answer, DropConnection>> {
        let shared = Arc::clone(&self.shared);
        if request.uri().path().starts_with("/admin/") {
            return Box::pin(async move { Ok(admin::answer(&shared, request).await) });
        }
        Box::pin(async move { answer_request(&shared, request, &connection).await })
    }
}

async fn answer_request(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    connection: &Connection,
) -> Result<Answer, DropConnection> {
    shared.stalls.wait().await;
    let behaviour = shared.behaviour();
    match request.uri().path() {
        "/.health" => {
            shared
                .counters
                .health_probes
                .fetch_add(1, Ordering::Relaxed);
            return Ok(shared.hints.health(&behaviour));
        }
        "/.load" => {
            shared.counters.load_probes.fetch_add(1, Ordering::Relaxed);
            return Ok(shared.hints.load(&behaviour));
        }
        _ => {}
    }
    shared.counters.calls.fetch_add(1, Ordering::Relaxed);
    let received_at = Instant::now();
    let (head, body) = request.into_parts();
    let Ok(body) = read_body(body).await else {
        return Ok(not_run(shared, "the request was cut"));
    };
    let deadline_ms = header_number(&head.headers, header::DEADLINE_MS);
    let call = Call {
        head,
        body,
        deadline: deadline_ms.map(|ms| received_at + Duration::from_millis(ms)),
    };
    let mut answer = answer_call(shared, &call, &behaviour, connection).await?;
    if shared.behaviour().draining {
        let draining = HeaderValue::from_static(header::STATE_DRAINING);
        answer.headers_mut().insert(header::STATE, draining);
    }
    Ok(answer)
}

fn not_run(shared: &Shared, reason: &'static str) -> Answer {
    shared.counters.shed.fetch_add(1, Ordering::Relaxed);
    let mut answer = text_answer(StatusCode::SERVICE_UNAVAILABLE, reason);
    let headers = answer.headers_mut();
    headers.insert(header::NOT_RUN, HeaderValue::from_static("1"));
    answer
}

async fn answer_call(
    shared: &Arc<Shared>,
    call: &Call,
    behaviour: &Behaviour,
    connection: &Connection,
) -> Result<Answer, DropConnection> {
    if behaviour.shed {
        return Ok(not_run(shared, "the target sheds"));
    }
    if behaviour.fail_fast {
        let mut run = shared.journal.start(call.marks());
        run.end(RunEnd::FailedFast, Some(StatusCode::INTERNAL_SERVER_ERROR));
        return Ok(text_answer(
            StatusCode::INTERNAL_SERVER_ERROR,
            "failed fast",
        ));
    }
    let Ok(slot) = shared.slots.take(call.deadline).await else {
        return Ok(not_run(shared, "no slot in time"));
    };
    shared.note_load();
    let mut run = shared.journal.start(call.marks());
    if call.has_crash_mark(&shared.config.crash_mark) {
        return Err(crash(shared, run).await);
    }
    let result = run_call(shared, call, behaviour, &mut run).await;
    let delay_ms = call.number(headers::DELAY_MS).unwrap_or(behaviour.delay_ms);
    if delay_ms > 0 {
        sleep(Duration::from_millis(delay_ms)).await;
    }
    drop(slot);
    shared.note_load();
    let Ok(answer) = result else {
        return Ok(text_answer(StatusCode::GATEWAY_TIMEOUT, "deadline passed"));
    };
    send(shared, call, behaviour, answer, connection)
}

/// Crashes the whole target, including this run's connection.
async fn crash(shared: &Arc<Shared>, _run: Run) -> DropConnection {
    sleep(Duration::from_millis(shared.config.crash_after_ms)).await;
    let owner = Arc::clone(shared);
    tokio::spawn(async move { owner.crash().await });
    std::future::pending().await
}

/// The deadline passed during the run.
struct DeadlinePassed;

struct WholeAnswer {
    answer: Answer,
    body: Bytes,
}

async fn run_call(
    shared: &Arc<Shared>,
    call: &Call,
    behaviour: &Behaviour,
    run: &mut Run,
) -> Result<WholeAnswer, DeadlinePassed> {
    let started_at = Instant::now();
    let work = do_work(shared, call, behaviour);
    let called = match call.deadline {
        Some(deadline) => timeout_at(deadline, work).await,
        None => Ok(work.await),
    };
    let Ok(called) = called else {
        run.end(RunEnd::DeadlinePassed, Some(StatusCode::GATEWAY_TIMEOUT));
        return Err(DeadlinePassed);
    };
    shared.record_service_time(started_at.elapsed());
    let status = call.answer_status(called);
    run.end(RunEnd::Finished, Some(status));
    Ok(compose(shared, call, run, status, called))
}

/// Does the work of a run, then makes the downstream call if one is requested.
///
/// Returns the status of the downstream call.
async fn do_work(shared: &Arc<Shared>, call: &Call, behaviour: &Behaviour) -> Option<StatusCode> {
    let service_us = match call.number(headers::SERVICE_US) {
        Some(us) => us as f64,
        None => shared.sampler.draw_us(&shared.config.service_time),
    };
    let factor = behaviour.slow_factor.max(0.0) * shared.cold_start_factor();
    let span = Duration::from_secs_f64(service_us * factor / 1_000_000.0);
    shared.stalls.work(span).await;
    downstream::call_downstream(shared, call).await
}

fn compose(
    shared: &Shared,
    call: &Call,
    run: &Run,
    status: StatusCode,
    called: Option<StatusCode>,
) -> WholeAnswer {
    let answer_bytes = call.number(headers::ANSWER_BYTES).unwrap_or(0);
    let body = echo_body(&EchoRequest {
        nonce: call.text(headers::NONCE).unwrap_or_default(),
        method: call.head.method.as_str(),
        path: call.path(),
        body: &call.body,
        answer_bytes: usize::try_from(answer_bytes).unwrap_or(usize::MAX),
    });
    let mut answer = Response::new(whole_body(body.clone()));
    *answer.status_mut() = status;
    let answer_headers = answer.headers_mut();
    let texts = [
        (headers::DIGEST, digest(&body)),
        (headers::TARGET, shared.config.name.clone()),
        (headers::RUN, run.number().to_string()),
        (
            headers::NONCE,
            call.text(headers::NONCE).unwrap_or_default().to_owned(),
        ),
    ];
    for (name, text) in texts {
        let Ok(value) = HeaderValue::from_str(&text) else {
            continue;
        };
        answer_headers.insert(name, value);
    }
    if let Some(id) = call.head.headers.get(header::REQUEST_ID) {
        answer_headers.insert(header::REQUEST_ID, id.clone());
    }
    if let Some(called) = called {
        answer_headers.insert(headers::CALLED_STATUS, called.as_u16().into());
    }
    WholeAnswer { answer, body }
}

fn send(
    shared: &Shared,
    call: &Call,
    behaviour: &Behaviour,
    whole: WholeAnswer,
    connection: &Connection,
) -> Result<Answer, DropConnection> {
    let cut = call
        .cut()
        .or(behaviour.cut)
        .or_else(|| shared.take_pending_cut());
    let Some(cut) = cut else {
        return Ok(whole.answer);
    };
    shared.counters.cut.fetch_add(1, Ordering::Relaxed);
    cut.apply(whole.answer, &whole.body, connection)
}

impl Call {
    pub(super) fn text(&self, name: &str) -> Option<&str> {
        header_text(&self.head.headers, name)
    }

    pub(super) fn number(&self, name: &str) -> Option<u64> {
        header_number(&self.head.headers, name)
    }

    fn path(&self) -> &str {
        let uri = &self.head.uri;
        uri.path_and_query().map_or("/", |path| path.as_str())
    }

    fn marks(&self) -> RequestMarks {
        let owned = |name| self.text(name).map(str::to_owned);
        RequestMarks {
            key: owned(header::KEY),
            ticket: owned(header::TICKET),
            idempotency_key: owned(header::IDEMPOTENCY_KEY),
            nonce: owned(headers::NONCE),
            try_number: self.number(headers::TRY),
            attempt: self.number(header::ATTEMPT),
            depth: self.number(header::DEPTH),
            method: self.head.method.to_string(),
            path: self.path().to_owned(),
        }
    }

    fn has_crash_mark(&self, mark: &str) -> bool {
        if self.text(headers::CRASH).is_some() {
            return true;
        }
        if mark.is_empty() {
            return false;
        }
        let in_body = self
            .body
            .windows(mark.len())
            .any(|part| part == mark.as_bytes());
        in_body || self.path().contains(mark)
    }

    fn answer_status(&self, called: Option<StatusCode>) -> StatusCode {
        if called.is_some_and(|status| !status.is_success()) {
            return StatusCode::BAD_GATEWAY;
        }
        let wanted = self.number(headers::STATUS);
        let wanted = wanted.and_then(|number| u16::try_from(number).ok());
        let status = wanted.and_then(|number| StatusCode::from_u16(number).ok());
        status.unwrap_or(StatusCode::OK)
    }

    fn cut(&self) -> Option<Cut> {
        let cut = Cut::from_str(self.text(headers::CUT)?).ok()?;
        if let Some(bound) = self.number(headers::CUT_BELOW_ATTEMPT) {
            let attempt = self.number(header::ATTEMPT).unwrap_or(0);
            if attempt >= bound {
                return None;
            }
        }
        Some(cut)
    }
}

//! Runs a call in the target and classifies its answer.

use bytes::Bytes;

use hornbeamhitch_dispatch::gate::stated_limit::LimitSource;
use hornbeamhitch_types::prelude::CallClass;

use super::guards::SlotGuard;
use super::running::RunningCall;
use super::statements::Statement;
use super::{Gate, GateEvent};
use crate::dialect::TargetLoad;
use crate::http1;
use crate::prelude::*;
use crate::target::{Exchange, ExchangeFault, TargetAnswer, is_server_error, is_success};
use crate::target_report::TargetReport;

/// HTTP status of a target that is not the expected incarnation.
const MISDIRECTED: u16 = 421;

/// A call that has been admitted to the target.
pub(super) struct Run<'a> {
    pub(super) slot: &'a SlotGuard<'a>,
    pub(super) terms: &'a CallTerms,
    pub(super) head: &'a CallHead,
    pub(super) body: &'a Bytes,
    pub(super) deadline_at: Millis,
    /// Slowness of the target at the start, in percent of its usual run time.
    pub(super) slowness_percent: u32,
    /// Number of requests running in the target at the start, including this one.
    pub(super) running: u32,
    /// Time that the call was queued.
    pub(super) waited_ms: Millis,
    pub(super) started: Millis,
    /// Whether the request runs as a trial.
    pub(super) is_trial: bool,
}

/// Lists a call among the running ones until it is dropped.
struct RunningGuard<'a> {
    gate: &'a Gate,
    number: u64,
    deadline_at: Millis,
}

impl<'a> RunningGuard<'a> {
    fn register(gate: &'a Gate, run: &Run<'_>) -> Self {
        let number = gate.state.lock().running.add(RunningCall {
            fingerprint: run.terms.fingerprint,
            repeated_percent: run.terms.repeated_percent,
            is_trial: run.is_trial,
            is_sent: false,
        });
        Self {
            gate,
            number,
            deadline_at: run.deadline_at,
        }
    }

    /// Records that the target may have received the request.
    fn note_sent(&self) {
        self.gate.state.lock().running.note_sent(self.number);
    }

    /// Records that the target has answered with this status.
    fn finish(&self, status: u16) {
        let now = self.gate.clock.now();
        let mut state = self.gate.state.lock();
        state.running.finish(self.number);
        // A target that answers with an error may not have waited for its own calls.
        match is_server_error(status) {
            true => state.idleness.note_abandoned(self.deadline_at, now),
            false => state.idleness.note_answered(now),
        }
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        let now = self.gate.clock.now();
        let mut state = self.gate.state.lock();
        if state.running.abandon(self.number, now) {
            state.idleness.note_abandoned(self.deadline_at, now);
        }
    }
}

impl Gate {
    /// Logs a run and counts it in the metrics; `event` is `None` if it was cancelled.
    pub(super) fn note_run(&self, run: &Run<'_>, event: Option<&GateEvent>) {
        let class = match run.terms.idempotent {
            true => CallClass::Interactive,
            false => CallClass::Payment,
        };
        let ran_ms = self.clock.now().since(run.started).0;
        self.metrics.gate_waited(class, run.waited_ms.0 * 1_000);
        self.metrics.gate_ran(class, ran_ms * 1_000);
        let request = run.terms.request_id.as_str();
        let target_id = run.terms.target_id.as_str();
        let slowness_percent = run.slowness_percent;
        let waited_ms = run.waited_ms.0;
        let known_ms = self.directory.load().as_of.age_ms(run.started).0;
        if let Some(GateEvent::Answered { head, .. }) = event
            && is_success(head.status)
        {
            self.learn_limit(run);
        }
        match event {
            Some(GateEvent::Answered { head, .. }) if !is_server_error(head.status) => log::info!(
                request, target_id, slowness_percent, waited_ms, ran_ms, known_ms,
                status = head.status;
                "ran"
            ),
            Some(GateEvent::Answered { head, .. }) => log::warn!(
                request, target_id, slowness_percent, waited_ms, ran_ms, known_ms,
                status = head.status;
                "ran and answered with a server error"
            ),
            Some(GateEvent::Ended(end)) => log::warn!(
                request, target_id, slowness_percent, waited_ms, ran_ms,
                end = <&'static str>::from(*end);
                "ended without an answer"
            ),
            Some(
                GateEvent::WantsContent
                | GateEvent::Started { .. }
                | GateEvent::Received
                | GateEvent::Load(_),
            ) => {}
            None => log::info!(
                request, target_id, slowness_percent, waited_ms, ran_ms;
                "cancelled: the caller left or another attempt won"
            ),
        }
    }

    fn learn_limit(&self, run: &Run<'_>) {
        let now = self.clock.now();
        let ran_ms = now.since(run.started);
        let work_ms = run.terms.work_ms;
        let mut state = self.state.lock();
        let before = state.admission.limit();
        state
            .admission
            .learn_run(run.running, run.slowness_percent, work_ms, ran_ms, now);
        state.room.note_run(work_ms, ran_ms, now);
        let limit = state.admission.limit();
        drop(state);
        if limit != before {
            let slots = self.state.lock().admission.slots();
            log::info!(before, limit, slots; "the limit on concurrent requests has changed");
            self.changed.notify_waiters();
        }
    }

    /// Runs a call and checks whether it has crashed the target.
    pub(super) async fn run(&self, run: &Run<'_>) -> GateEvent {
        let fingerprint = run.terms.fingerprint;
        self.suspicion.log_start(fingerprint, &run.terms.request_id);
        let running = RunningGuard::register(self, run);
        let event = self.run_in_target(run, &running).await;
        match &event {
            GateEvent::Answered { head, .. } => {
                running.finish(head.status);
                if is_success(head.status) {
                    self.suspicion.note_success(fingerprint);
                }
            }
            GateEvent::Ended(CallEnd::Broken) => self.detect_crash(&run.terms.target_id).await,
            _ => {}
        }
        event
    }

    /// Checks after a broken run whether the target has crashed, which is assumed if it
    /// also refuses a connection. All running requests are then suspected. The broken
    /// run must still be listed as running, so that all runs of one crash are suspected
    /// together.
    async fn detect_crash(&self, target_id: &str) {
        if self.target.accepts_connections().await {
            log::info!("the target accepts connections after a broken run");
            return;
        }
        let mut state = self.state.lock();
        state.admission.note_connection_refused(self.clock.now());
        drop(state);
        self.note_crash(target_id);
    }

    /// Records that the target has crashed with all requests that it was sent and has not
    /// answered.
    fn note_crash(&self, target_id: &str) {
        let now = self.clock.now();
        let in_flight = self.state.lock().running.take_unanswered(now);
        if !in_flight.is_empty() {
            self.suspicion
                .observe_crash(&TargetId::new(target_id), &in_flight);
        }
    }

    async fn run_in_target(&self, run: &Run<'_>, running: &RunningGuard<'_>) -> GateEvent {
        let started = self.clock.now();
        let exchange = self.exchange_for(run, run.deadline_at.since(started));
        let deadline = self.clock.to_instant(run.deadline_at);
        run.slot.begin_sending();
        let exchanging = self.target.exchange(&exchange, || {
            run.slot.note_sent();
            running.note_sent();
        });
        match tokio::time::timeout_at(deadline, exchanging).await {
            Err(_) => GateEvent::Ended(CallEnd::TimedOut),
            Ok(Ok(answer)) => self.classify_answer(run.terms, answer, started),
            Ok(Err(fault @ (ExchangeFault::Unreachable | ExchangeFault::Refused))) => {
                run.slot.cancel_sending();
                if fault == ExchangeFault::Refused {
                    self.note_crash(&run.terms.target_id);
                }
                self.state
                    .lock()
                    .admission
                    .note_connection_refused(self.clock.now());
                GateEvent::Ended(CallEnd::Down)
            }
            Ok(Err(ExchangeFault::Broken(reason))) => {
                let id = &run.terms.request_id;
                log::warn!(request = id.as_str(), reason; "the exchange with the target failed during a run");
                GateEvent::Ended(CallEnd::Broken)
            }
        }
    }

    /// Builds the request that is sent to the target.
    fn exchange_for(&self, run: &Run<'_>, left_ms: Millis) -> Exchange {
        let names = self.dialect.names();
        let mut fields = run.head.fields.clone();
        for (name, value) in [
            (names.request_id, run.terms.request_id.clone()),
            (names.deadline_ms, left_ms.0.to_string()),
            (names.expected_target, run.terms.target_id.clone()),
        ] {
            fields.push(HeaderField {
                name: name.to_owned(),
                value: Bytes::from(value),
            });
        }
        let CallHead { method, path, .. } = run.head;
        Exchange {
            method: method.clone(),
            request_id: Some(run.terms.request_id.clone()),
            is_idempotent: run.terms.idempotent,
            encoded: http1::request(method, path, &fields, run.body.clone()),
        }
    }

    /// Distinguishes a valid answer from a statement that the request did not run, and
    /// from a successful status without a valid body.
    fn classify_answer(
        &self,
        terms: &CallTerms,
        answer: TargetAnswer,
        started: Millis,
    ) -> GateEvent {
        let names = self.dialect.names();
        let now = self.clock.now();
        let TargetAnswer { head, body } = answer;
        let report = TargetReport::decode(&head.fields, &*self.dialect);
        if let Some(load) = report.load {
            self.note_load(load, now);
        }
        if head.status == MISDIRECTED {
            self.note_ended_incarnation(&terms.target_id);
            return GateEvent::Ended(CallEnd::Misdirected);
        }
        let target_id = TargetId::new(&terms.target_id);
        let statement = Statement {
            source: LimitSource::Answer,
            notice: report.notice,
            is_success: is_success(head.status),
            asked_at: started,
        };
        if http1::field(&head.fields, names.not_run).is_some() {
            self.note_statement(&target_id, &statement);
            return GateEvent::Ended(CallEnd::Shed);
        }
        let has_digest = match names.digest {
            Some(name) => http1::field(&head.fields, name).is_some(),
            None => true,
        };
        let is_encoded = http1::field(&head.fields, "content-encoding").is_some();
        if is_success(head.status) && (!has_digest || is_encoded) {
            let id = &terms.request_id;
            log::warn!(
                request = id.as_str(), has_digest, is_encoded;
                "a successful answer has no digest or is encoded"
            );
            return GateEvent::Ended(CallEnd::Broken);
        }
        self.note_statement(&target_id, &statement);
        let mut fields = head.fields;
        http1::strip_hop_by_hop(&mut fields);
        fields.retain(|field| !field.name.eq_ignore_ascii_case(names.load));
        GateEvent::Answered {
            head: AnswerHead {
                status: head.status,
                fields,
                run_ms: now.since(started),
                notice: report.notice,
            },
            body,
        }
    }

    fn note_load(&self, load: TargetLoad, now: Millis) {
        let Some(slowness_percent) = load.slowness_percent else {
            return;
        };
        let reading = hornbeamhitch_dispatch::gate::admission::SpeedReading {
            slowness_percent,
            read_at: now,
        };
        self.state.lock().admission.note_speed(reading);
    }
}

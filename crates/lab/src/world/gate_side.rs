//! Attempts at gates and targets.

use std::fmt::Write;

use hornbeamhitch_core::gate::{Arrival, RunEnd, RunId, Settlement, StoredAnswer, Verdict, Wake};
use std::sync::Arc;

use super::World;
use super::call::{CallKind, Stage};
use crate::event::{AttemptIndex, Event, HostId};
use crate::prelude::*;
use crate::target::Progress;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Micros = Micros::from_millis(750);
/// `Retry-After` of calls that the target or a leaving host rejects.
const REFUSAL_RETRY_AFTER: Millis = Millis(100);

impl World {
    pub(super) fn attempt_at_gate(&mut self, index: AttemptIndex) {
        let host = self.attempt(index).host;
        self.host_mut(host).incoming -= 1;
        if self.attempt(index).stage != Stage::Sent {
            return;
        }
        if self.is_unreachable(index) {
            self.fail_to_connect(index);
            return;
        }
        if self.host(host).gate.is_some() {
            self.arrive_at_gate(index);
            return;
        }
        if self.host(host).leaving {
            let refusal = Refusal::retry_after(ResultCode::Leaving, REFUSAL_RETRY_AFTER);
            self.send_end(index, AttemptEnd::Refused(refusal));
            return;
        }
        self.start_at_target(index);
    }

    fn is_unreachable(&self, index: AttemptIndex) -> bool {
        let attempt = self.attempt(index);
        let node = self.call(attempt.call).node;
        let entry_lost = self.lost_data_centres[self.nodes[node].data_centre].is_some();
        entry_lost || self.host(attempt.host).unreachable_since.is_some()
    }

    fn fail_to_connect(&mut self, index: AttemptIndex) {
        let attempt = self.attempt(index);
        let (host, sent_at) = (attempt.host, attempt.sent_at);
        let node = self.call(attempt.call).node;
        self.nodes[node].connected[host.service][host.target] = false;
        let at = self.now.max(sent_at + CONNECT_TIMEOUT);
        self.end_at(index, AttemptEnd::Unreachable, None, at);
    }

    fn arrive_at_gate(&mut self, index: AttemptIndex) {
        let now = self.now.floor_millis();
        let attempt = &self.attempts[index.0];
        let id = attempt.host;
        let call = &self.calls[attempt.call.0];
        let fingerprint = call.fingerprint();
        let arrival = Arrival {
            class: CallClass::Interactive,
            deadline_at: call.deadline_at.floor_millis(),
            ticket: call.ticket.as_ref(),
            digest: call.identity,
            fingerprint,
        };
        let host = &mut self.services[id.service].hosts[id.target];
        let gate = host.gate.as_mut().expect("checked by the caller");
        let accused = match call.broke {
            true => gate.report_suspect(fingerprint, now),
            false => None,
        };
        let verdict = gate.arrive(&arrival, now);
        let wakes = gate.take_wakes();
        match verdict {
            Verdict::Run(run) => {
                host.attempts.insert(run, index);
                self.attempt_mut(index).run = Some(run);
                self.start_at_target(index);
            }
            Verdict::Wait(run) => {
                host.attempts.insert(run, index);
                let attempt = self.attempt_mut(index);
                attempt.run = Some(run);
                attempt.stage = Stage::Queued(run);
            }
            Verdict::Join(run) => {
                host.joined.push((run, index));
                self.attempt_mut(index).stage = Stage::Joined(run);
            }
            Verdict::Replay(_) => self.send_end(index, AttemptEnd::Answered { failed: false }),
            Verdict::Refuse(refusal) => self.send_end(index, AttemptEnd::Refused(refusal)),
        }
        self.apply_wakes(id, wakes);
        self.merge_suspects(accused.as_slice());
    }

    fn start_at_target(&mut self, index: AttemptIndex) {
        let now = self.now;
        let id = self.attempt(index).host;
        let attempt = self.attempt_mut(index);
        attempt.stage = Stage::AtTarget;
        attempt.at_target_since = now;
        if !self.host(id).target.is_up() {
            self.run_ended(index, RunEnd::Unreachable);
            return;
        }
        let call = &self.calls[self.attempt(index).call.0];
        let mean_us = self.services[id.service].mean_work_us;
        let work = self
            .workload
            .work(call.identity, call.service as u32, mean_us);
        if let Some(done_at) = self.host_mut(id).target.offer(index, work, now) {
            self.queue.schedule(done_at, Event::WorkDone(id, index));
        }
    }

    pub(super) fn work_done(&mut self, id: HostId, index: AttemptIndex) {
        match self.host(id).target.progress(index, self.now) {
            Progress::Gone => return,
            Progress::Later(at) => {
                self.queue.schedule(at, Event::WorkDone(id, index));
                return;
            }
            Progress::Done => {}
        }
        let call = self.call(self.attempt(index).call);
        if call.kind == CallKind::Crashing {
            self.crash_target(id);
            return;
        }
        let failed = self.host(id).target.fails_fast();
        let next_service = id.service + 1;
        if failed || next_service == self.services.len() {
            self.run_ended(
                index,
                RunEnd::Answered {
                    answer: self.answer_for(index),
                    failed,
                },
            );
            return;
        }
        let identity = call.identity;
        let node = self.host(id).node;
        self.host_mut(id).target.wait_for_nested_call(index);
        self.add_call(CallKind::FromTarget(index), next_service, node, identity);
    }

    fn answer_for(&self, index: AttemptIndex) -> Option<Arc<StoredAnswer>> {
        self.call(self.attempt(index).call).ticket.as_ref()?;
        Some(Arc::new(StoredAnswer {
            status: 200,
            headers: Vec::new(),
            body: Vec::new(),
        }))
    }

    /// Ends a run whose nested call has ended.
    pub(super) fn nested_call_ended(&mut self, parent: AttemptIndex, answered: bool) {
        self.attempt_mut(parent).nested_call = None;
        if self.attempt(parent).stage != Stage::AtTarget {
            return;
        }
        let answer = self.answer_for(parent);
        let failed = !answered;
        self.run_ended(parent, RunEnd::Answered { answer, failed });
    }

    /// Ends a run at its target.
    pub(super) fn run_ended(&mut self, index: AttemptIndex, end: RunEnd) {
        let now = self.now;
        let attempt = &self.attempts[index.0];
        let (id, run) = (attempt.host, attempt.run);
        let service_time = now.since(attempt.at_target_since);
        let attempt_end = attempt_end(&end);
        let host = self.host_mut(id);
        let slot_time = host.target.remove(index, now);
        if matches!(end, RunEnd::Answered { .. }) {
            host.observe_service_time(service_time);
        }
        let mut wakes = Vec::new();
        if let (Some(gate), Some(run)) = (&mut host.gate, run) {
            host.attempts.remove(&run);
            wakes = gate.finish(run, end, service_time.to_u32(), now.floor_millis());
        }
        self.attempt_mut(index).slot_time = slot_time;
        self.tally.busy_us += slot_time.0;
        match attempt_end {
            Some(attempt_end) => self.send_end(index, attempt_end),
            None => self.attempt_mut(index).stage = Stage::Ended,
        }
        self.start_waiting(id);
        self.apply_wakes(id, wakes);
    }

    fn start_waiting(&mut self, id: HostId) {
        let now = self.now;
        while let Some((attempt, done_at)) = self.host_mut(id).target.start_waiting(now) {
            self.queue.schedule(done_at, Event::WorkDone(id, attempt));
        }
    }

    /// Carries out a gate's decisions about queued and joined calls.
    pub(super) fn apply_wakes(&mut self, id: HostId, wakes: Vec<Wake>) {
        for wake in wakes {
            match wake {
                Wake::Start(run) => {
                    let index = self.host(id).attempts[&run];
                    self.start_at_target(index);
                }
                Wake::Refuse(run, refusal) => {
                    let Some(index) = self.host_mut(id).attempts.remove(&run) else {
                        continue;
                    };
                    self.send_end(index, AttemptEnd::Refused(refusal));
                }
                Wake::Settled(run, settlement) => self.settle_joined(id, run, &settlement),
            }
        }
    }

    fn settle_joined(&mut self, id: HostId, run: RunId, settlement: &Settlement) {
        let joined = std::mem::take(&mut self.host_mut(id).joined);
        let (settled, others) = joined.into_iter().partition(|(joined, _)| *joined == run);
        self.host_mut(id).joined = others;
        let settled: Vec<(RunId, AttemptIndex)> = settled;
        for (_, index) in settled {
            let end = match settlement {
                Settlement::Answered(_) => AttemptEnd::Answered { failed: false },
                Settlement::Refused(refusal) => AttemptEnd::Refused(*refusal),
            };
            self.send_end(index, end);
        }
    }

    /// Sends the end of an attempt to the entry, with the gate's load report.
    fn send_end(&mut self, index: AttemptIndex, end: AttemptEnd) {
        let attempt = self.attempt(index);
        let id = attempt.host;
        let node = self.call(attempt.call).node;
        let report = self.report_on_answer(id);
        if self.kind.reads_reports() {
            self.tally.control_bytes += text_bytes(&report);
        }
        let at = self.now + self.distance(node, id);
        self.end_at(index, end, Some(report), at);
    }

    fn report_on_answer(&mut self, id: HostId) -> LoadReport {
        if !self.case.stale_reports {
            return self.host(id).load(self.now);
        }
        let age = self.workload.report_age();
        self.host(id).old_report(age, self.now)
    }

    pub(super) fn end_at(
        &mut self,
        index: AttemptIndex,
        end: AttemptEnd,
        load: Option<LoadReport>,
        at: Micros,
    ) {
        let attempt = self.attempt_mut(index);
        attempt.stage = Stage::Ended;
        attempt.outcome = Some(AttemptOutcome {
            end,
            latency_us: at.since(attempt.sent_at).to_u32(),
            load,
        });
        self.queue.schedule(at, Event::EndAtEntry(index));
    }

    pub(super) fn cancel_at_gate(&mut self, index: AttemptIndex) {
        let id = self.attempt(index).host;
        let now = self.now.floor_millis();
        match self.attempt(index).stage {
            Stage::Ended => {}
            Stage::Sent => self.attempt_mut(index).stage = Stage::Ended,
            Stage::Joined(_) => {
                self.attempt_mut(index).stage = Stage::Ended;
                self.host_mut(id)
                    .joined
                    .retain(|(_, joined)| *joined != index);
            }
            Stage::Queued(run) => {
                self.attempt_mut(index).stage = Stage::Ended;
                let host = self.host_mut(id);
                host.attempts.remove(&run);
                let gate = host.gate.as_mut().expect("only gates queue calls");
                let wakes = gate.abandon(run, now);
                self.apply_wakes(id, wakes);
            }
            Stage::AtTarget => {
                if let Some(nested_call) = self.attempt_mut(index).nested_call.take() {
                    self.cancel_attempts(nested_call, AttemptEnd::Cancelled);
                    self.call_mut(nested_call).live = false;
                }
                self.run_ended(index, RunEnd::Cancelled);
            }
        }
    }

    pub(super) fn tick_gate(&mut self, id: HostId) {
        let now = self.now.floor_millis();
        let Some(gate) = &mut self.host_mut(id).gate else {
            return;
        };
        let wakes = gate.tick(now);
        let cleared = gate.take_cleared();
        self.apply_wakes(id, wakes);
        self.merge_suspects(&cleared);
    }
}

/// End of an attempt that the daemon reports to the entry. `None` if the attempt was
/// cancelled, because the entry does not wait for it any more.
fn attempt_end(end: &RunEnd) -> Option<AttemptEnd> {
    match end {
        RunEnd::Answered { failed, .. } => Some(AttemptEnd::Answered { failed: *failed }),
        RunEnd::NotRun => Some(AttemptEnd::Refused(Refusal::retry_after(
            ResultCode::Overloaded,
            REFUSAL_RETRY_AFTER,
        ))),
        RunEnd::Unreachable => Some(AttemptEnd::Unreachable),
        RunEnd::Broken => Some(AttemptEnd::Broken),
        RunEnd::Cancelled => None,
    }
}

/// Length of the load report as header text, computed without allocating the text.
fn text_bytes(report: &LoadReport) -> u64 {
    struct Counter(u64);
    impl Write for Counter {
        fn write_str(&mut self, text: &str) -> std::fmt::Result {
            self.0 += text.len() as u64;
            Ok(())
        }
    }
    let mut counter = Counter(0);
    write!(counter, "{report}").expect("counting cannot fail");
    counter.0
}

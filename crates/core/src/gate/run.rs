//! Admitted calls, from admission to their end.

use super::queue::QueuePosition;
use super::records::{RecordState, size_bytes};
use super::{Arrival, Gate, RunEnd, RunId, Settlement, Verdict, Wake};
use crate::prelude::*;

/// The state of an admitted call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Waits for a slot.
    Queued,
    /// Waits until it can run alone.
    Quarantined,
    /// Has been handed to the driver to be sent to the target.
    Running,
}

/// One admitted call.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) class: CallClass,
    pub(super) deadline_at: Millis,
    /// Key of a ticketed call.
    pub(super) key: Option<CallKey>,
    pub(super) fingerprint: u64,
    pub(super) phase: Phase,
    /// Number of callers, including those that joined, while the call waits.
    pub(super) callers: u32,
    /// Whether the target runs no other call.
    pub(super) alone: bool,
    /// Sequence number of its start among starts and breaks.
    pub(super) started: u64,
    /// Whether the call was already counted in a crash of the target.
    pub(super) in_crash: bool,
}

impl Run {
    pub(super) const fn position(&self, id: RunId) -> QueuePosition {
        QueuePosition {
            deadline_at: self.deadline_at,
            run: id,
        }
    }
}

/// How an admitted call begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    Run,
    RunAlone,
    Queue,
    Quarantine,
}

/// The result of a ticketed run, for its record and for its callers.
struct RunOutcome {
    state: RecordState,
    settlement: Settlement,
}

impl RunOutcome {
    fn fenced(refusal: Refusal) -> Self {
        Self {
            state: RecordState::Fenced {
                retry_after_ms: refusal.retry_after_ms,
            },
            settlement: Settlement::Refused(refusal),
        }
    }
}

impl Gate {
    /// Registers an admitted call and starts or queues it.
    pub(super) fn register_call(
        &mut self,
        arrival: &Arrival<'_>,
        admission: Admission,
        now: Millis,
    ) -> Verdict {
        self.retry_after.note_admitted();
        self.last_run_id += 1;
        let id = RunId(self.last_run_id);
        let run = Run {
            class: arrival.class,
            deadline_at: arrival.deadline_at,
            key: arrival.ticket.map(|ticket| ticket.key),
            fingerprint: arrival.fingerprint,
            phase: Phase::Queued,
            callers: 1,
            alone: false,
            started: 0,
            in_crash: false,
        };
        let position = run.position(id);
        self.runs.insert(id, run);
        match admission {
            Admission::Run => self.mark_started(id, false, now),
            Admission::RunAlone => self.mark_started(id, true, now),
            Admission::Queue => self.queue.insert(arrival.class, position),
            Admission::Quarantine => self.quarantine_call(id, position),
        }
        match admission {
            Admission::Run | Admission::RunAlone => Verdict::Run(id),
            Admission::Queue | Admission::Quarantine => Verdict::Wait(id),
        }
    }

    /// Counts a call as running. The caller of this method reports the start to
    /// the driver.
    pub(super) fn mark_started(&mut self, id: RunId, alone: bool, now: Millis) {
        let started = self.crash_evidence.next_order();
        let run = self.runs.get_mut(&id);
        let run = run.expect("only an active call is started");
        run.phase = Phase::Running;
        run.alone = alone;
        run.started = started;
        self.in_flight += 1;
        self.limit.note_start(self.in_flight, now);
        if alone {
            self.quarantine.begin_alone(id, now);
        } else {
            self.quarantine.count_regular_start();
        }
    }

    /// Removes a run from the running calls.
    pub(super) fn take_running(&mut self, id: RunId, now: Millis) -> Option<Run> {
        if self.runs.get(&id)?.phase != Phase::Running {
            return None;
        }
        let run = self.runs.remove(&id)?;
        self.in_flight -= 1;
        self.quarantine.end_alone(id, self.limit.current(now));
        Some(run)
    }

    /// Removes a call that was not started; it ends with this refusal.
    pub(super) fn refuse_call(&mut self, id: RunId, refusal: Refusal) {
        let Some(run) = self.remove_waiting(id) else {
            return;
        };
        self.wakes.push(Wake::Refuse(id, refusal));
        self.settle_ticketed(id, &run, RunOutcome::fenced(refusal));
    }

    /// Counts that one caller of a waiting call has left.
    pub(super) fn drop_caller(&mut self, id: RunId) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        if run.phase == Phase::Running {
            return;
        }
        run.callers = run.callers.saturating_sub(1);
        if run.callers > 0 {
            return;
        }
        let Some(run) = self.remove_waiting(id) else {
            return;
        };
        let fenced = RunOutcome::fenced(Refusal::fixed(ResultCode::Fenced));
        self.settle_ticketed(id, &run, fenced);
    }

    /// Updates the limit, the service times and the crash evidence with the end
    /// of a run.
    pub(super) fn record_end(
        &mut self,
        run: &Run,
        end: &RunEnd,
        service_time_us: u32,
        now: Millis,
    ) {
        match end {
            RunEnd::Answered { failed, .. } => {
                if run.alone {
                    self.clear_suspect(run.fingerprint, now);
                }
                if !*failed {
                    self.service_times.record(run.class, service_time_us);
                    self.limit.record(run.class, service_time_us, now);
                }
            }
            RunEnd::Broken => self.crash_evidence.note_broken(run, now),
            RunEnd::NotRun | RunEnd::Unreachable | RunEnd::Cancelled => {}
        }
    }

    /// Writes the end of a ticketed run to its record.
    pub(super) fn settle_ended(&mut self, id: RunId, run: &Run, end: RunEnd) {
        if run.key.is_none() {
            return;
        }
        let outcome = self.outcome(end);
        self.settle_ticketed(id, run, outcome);
    }

    fn outcome(&mut self, end: RunEnd) -> RunOutcome {
        match end {
            RunEnd::Answered { answer: None, .. } => RunOutcome {
                state: RecordState::AnswerNotKept,
                settlement: Settlement::Refused(Refusal::fixed(ResultCode::AnswerNotKept)),
            },
            RunEnd::Answered {
                answer: Some(answer),
                ..
            } => {
                let max_bytes = u64::from(self.policy.max_stored_answer_bytes);
                let state = if size_bytes(&answer) > max_bytes {
                    RecordState::AnswerNotKept
                } else {
                    RecordState::Answered(answer.clone())
                };
                RunOutcome {
                    state,
                    settlement: Settlement::Answered(answer),
                }
            }
            RunEnd::NotRun => RunOutcome::fenced(self.refusal(ResultCode::Overloaded)),
            RunEnd::Unreachable => RunOutcome::fenced(self.refusal(ResultCode::NoTarget)),
            RunEnd::Broken | RunEnd::Cancelled => RunOutcome {
                state: RecordState::Unknown,
                settlement: Settlement::Refused(Refusal::fixed(ResultCode::RunBroken)),
            },
        }
    }

    fn settle_ticketed(&mut self, id: RunId, run: &Run, outcome: RunOutcome) {
        let Some(key) = run.key else {
            return;
        };
        let max_bytes = self.settings.max_stored_bytes;
        self.records.settle(key, outcome.state, max_bytes);
        self.wakes.push(Wake::Settled(id, outcome.settlement));
    }

    fn remove_waiting(&mut self, id: RunId) -> Option<Run> {
        let position = self.runs.get(&id)?.position(id);
        match self.runs.get(&id)?.phase {
            Phase::Running => return None,
            Phase::Queued => self.queue.remove(self.runs[&id].class, &position),
            Phase::Quarantined => self.quarantine.remove(&position),
        }
        self.runs.remove(&id)
    }
}

//! The gate's side of a call: admission, the queue, and records of ticketed
//! calls.
//!
//! One [`Gate`] runs in front of one target and decides about every call to it:
//!
//! - [`Gate::arrive`] runs, queues, joins, replays or refuses a call;
//! - [`Gate::finish`], [`Gate::abandon`] and [`Gate::tick`] return decisions
//!   about waiting calls;
//! - [`Gate::fence`] settles a key whose sender lost its stream.
//!
//! `arrive`, `fence` and `update` may also decide about other calls than the
//! one they answer: one may be displaced or may start. Those decisions are
//! returned by [`Gate::take_wakes`], which the driver calls after each of the
//! three.
//!
//! Time never runs backwards here. A `now` earlier than one already seen, as
//! read by a thread that was paused before it got the lock, counts as the later
//! one. A record removed at its ticket's expiry can therefore never be followed
//! by an arrival from before that expiry.
//!
//! Design notes: `docs/design/at-most-once.md`, `admission.md`,
//! `crash-requests.md`.

use std::collections::HashMap;
use std::sync::Arc;

use crate::prelude::*;
use crate::suspects::{SuspectEntry, SuspectSet, Suspects};

mod admission;
mod backoff;
mod crash;
mod fence;
mod limit;
mod pump;
mod quarantine;
mod queue;
mod records;
mod run;
mod service_time;
mod ticketed;

#[cfg(test)]
mod tests;

use backoff::RetryAfter;
use crash::CrashEvidence;
use limit::ConcurrencyLimit;
use quarantine::Quarantine;
use queue::Queue;
use records::Records;
use run::{Phase, Run};
use service_time::ServiceTimes;

pub use crash::CrashReport;

/// Identity and limits of a gate.
#[derive(Clone, Debug)]
pub struct GateSettings {
    /// The VM on which this gate runs.
    pub vm: VmId,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// Seed of the generator that applies jitter to `Retry-After`.
    pub seed: u64,
    /// Maximum total size of the stored answers of all records, in bytes.
    pub max_stored_bytes: u64,
}

/// Identifies one call from its admission until it is finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(pub u64);

/// An answer stored in a record so that it can be replayed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredAnswer {
    /// HTTP status of the target.
    pub status: u16,
    /// Headers in the order in which they were received.
    pub headers: Vec<StoredHeader>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// One header of a stored answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredHeader {
    /// Name in lower case.
    pub name: String,
    /// Value as received.
    pub value: Vec<u8>,
}

/// A call that arrives at the gate. Ticketed calls arrive with their complete
/// body.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Priority class in the queue.
    pub class: CallClass,
    /// Deadline of the call, by the gate's clock.
    pub deadline_at: Millis,
    /// The ticket of a non-idempotent call.
    pub ticket: Option<&'a Ticket>,
    /// Hash of method, path and body of a ticketed call.
    pub digest: u64,
    /// Fingerprint by which crash suspects are recognised.
    pub fingerprint: u64,
}

/// What the gate decides about an arriving call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Send it to the target now.
    Run(RunId),
    /// Keep the call waiting until a [`Wake`] names it.
    Wait(RunId),
    /// A call with the same key is waiting or running; wait for its
    /// [`Wake::Settled`].
    Join(RunId),
    /// Answer from the record.
    Replay(Arc<StoredAnswer>),
    /// Refuse the call immediately.
    Refuse(Refusal),
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The target sent a complete answer. `answer` is `None` if the call had no
    /// ticket or the answer was too large to store.
    Answered {
        /// The answer to store.
        answer: Option<Arc<StoredAnswer>>,
        /// Whether the status was 5xx.
        failed: bool,
    },
    /// The target stated that it did not run the request.
    NotRun,
    /// No connection to the target could be opened; the request did not run.
    Unreachable,
    /// The connection broke after the request was sent.
    Broken,
    /// The run was cancelled because the deadline passed or the caller left.
    Cancelled,
}

/// A decision about a call that was waiting or running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wake {
    /// Send the call to the target now.
    Start(RunId),
    /// Refuse the waiting call.
    Refuse(RunId, Refusal),
    /// The ticketed call has ended with this result, for its caller and for all
    /// callers that joined it or are waiting for a fence. Sent exactly once for
    /// each admitted ticketed call, after [`Self::Refuse`] if the call was
    /// waiting.
    Settled(RunId, Settlement),
}

/// The final result for a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// The call ran, with this answer.
    Answered(Arc<StoredAnswer>),
    /// The call ends with this code: not run, or outcome unknown.
    Refused(Refusal),
}

/// Answer to a fence request. The request fences a key whose call has not
/// started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FenceAnswer {
    /// The key is settled, now or earlier.
    Settled(Settlement),
    /// The call is running; a [`Wake::Settled`] for this run will follow.
    Running(RunId),
}

/// The gate of one target.
#[derive(Debug)]
pub struct Gate {
    settings: GateSettings,
    policy: Arc<ServicePolicy>,
    /// The latest time seen.
    now: Millis,
    leaving: bool,
    /// The longest ticket validity that any policy has allowed in this
    /// incarnation.
    max_ticket_ttl: Millis,
    records: Records,
    queue: Queue,
    quarantine: Quarantine,
    crash_evidence: CrashEvidence,
    limit: ConcurrencyLimit,
    service_times: ServiceTimes,
    retry_after: RetryAfter,
    /// Suspects known to the fleet.
    fleet_suspects: Arc<SuspectSet>,
    /// Suspects that this gate found itself; they apply before the fleet knows
    /// of them.
    own_suspects: Suspects,
    cleared: Vec<SuspectEntry>,
    /// Calls that are waiting or running.
    runs: HashMap<RunId, Run>,
    in_flight: u32,
    last_run_id: u64,
    wakes: Vec<Wake>,
}

impl Gate {
    /// Creates a gate without calls.
    #[must_use]
    pub fn new(settings: GateSettings, policy: Arc<ServicePolicy>, now: Millis) -> Self {
        Self {
            now,
            leaving: false,
            max_ticket_ttl: policy.ticket_ttl_ms,
            records: Records::default(),
            queue: Queue::default(),
            quarantine: Quarantine::default(),
            crash_evidence: CrashEvidence::default(),
            limit: ConcurrencyLimit::new(&policy, now),
            service_times: ServiceTimes::default(),
            retry_after: RetryAfter::new(settings.seed),
            fleet_suspects: Arc::default(),
            own_suspects: Suspects::new(),
            cleared: Vec::new(),
            runs: HashMap::new(),
            in_flight: 0,
            last_run_id: 0,
            wakes: Vec::new(),
            settings,
            policy,
        }
    }

    /// Applies a changed policy. Waiting and running calls are not affected,
    /// but a raised limit may start some. Call [`Self::take_wakes`] afterwards.
    pub fn update(&mut self, policy: Arc<ServicePolicy>, now: Millis) {
        let now = self.advance(now);
        self.max_ticket_ttl = self.max_ticket_ttl.max(policy.ticket_ttl_ms);
        self.limit.update(&policy);
        self.policy = policy;
        self.pump(now);
    }

    /// Applies the set of requests suspected by the fleet.
    pub fn update_suspects(&mut self, suspects: Arc<SuspectSet>) {
        self.fleet_suspects = suspects;
    }

    /// Decides about a call that has arrived. Call [`Self::take_wakes`]
    /// afterwards.
    ///
    /// A refused call without a ticket leaves no state. A ticketed call refused
    /// as "not run" never runs later, whatever late duplicates of it arrive.
    pub fn arrive(&mut self, arrival: &Arrival<'_>, now: Millis) -> Verdict {
        let now = self.advance(now);
        self.pump(now);
        let verdict = match arrival.ticket {
            Some(ticket) => self.arrive_ticketed(ticket, arrival, now),
            None => self.arrive_plain(arrival, now),
        };
        if matches!(verdict, Verdict::Wait(_)) {
            self.pump(now);
        }
        verdict
    }

    /// Ends a run. Call this exactly once for each started run; a run that is
    /// not running is ignored.
    ///
    /// If a call's [`Wake::Start`] came too late for its caller and nothing was
    /// sent, end the run with [`RunEnd::NotRun`].
    pub fn finish(
        &mut self,
        run: RunId,
        end: RunEnd,
        service_time_us: u32,
        now: Millis,
    ) -> Vec<Wake> {
        let now = self.advance(now);
        if let Some(ended) = self.take_running(run, now) {
            self.record_end(&ended, &end, service_time_us, now);
            self.settle_ended(run, &ended, end);
        }
        self.pump(now);
        self.take_wakes()
    }

    /// Reports that a caller of a waiting call (the first one or one that
    /// joined) has left before the call was started. When the last caller
    /// leaves, the call is dropped, and its key is fenced if it has a ticket.
    ///
    /// A run that was started is not affected. A ticketed run continues so that
    /// its answer is stored; the driver cancels an idempotent one with
    /// [`RunEnd::Cancelled`].
    pub fn abandon(&mut self, run: RunId, now: Millis) -> Vec<Wake> {
        let now = self.advance(now);
        self.drop_caller(run);
        self.pump(now);
        self.take_wakes()
    }

    /// Refuses waiting calls that cannot meet their deadline, removes expired
    /// records, and starts calls that a higher limit allows. Call this every
    /// few milliseconds.
    pub fn tick(&mut self, now: Millis) -> Vec<Wake> {
        let now = self.advance(now);
        self.records.purge(now);
        self.own_suspects.tick(now);
        self.refuse_late_calls(now);
        self.pump(now);
        self.take_wakes()
    }

    /// Returns the pending decisions about waiting calls from [`Self::arrive`],
    /// [`Self::fence`] and [`Self::update`]. Every other method that returns
    /// wakes returns these as well. Does not allocate if there are none.
    #[must_use]
    pub fn take_wakes(&mut self) -> Vec<Wake> {
        std::mem::take(&mut self.wakes)
    }

    /// Creates a refusal with this code and the current retry time, for answers
    /// that the driver gives itself (for example if there is no connection to
    /// the target).
    pub fn refusal(&mut self, code: ResultCode) -> Refusal {
        Refusal::retry_after(code, self.retry_after.draw())
    }

    /// Returns the load report that is sent with answers and control messages.
    #[must_use]
    pub fn load(&self, now: Millis) -> LoadReport {
        let now = self.now.max(now);
        LoadReport {
            in_flight: self.in_flight,
            queued: narrow(self.queue.len() + self.quarantine.len()),
            limit: self.limit.current(now),
            service_time_us: self.service_times.overall_us() as u32,
            gate_clock_ms: now,
            incarnation: self.settings.incarnation,
            leaving: self.leaving,
        }
    }

    /// Starts or stops draining. While draining, the gate refuses new work and
    /// finishes the waiting and running calls.
    pub const fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Returns the number of waiting and running calls; a graceful shutdown
    /// ends at zero.
    #[must_use]
    pub fn active_calls(&self) -> usize {
        self.runs.len()
    }

    /// Returns the number of records of ticketed calls.
    #[must_use]
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Returns the total size of the stored answers in bytes.
    #[must_use]
    pub const fn stored_bytes(&self) -> u64 {
        self.records.stored_bytes()
    }

    fn advance(&mut self, now: Millis) -> Millis {
        self.now = self.now.max(now);
        self.now
    }

    fn arrive_plain(&mut self, arrival: &Arrival<'_>, now: Millis) -> Verdict {
        match self.admit(arrival, now) {
            Ok(admission) => self.register_call(arrival, admission, now),
            Err(refusal) => Verdict::Refuse(refusal),
        }
    }
}

fn narrow(value: usize) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}

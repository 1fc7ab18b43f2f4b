//! The gate's side of a call: admission, the queue, records of tickets.
//!
//! One [`Gate`] stands before one target and decides about every call to it:
//!
//! - [`Gate::arrive`] runs, holds, joins, replays or refuses;
//! - [`Gate::finish`], [`Gate::abandon`] and [`Gate::tick`] return what becomes
//!   of held calls;
//! - [`Gate::fence`] settles a key whose sender lost its stream.
//!
//! `arrive`, `fence` and `update` may also decide about other calls than the
//! one they answer (one is displaced, one gets its turn). Those decisions wait
//! in [`Gate::take_wakes`], which the driver calls after each of the three.
//!
//! Time never runs backwards here: a `now` that lies before one already seen,
//! as read by a thread that was paused before it got the lock, counts as the
//! later one. A record forgotten at its ticket's expiry can therefore never be
//! followed by an arrival from before that expiry.
//!
//! Notes: `docs/design/at-most-once.md`, `admission.md`, `crash-requests.md`.

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

use backoff::Backoff;
use crash::CrashEvidence;
use limit::ConcurrencyLimit;
use quarantine::Quarantine;
use queue::Queue;
use records::Records;
use run::{Phase, Run};
use service_time::ServiceTimes;

pub use crash::CrashReport;

/// What a gate knows about itself.
#[derive(Clone, Debug)]
pub struct GateSettings {
    /// The VM this gate stands on.
    pub vm: VmId,
    /// This life of the process.
    pub incarnation: Incarnation,
    /// Seed of the generator that spreads `Retry-After`.
    pub seed: u64,
    /// Bytes of stored answers that all records may hold together.
    pub max_stored_bytes: u64,
}

/// One call that a gate has admitted, until it is finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(pub u64);

/// An answer kept with a record, to be replayed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredAnswer {
    /// HTTP status of the target.
    pub status: u16,
    /// Headers in the order in which they came.
    pub headers: Vec<StoredHeader>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// One header of a stored answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredHeader {
    /// Name in lower case.
    pub name: String,
    /// Value as it came.
    pub value: Vec<u8>,
}

/// A call at the gate. Ticketed calls arrive with their whole body in hand.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Rank in the queue.
    pub class: CallClass,
    /// When the call must have ended, in the gate's clock.
    pub deadline_at: Millis,
    /// The ticket of a non-idempotent call.
    pub ticket: Option<&'a Ticket>,
    /// Hash of method, path and body of a ticketed call.
    pub digest: u64,
    /// Fingerprint for crash suspicion.
    pub fingerprint: u64,
}

/// What the gate does with a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Send it to the target now.
    Run(RunId),
    /// Hold it until a [`Wake`] names it.
    Wait(RunId),
    /// Another arrival of the same key is waiting or running; wait for its
    /// [`Wake::Settled`].
    Join(RunId),
    /// Answer from the record.
    Replay(Arc<StoredAnswer>),
    /// Answer at once.
    Refuse(Refusal),
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The target answered in full. The answer is `None` when the call had no
    /// ticket or its answer was too large to keep.
    Answered {
        /// The answer to keep.
        answer: Option<Arc<StoredAnswer>>,
        /// Whether the status was 5xx.
        failed: bool,
    },
    /// The target stated that it did not run the request.
    NotRun,
    /// No connection to the target could be had: the request did not run.
    Unreachable,
    /// The connection broke after the request was sent.
    Broken,
    /// The deadline passed, or the caller left, and the run was cancelled.
    Cancelled,
}

/// What becomes of calls that were held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wake {
    /// Send the call to the target now.
    Start(RunId),
    /// Refuse the held call.
    Refuse(RunId, Refusal),
    /// The ticketed call has ended in this way; for its caller and all that
    /// joined or asked. Comes exactly once for each ticketed call that was
    /// admitted, after [`Self::Refuse`] if it was held.
    Settled(RunId, Settlement),
}

/// What is known about a key for good.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// It ran; here is its answer.
    Answered(Arc<StoredAnswer>),
    /// It ends with this code: not run, or outcome unknown.
    Refused(Refusal),
}

/// What a gate says when asked about a key; asking fences a key not started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FenceAnswer {
    /// Settled, now or before.
    Settled(Settlement),
    /// Running; a [`Wake::Settled`] will follow for this run.
    Running(RunId),
}

/// One gate with its target.
#[derive(Debug)]
pub struct Gate {
    settings: GateSettings,
    policy: Arc<ServicePolicy>,
    /// The latest time seen.
    now: Millis,
    leaving: bool,
    /// The longest validity of tickets that any policy of this life allowed.
    max_ticket_ttl: Millis,
    records: Records,
    queue: Queue,
    quarantine: Quarantine,
    crash_evidence: CrashEvidence,
    limit: ConcurrencyLimit,
    service_times: ServiceTimes,
    backoff: Backoff,
    /// What the fleet knows of suspects.
    fleet_suspects: Arc<SuspectSet>,
    /// What this gate saw itself; in force before the fleet has heard of it.
    own_suspects: Suspects,
    cleared: Vec<SuspectEntry>,
    /// Calls held or running.
    runs: HashMap<RunId, Run>,
    in_flight: u32,
    last_run: u64,
    wakes: Vec<Wake>,
}

impl Gate {
    /// A gate without calls; it admits once a policy is known.
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
            backoff: Backoff::new(settings.seed),
            fleet_suspects: Arc::default(),
            own_suspects: Suspects::new(),
            cleared: Vec::new(),
            runs: HashMap::new(),
            in_flight: 0,
            last_run: 0,
            wakes: Vec::new(),
            settings,
            policy,
        }
    }

    /// Takes over a changed policy; calls in hand are not touched, but a raised
    /// limit may start some. Call [`Self::take_wakes`] afterwards.
    pub fn update(&mut self, policy: Arc<ServicePolicy>, now: Millis) {
        let now = self.advance(now);
        self.max_ticket_ttl = self.max_ticket_ttl.max(policy.ticket_ttl_ms);
        self.limit.update(&policy);
        self.policy = policy;
        self.pump(now);
    }

    /// Takes over the requests suspected by the fleet.
    pub fn update_suspects(&mut self, suspects: Arc<SuspectSet>) {
        self.fleet_suspects = suspects;
    }

    /// Decides about a call that has arrived. Call [`Self::take_wakes`]
    /// afterwards.
    ///
    /// A call without a ticket that is refused leaves nothing behind. A
    /// ticketed call that is refused as "not run" never runs later, whatever
    /// late duplicates of it arrive.
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

    /// Ends a run. Exactly once for each run that was started; for a run that
    /// is not running, nothing happens.
    ///
    /// A call whose [`Wake::Start`] came too late for its caller, and of which
    /// nothing was sent, is ended with [`RunEnd::NotRun`].
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

    /// A caller of a held call (its first or one that joined) has left before
    /// it was started. When the last one leaves, the call is dropped, and
    /// fenced if it has a ticket.
    ///
    /// Nothing happens to a run that was started: a ticketed one goes on, so
    /// that its answer is stored; the driver cancels an idempotent one by
    /// [`RunEnd::Cancelled`].
    pub fn abandon(&mut self, run: RunId, now: Millis) -> Vec<Wake> {
        let now = self.advance(now);
        self.drop_caller(run);
        self.pump(now);
        self.take_wakes()
    }

    /// Refuses held calls whose deadline cannot be met; forgets expired
    /// records; starts what a grown limit allows. To be called every few
    /// milliseconds.
    pub fn tick(&mut self, now: Millis) -> Vec<Wake> {
        let now = self.advance(now);
        self.records.purge(now);
        self.own_suspects.tick(now);
        self.refuse_late_calls(now);
        self.pump(now);
        self.take_wakes()
    }

    /// Decisions about held calls that [`Self::arrive`], [`Self::fence`] and
    /// [`Self::update`] left. Every other method that returns wakes returns
    /// these as well. Does not allocate when there are none.
    #[must_use]
    pub fn take_wakes(&mut self) -> Vec<Wake> {
        std::mem::take(&mut self.wakes)
    }

    /// A refusal with this code and the present time to stay away, for answers
    /// that the driver itself gives (no connection to the target, say).
    pub fn refusal(&mut self, code: ResultCode) -> Refusal {
        Refusal::retry_after(code, self.backoff.draw())
    }

    /// The report that rides on answers and control messages.
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

    /// From now on (or no longer) refuses new work; what is held or running
    /// is finished.
    pub const fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Calls held or running; a graceful shutdown ends at zero.
    #[must_use]
    pub fn active_calls(&self) -> usize {
        self.runs.len()
    }

    /// Records of ticketed calls now held.
    #[must_use]
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Bytes of stored answers now held.
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

//! An overload with calls of two priorities at several gates.

use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};

use super::*;

/// Mean duration of a run; runs take up to a quarter more or less.
const RUN_MS: u64 = 80;
const GATES: usize = 4;
const SLOTS: u32 = 5;
const END_MS: u64 = 10_000;
/// Interval at which an entry tries a call at the next gate.
const RETRY_INTERVAL_MS: u64 = 12;
/// Duration over which kinds of calls are compared.
const WINDOW_MS: u64 = 2_000;

/// A kind of call. Kinds are listed by priority, the highest one first.
#[derive(Clone, Copy, Debug)]
struct Kind {
    /// Mean interval between new calls. All gates together run a call every 4 ms.
    interval_ms: u64,
    objective_ms: u64,
    /// Time after which a call that was not started is refused.
    patience_ms: u64,
    /// Time that a call may be queued at a gate.
    queue_ms: u64,
    /// Age of a call when it arrives, for callers that were refused before.
    age_ms: u64,
}

const READS: Kind = Kind {
    interval_ms: 8,
    objective_ms: 250,
    patience_ms: 160,
    queue_ms: 0,
    age_ms: 0,
};
const REPORTS: Kind = Kind {
    interval_ms: 3,
    objective_ms: 1_000,
    patience_ms: 800,
    queue_ms: 30,
    age_ms: 0,
};

struct Caller {
    kind: usize,
    arrived: u64,
    next_attempt_at: u64,
    /// Gate that is tried next or that queues the call.
    gate: usize,
    queued: Option<(QueuePosition, GateCall, u64)>,
}

struct Gate {
    admission: Admission,
    run_ends: Vec<u64>,
    is_lost: bool,
    /// Time since which a slot is free, and the longest time that one was.
    free_since: Option<u64>,
    longest_free_ms: u64,
}

struct Fleet<'a> {
    rng: Xoshiro256PlusPlus,
    kinds: &'a [Kind],
    gates: Vec<Gate>,
    callers: Vec<Caller>,
    /// Arrived and started calls, by window and kind.
    windows: Vec<Vec<(u32, u32)>>,
}

impl<'a> Fleet<'a> {
    fn new(kinds: &'a [Kind], holds_for_priority: bool) -> Self {
        let mut gates = Vec::new();
        for _ in 0..GATES {
            let mut admission = gate(SLOTS);
            admission.set_holds_for_priority(holds_for_priority);
            gates.push(Gate {
                admission,
                run_ends: Vec::new(),
                is_lost: false,
                free_since: Some(0),
                longest_free_ms: 0,
            });
        }
        let windows = (END_MS / WINDOW_MS) as usize;
        Self {
            rng: Xoshiro256PlusPlus::seed_from_u64(1),
            kinds,
            gates,
            callers: Vec::new(),
            windows: vec![vec![(0, 0); kinds.len()]; windows],
        }
    }

    /// Runs the overload. The first gate is lost at `lost_at`.
    fn run(mut self, lost_at: Option<u64>) -> Self {
        for now in 0..END_MS {
            if lost_at == Some(now) {
                self.gates[0].is_lost = true;
            }
            self.end_runs(now);
            self.arrive(now);
            for mut caller in std::mem::take(&mut self.callers) {
                if !self.is_done(&mut caller, now) {
                    self.callers.push(caller);
                }
            }
            self.note_free_slots(now);
        }
        self
    }

    fn end_runs(&mut self, now: u64) {
        for gate in &mut self.gates {
            read(&mut gate.admission, 100, now);
            while let Some(run) = gate.run_ends.iter().position(|end| *end <= now) {
                gate.run_ends.swap_remove(run);
                gate.admission.finish();
            }
        }
    }

    fn arrive(&mut self, now: u64) {
        for (kind, Kind { interval_ms, .. }) in self.kinds.iter().enumerate() {
            if self.rng.random_range(0..*interval_ms) != 0 {
                continue;
            }
            self.windows[(now / WINDOW_MS) as usize][kind].0 += 1;
            self.callers.push(Caller {
                kind,
                arrived: now,
                next_attempt_at: now,
                gate: self.rng.random_range(0..GATES),
                queued: None,
            });
        }
    }

    /// Tries a call; returns whether it has started or is refused.
    fn is_done(&mut self, caller: &mut Caller, now: u64) -> bool {
        let kind = self.kinds[caller.kind];
        if caller.queued.is_none() && now >= caller.arrived + kind.patience_ms {
            return true;
        }
        let (position, call) = match caller.queued {
            Some((position, call, until)) => {
                let slot_is_free = self.gates[caller.gate].admission.in_flight() < SLOTS;
                if now < until && !slot_is_free {
                    return false;
                }
                (position, call)
            }
            None if now < caller.next_attempt_at || self.gates[caller.gate].is_lost => {
                caller.gate = match now < caller.next_attempt_at {
                    true => caller.gate,
                    false => (caller.gate + 1) % GATES,
                };
                return false;
            }
            None => {
                let call = kind.call(caller, now);
                let admission = &mut self.gates[caller.gate].admission;
                (admission.enqueue(&call, Millis(now)), call)
            }
        };
        let gate = &mut self.gates[caller.gate];
        match gate.admission.decide(position, &call, Millis(now)) {
            Verdict::Start => {
                gate.admission.start(position);
                let run_ms = RUN_MS * self.rng.random_range(75..126) / 100;
                gate.run_ends.push(now + run_ms);
                self.windows[(caller.arrived / WINDOW_MS) as usize][caller.kind].1 += 1;
                return true;
            }
            Verdict::Wait(until) => {
                assert!(until <= call.queue_until, "waits longer than it may");
                caller.queued = Some((position, call, until.0));
            }
            verdict => {
                assert!(matches!(verdict, Verdict::Refuse(_)), "{verdict:?}");
                gate.admission.dequeue(position);
                caller.queued = None;
                caller.gate = self.rng.random_range(0..GATES);
                caller.next_attempt_at = now + RETRY_INTERVAL_MS;
            }
        }
        false
    }

    fn note_free_slots(&mut self, now: u64) {
        for gate in &mut self.gates {
            if gate.admission.in_flight() >= SLOTS {
                gate.free_since = None;
                continue;
            }
            let since = *gate.free_since.get_or_insert(now);
            if now > WINDOW_MS && !gate.is_lost {
                gate.longest_free_ms = gate.longest_free_ms.max(now - since);
            }
        }
    }

    /// Returns the served part of a kind's calls in a window.
    fn served(&self, window: usize, kind: usize) -> f64 {
        let (arrived, started) = self.windows[window][kind];
        f64::from(started) / f64::from(arrived)
    }
}

impl Kind {
    fn call(&self, caller: &Caller, now: u64) -> GateCall {
        GateCall {
            priority: caller.kind as u8,
            work_ms: Millis(RUN_MS),
            queue_until: Millis(now + self.queue_ms),
            objective_at: Millis((caller.arrived + self.objective_ms).saturating_sub(self.age_ms)),
            whole_objective_ms: Millis(self.objective_ms),
            slow_from: Millis::MAX,
            deadline_at: Millis(caller.arrived + 2_000),
        }
    }
}

/// Asserts that no kind is served by more than five percentage points less than a less
/// urgent one in any two seconds. The last window is left out, since its calls are still
/// open.
fn assert_ordered(fleet: &Fleet<'_>) {
    for window in 0..fleet.windows.len() - 1 {
        for kind in 1..fleet.kinds.len() {
            let (urgent, other) = (fleet.served(window, kind - 1), fleet.served(window, kind));
            assert!(
                urgent + 0.05 >= other,
                "window {window}: {urgent:.3} of kind {} and {other:.3} of kind {kind}",
                kind - 1
            );
        }
    }
}

fn three_kinds() -> [Kind; 3] {
    let orders = Kind {
        interval_ms: 16,
        ..READS
    };
    let reads = Kind {
        interval_ms: 12,
        ..READS
    };
    [orders, reads, REPORTS]
}

fn started(fleet: &Fleet<'_>) -> u32 {
    let windows = fleet.windows.iter().flatten();
    windows.map(|(_, started)| started).sum()
}

/// Guards against slots that go to calls of a lower priority, because these try again for
/// longer and are queued, while those of a higher priority are refused.
#[test]
fn no_kind_of_call_is_served_less_than_a_less_urgent_one() {
    let kinds = [READS, REPORTS];
    let fleet = Fleet::new(&kinds, true).run(None);
    assert_ordered(&fleet);
    // Twenty slots run 2,500 calls, and each run is followed by an empty slot for a quarter of
    // its time at most.
    assert!(started(&fleet) >= 2_000, "{} runs", started(&fleet));
}

/// Guards against an order that holds with two priorities or an intact service only.
#[test]
fn the_order_holds_with_three_priorities_and_after_a_target_is_lost() {
    let kinds = three_kinds();
    assert_ordered(&Fleet::new(&kinds, true).run(None));
    assert_ordered(&Fleet::new(&kinds, true).run(Some(5_000)));
}

/// Guards against slots that stay empty for longer than a quarter of a run, because calls
/// of a higher priority are rejected again and again.
#[test]
fn a_slot_is_held_for_a_quarter_of_a_run_at_most() {
    let kinds = three_kinds();
    let fleet = Fleet::new(&kinds, true).run(None);
    for gate in &fleet.gates {
        assert!(
            gate.longest_free_ms <= RUN_MS / 4,
            "{}",
            gate.longest_free_ms
        );
    }
}

/// Guards against starvation of other calls by a stream of urgent ones that all miss their
/// objective already.
#[test]
fn hopeless_urgent_calls_hold_no_slots() {
    let hopeless = Kind {
        interval_ms: 2,
        age_ms: 200,
        ..READS
    };
    let kinds = [hopeless, REPORTS];
    let held = Fleet::new(&kinds, true).run(None);
    let free = Fleet::new(&kinds, false).run(None);
    for window in 0..held.windows.len() {
        assert_eq!(held.windows[window], free.windows[window]);
    }
    assert!(held.served(1, 1) > 0.0);
}

/// Guards against a gate that holds slots although the part is not in force.
#[test]
fn slots_are_held_only_where_priority_is_in_force() {
    let urgent = GateCall {
        priority: 0,
        ..call(0, 2_000)
    };
    for holds in [false, true] {
        let mut admission = gate(1);
        admission.set_holds_for_priority(holds);
        read(&mut admission, 100, 0);
        let running = admission.enqueue(&urgent, Millis(0));
        admission.start(running);
        let rejected = admission.enqueue(&urgent, Millis(0));
        let verdict = admission.decide(rejected, &urgent, Millis(0));
        assert_eq!(verdict, Verdict::Refuse(Refused::Busy));
        admission.dequeue(rejected);
        admission.finish();
        let position = admission.enqueue(&call(0, 2_000), Millis(1));
        let verdict = admission.decide(position, &call(0, 2_000), Millis(1));
        let expected = match holds {
            true => Verdict::Refuse(Refused::Busy),
            false => Verdict::Start,
        };
        assert_eq!(verdict, expected);
        // A call that may be queued gets the slot once it is no longer held, after 25 ms.
        admission.dequeue(position);
        let patient = call(100, 2_000);
        let position = admission.enqueue(&patient, Millis(1));
        if holds {
            let verdict = admission.decide(position, &patient, Millis(1));
            assert_eq!(verdict, Verdict::Wait(Millis(25)));
        }
        read(&mut admission, 100, 25);
        let verdict = admission.decide(position, &patient, Millis(25));
        assert_eq!(verdict, Verdict::Start);
    }
}

/// Guards against slots that stay empty because they are left free for short work, while
/// long calls of a higher priority are rejected for lack of another slot.
#[test]
fn slots_left_free_for_short_work_are_not_held() {
    let (mut admission, upload, short_call) = gate_with_uploads_and_short_calls();
    admission.set_holds_for_priority(true);
    run_short_calls(&mut admission, &short_call, 75);
    let urgent = GateCall {
        priority: 0,
        queue_until: Millis(0),
        ..upload
    };
    for _ in 0..9 {
        let position = admission.enqueue(&urgent, Millis(0));
        admission.start(position);
    }
    let position = admission.enqueue(&urgent, Millis(0));
    let verdict = admission.decide(position, &urgent, Millis(0));
    assert_eq!(verdict, Verdict::Refuse(Refused::Busy));
    admission.dequeue(position);
    run_short_calls(&mut admission, &short_call, 1);
}

//! More calls than a target can run, each of which asks again until it gives up.

use super::*;

/// One run.
const RUN_MS: u64 = 100;
const SLOTS: u32 = 10;
/// A call each 6 ms is five thirds of what ten slots run in 100 ms each.
const ARRIVAL_INTERVAL_MS: u64 = 6;
const OBJECTIVE_MS: u64 = 300;
/// Entries ask a gate again after about this long ...
const RETRY_INTERVAL_MS: u64 = 12;
/// ... until the objective is out of reach; then the call is refused ...
const GIVE_UP_AFTER_MS: u64 = 160;
/// ... and its caller comes back once.
const COME_BACK_AFTER_MS: u64 = 150;
const LAST_ARRIVAL_MS: u64 = 10_000;

/// One caller with the request that it has open.
struct Caller {
    first_arrived: u64,
    arrived: u64,
    next_attempt_at: u64,
}

#[derive(Default)]
struct Outcome {
    in_time: u32,
    late: u32,
    refused_twice: u32,
}

struct Overload {
    admission: Admission,
    caller: Vec<Caller>,
    run_ends: Vec<u64>,
    outcome: Outcome,
}

impl Overload {
    fn arrive(&mut self, now: u64) {
        self.caller.push(Caller {
            first_arrived: now,
            arrived: now,
            next_attempt_at: now,
        });
    }

    fn end_runs(&mut self, now: u64) {
        while let Some(position) = self.run_ends.iter().position(|end| *end <= now) {
            self.run_ends.swap_remove(position);
            self.admission.finish();
        }
    }

    /// Lets one caller ask; whether it still has to ask again.
    fn attempt(&mut self, caller: &mut Caller, now: u64) -> bool {
        if now < caller.next_attempt_at {
            return true;
        }
        caller.next_attempt_at = now + RETRY_INTERVAL_MS;
        let call = call_of(caller.first_arrived, now);
        let position = self.admission.enqueue(&call, Millis(now));
        let verdict = self.admission.decide(position, &call, Millis(now));
        if verdict != Verdict::Start {
            self.admission.dequeue(position);
            return true;
        }
        self.admission.start(position);
        self.run_ends.push(now + RUN_MS);
        match now + RUN_MS <= caller.first_arrived + OBJECTIVE_MS {
            true => self.outcome.in_time += 1,
            false => self.outcome.late += 1,
        }
        false
    }

    /// Every caller that is due asks; those that have asked for too long are refused.
    fn step(&mut self, now: u64) {
        self.end_runs(now);
        read(&mut self.admission, 100, now);
        for mut caller in std::mem::take(&mut self.caller) {
            if now >= caller.arrived + GIVE_UP_AFTER_MS {
                let is_first = caller.arrived == caller.first_arrived;
                if is_first {
                    // It stays away, and is a new request from then on.
                    caller.arrived = now + COME_BACK_AFTER_MS;
                    caller.next_attempt_at = caller.arrived;
                    self.caller.push(caller);
                } else {
                    self.outcome.refused_twice += 1;
                }
                continue;
            }
            if self.attempt(&mut caller, now) {
                self.caller.push(caller);
            }
        }
    }
}

fn call_of(first_arrived: u64, now: u64) -> GateCall {
    GateCall {
        priority: 1,
        work_ms: Millis(RUN_MS),
        queue_until: Millis(now),
        objective_at: Millis(first_arrived + OBJECTIVE_MS),
        whole_objective_ms: Millis(OBJECTIVE_MS),
        slow_from: Millis(now + 1_000),
        deadline_at: Millis(first_arrived + 1_200),
    }
}

fn simulate() -> Outcome {
    let mut overload = Overload {
        admission: gate(SLOTS),
        caller: Vec::new(),
        run_ends: Vec::new(),
        outcome: Outcome::default(),
    };
    for now in 0..LAST_ARRIVAL_MS {
        if now % ARRIVAL_INTERVAL_MS == 0 {
            overload.arrive(now);
        }
        overload.step(now);
    }
    overload.outcome
}

/// A crowd comes and stays: five calls for three that the target can run. Each asks
/// again every few milliseconds, is refused when its objective is out of reach, and
/// comes back once. Given to whoever asks next, slots go to callers who are back and
/// late already, and newcomers become late behind them. Ten slots run 1,000 calls in
/// ten seconds; nearly all of them have to be in time.
#[test]
fn in_an_overload_slots_go_to_calls_that_can_be_in_time() {
    let outcome = simulate();
    let runs = outcome.in_time + outcome.late;
    assert!(runs >= 950, "{runs} runs of 1,000 possible");
    assert!(
        outcome.in_time * 100 >= runs * 90,
        "{} in time, {} late, {} refused twice",
        outcome.in_time,
        outcome.late,
        outcome.refused_twice
    );
}

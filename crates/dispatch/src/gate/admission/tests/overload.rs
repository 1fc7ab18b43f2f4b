//! An overload: more calls than a target can run, each of which is retried until its
//! caller gives up.

use super::*;

/// Duration of each run.
const RUN_MS: u64 = 100;
const SLOTS: u32 = 10;
/// Interval between new calls. A call every 6 ms is five thirds of what ten slots run in
/// 100 ms each.
const ARRIVAL_INTERVAL_MS: u64 = 6;
const OBJECTIVE_MS: u64 = 300;
/// Interval at which entries retry a call at a gate.
const RETRY_INTERVAL_MS: u64 = 12;
/// Time after which a call is refused, because its objective is out of reach.
const GIVE_UP_AFTER_MS: u64 = 160;
/// Time after which a refused caller retries, once.
const COME_BACK_AFTER_MS: u64 = 150;
const LAST_ARRIVAL_MS: u64 = 10_000;

/// A caller with its open request.
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
    callers: Vec<Caller>,
    run_ends: Vec<u64>,
    outcome: Outcome,
}

impl Overload {
    fn arrive(&mut self, now: u64) {
        self.callers.push(Caller {
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

    /// Tries to start a caller's request if it is due; returns whether it must be
    /// retried.
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

    /// Retries every request that is due, and refuses those that have been tried for too
    /// long.
    fn step(&mut self, now: u64) {
        self.end_runs(now);
        read(&mut self.admission, 100, now);
        for mut caller in std::mem::take(&mut self.callers) {
            if now >= caller.arrived + GIVE_UP_AFTER_MS {
                let is_first = caller.arrived == caller.first_arrived;
                if is_first {
                    // The caller waits and then sends a new request.
                    caller.arrived = now + COME_BACK_AFTER_MS;
                    caller.next_attempt_at = caller.arrived;
                    self.callers.push(caller);
                } else {
                    self.outcome.refused_twice += 1;
                }
                continue;
            }
            if self.attempt(&mut caller, now) {
                self.callers.push(caller);
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
        callers: Vec::new(),
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

/// Guards against an overload in which most runs are late. There are five calls for every
/// three that the target can run. Each is retried every few milliseconds, is refused when
/// its objective is out of reach, and is sent once more. If slots went to any call that
/// asks next, they would go to callers that have returned and are late already, and new
/// callers would become late behind them. Ten slots run 1,000 calls in ten seconds;
/// nearly all of them must be in time.
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

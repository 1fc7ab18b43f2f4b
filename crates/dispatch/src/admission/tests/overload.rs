//! More calls than a target can run, each of which asks again until it gives up.

use super::*;

/// One run.
const RUN_MS: u64 = 100;
const SLOTS: u32 = 10;
/// A call each 6 ms is five thirds of what ten slots run in 100 ms each.
const ARRIVE_EVERY_MS: u64 = 6;
const OBJECTIVE_MS: u64 = 300;
/// Entries ask a gate again after about this long ...
const ASK_EVERY_MS: u64 = 12;
/// ... until the objective is out of reach; then the call is refused ...
const ASK_FOR_MS: u64 = 160;
/// ... and its caller comes back once.
const COME_BACK_AFTER_MS: u64 = 150;
const LAST_ARRIVAL_MS: u64 = 10_000;

/// One caller with the request that it has open.
struct Asking {
    first_arrived: u64,
    arrived: u64,
    next_ask: u64,
}

#[derive(Default)]
struct Outcome {
    in_time: u32,
    late: u32,
    refused_twice: u32,
}

struct Overload {
    admission: Admission,
    asking: Vec<Asking>,
    ends: Vec<u64>,
    outcome: Outcome,
}

impl Overload {
    fn arrive(&mut self, now: u64) {
        self.asking.push(Asking {
            first_arrived: now,
            arrived: now,
            next_ask: now,
        });
    }

    fn end_runs(&mut self, now: u64) {
        while let Some(place) = self.ends.iter().position(|end| *end <= now) {
            self.ends.swap_remove(place);
            self.admission.finish();
        }
    }

    /// Lets one caller ask; whether it still has to ask again.
    fn ask(&mut self, asking: &mut Asking, now: u64) -> bool {
        if now < asking.next_ask {
            return true;
        }
        asking.next_ask = now + ASK_EVERY_MS;
        let call = call_of(asking.first_arrived, now);
        let place = self.admission.enqueue(&call, Millis(now));
        let verdict = self.admission.decide(place, &call, Millis(now));
        if verdict != Verdict::Start {
            self.admission.dequeue(place);
            return true;
        }
        self.admission.start(place);
        self.ends.push(now + RUN_MS);
        match now + RUN_MS <= asking.first_arrived + OBJECTIVE_MS {
            true => self.outcome.in_time += 1,
            false => self.outcome.late += 1,
        }
        false
    }

    /// Every caller that is due asks; those that have asked for too long are refused.
    fn step(&mut self, now: u64) {
        self.end_runs(now);
        read(&mut self.admission, 100, now);
        for mut asking in std::mem::take(&mut self.asking) {
            if now >= asking.arrived + ASK_FOR_MS {
                let is_first = asking.arrived == asking.first_arrived;
                if is_first {
                    // It stays away, and is a new request from then on.
                    asking.arrived = now + COME_BACK_AFTER_MS;
                    asking.next_ask = asking.arrived;
                    self.asking.push(asking);
                } else {
                    self.outcome.refused_twice += 1;
                }
                continue;
            }
            if self.ask(&mut asking, now) {
                self.asking.push(asking);
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

fn play() -> Outcome {
    let mut overload = Overload {
        admission: gate(SLOTS),
        asking: Vec::new(),
        ends: Vec::new(),
        outcome: Outcome::default(),
    };
    for now in 0..LAST_ARRIVAL_MS {
        if now % ARRIVE_EVERY_MS == 0 {
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
    let outcome = play();
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

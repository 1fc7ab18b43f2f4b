//! Properties of admission control for any calls in any order, in virtual time.

use proptest::prelude::*;

use super::super::*;

#[derive(Clone, Debug)]
struct Arrival {
    after_ms: u64,
    call: GateCall,
}

/// Longest time that a call may wait, in milliseconds.
const MAX_QUEUE_MS: u64 = 1_500;

/// Generates bursts and lulls of calls. Entries send plausible times, but a gate must
/// cope with any.
fn arrival() -> impl Strategy<Value = Arrival> {
    let after_ms = prop_oneof![3 => Just(0_u64), 1 => 0_u64..40];
    let queue_ms = 0..=MAX_QUEUE_MS;
    (
        after_ms,
        0_u8..3,
        1_u64..300,
        queue_ms,
        50_u64..1_500,
        0_u64..100,
    )
        .prop_map(
            |(after_ms, priority, work_ms, queue_ms, deadline_ms, slow_percent)| Arrival {
                after_ms,
                // These are durations; `at` turns them into times when the call arrives.
                call: GateCall {
                    priority,
                    work_ms: Millis(work_ms),
                    queue_until: Millis(queue_ms),
                    objective_at: Millis(deadline_ms / 2),
                    whole_objective_ms: Millis(deadline_ms / 2),
                    slow_from: Millis(deadline_ms * slow_percent / 100),
                    deadline_at: Millis(deadline_ms),
                },
            },
        )
}

fn at(call: &GateCall, now: Millis) -> GateCall {
    GateCall {
        queue_until: now + call.queue_until,
        objective_at: now + call.objective_at,
        slow_from: now + call.slow_from,
        deadline_at: now + call.deadline_at,
        ..*call
    }
}

/// Duration of a spell in milliseconds.
const SPELL_MS: u64 = 60;

/// A gate and its target, whose speed changes with the load of other VMs on the host.
struct Simulation {
    admission: Admission,
    now: Millis,
    /// Slowness of the target in each [`SPELL_MS`], repeated endlessly.
    spells: Vec<u32>,
    queue: Vec<(QueuePosition, GateCall)>,
    /// End of each run.
    run_ends: Vec<Millis>,
    started: usize,
    refused: usize,
}

impl Simulation {
    fn slowness_percent(&self) -> u32 {
        let spell = (self.now.0 / SPELL_MS) as usize;
        self.spells[spell % self.spells.len()]
    }

    /// Decides about every queued call until nothing changes.
    fn settle(&mut self, slots: u32) {
        let mut is_changed = true;
        while is_changed {
            is_changed = false;
            for index in 0..self.queue.len() {
                let (position, call) = self.queue[index];
                match self.admission.decide(position, &call, self.now) {
                    Verdict::Start => {
                        self.admission.start(position);
                        assert!(self.admission.in_flight() <= slots, "more runs than slots");
                        assert!(self.now < call.deadline_at, "started after its deadline");
                        let run_ms = call.work_ms.0 * u64::from(self.slowness_percent()) / 100;
                        self.run_ends.push(self.now + Millis(run_ms.max(1)));
                        self.started += 1;
                    }
                    Verdict::Refuse(_) => {
                        self.admission.dequeue(position);
                        self.refused += 1;
                    }
                    Verdict::ReadSpeed => {
                        self.admission.note_speed(SpeedReading {
                            slowness_percent: self.slowness_percent(),
                            read_at: self.now,
                        });
                        is_changed = true;
                        break;
                    }
                    Verdict::Wait(_) => continue,
                }
                self.queue.remove(index);
                is_changed = true;
                break;
            }
        }
    }

    fn tick(&mut self, slots: u32) {
        self.now = self.now + Millis(1);
        let now = self.now;
        let before = self.run_ends.len();
        self.run_ends.retain(|ends_at| *ends_at > now);
        for _ in self.run_ends.len()..before {
            self.admission.finish();
        }
        self.settle(slots);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Under any load and any spells of the target, there are no more runs than slots, no
    /// call starts after its deadline, and every call starts or is refused by the time
    /// until which it may wait. No call stays queued for ever.
    #[test]
    fn every_call_starts_or_is_refused(
        arrivals in prop_oneof![
            proptest::collection::vec(arrival(), 1..4),
            proptest::collection::vec(arrival(), 1..60),
        ],
        spells in proptest::collection::vec(80_u32..700, 1..8),
        slots in 1_u32..16,
    ) {
        let mut simulation = Simulation {
            admission: Admission::new(Millis::ZERO),
            now: Millis(1_000),
            spells,
            queue: Vec::new(),
            run_ends: Vec::new(),
            started: 0,
            refused: 0,
        };
        simulation.admission.set_slots(slots);
        for arrival in &arrivals {
            for _ in 0..arrival.after_ms {
                simulation.tick(slots);
            }
            let call = at(&arrival.call, simulation.now);
            let position = simulation.admission.enqueue(&call, simulation.now);
            simulation.queue.push((position, call));
            simulation.settle(slots);
        }
        for _ in 0..=MAX_QUEUE_MS {
            simulation.tick(slots);
        }
        prop_assert_eq!(simulation.queue.len(), 0, "still queued");
        prop_assert_eq!(simulation.admission.queued(), 0);
        prop_assert_eq!(simulation.started + simulation.refused, arrivals.len());
    }
}

//! The gates of the fleet: admission, runs and reports.

use super::*;
use crate::gate::admission::{Admission, GateCall, QueuePosition, SpeedReading, Verdict};
use crate::gate::room::RoomMeter;

pub(super) struct Gate {
    pub(super) member: Arc<Member>,
    pub(super) admission: Admission,
    pub(super) meter: RoomMeter,
    pub(super) slowness_percent: u32,
    pub(super) waiting: Vec<Waiting>,
    pub(super) running: Vec<(usize, f64)>,
    pub(super) is_listed: bool,
    pub(super) reported_at: Vec<Option<u64>>,
}

pub(super) struct Waiting {
    pub(super) call: usize,
    pub(super) position: QueuePosition,
    pub(super) terms: GateCall,
}

impl Fleet {
    pub(super) fn enqueue(&mut self, gate: usize, call: usize, queue_until: u64) {
        let arrived = self.calls[call].arrived;
        let terms = GateCall {
            priority: self.calls[call].class.index() as u8,
            work_ms: Millis(self.expected_ms),
            queue_until: Millis(queue_until),
            objective_at: Millis(arrived + OBJECTIVE_MS),
            whole_objective_ms: Millis(OBJECTIVE_MS),
            slow_from: Millis(arrived + DEADLINE_MS - 5 * WORK_MS),
            deadline_at: Millis(arrived + DEADLINE_MS),
        };
        let gate = &mut self.gates[gate];
        let position = gate.admission.enqueue(&terms, Millis(self.now));
        gate.waiting.push(Waiting {
            call,
            position,
            terms,
        });
    }

    pub(super) fn step_gates(&mut self) {
        let now = Millis(self.now);
        for number in 0..self.gates.len() {
            if self.settings.is_noisy && self.now.is_multiple_of(SPEED_STEP_MS) {
                let is_slow = self.rng.random_range(0..4) == 0;
                self.gates[number].slowness_percent = if is_slow { 500 } else { 100 };
            }
            let gate = &mut self.gates[number];
            gate.admission.note_speed(SpeedReading {
                slowness_percent: gate.slowness_percent,
                read_at: now,
            });
            self.end_runs(number);
            self.decide(number);
        }
    }

    fn end_runs(&mut self, number: usize) {
        let now = Millis(self.now);
        let mut answered = Vec::new();
        let gate = &mut self.gates[number];
        let progress_ms = 100.0 / f64::from(gate.slowness_percent);
        for (call, left_ms) in &mut gate.running {
            *left_ms -= progress_ms;
            if *left_ms <= 0.0 {
                answered.push(*call);
            }
        }
        gate.running.retain(|(_, left_ms)| *left_ms > 0.0);
        for call in answered {
            let gate = &mut self.gates[number];
            gate.admission.finish();
            let (running, limit) = (gate.admission.in_flight(), gate.admission.limit());
            gate.meter.note_running(running, limit, now);
            let ran_ms = now.since(Millis(self.calls[call].started));
            gate.meter.note_run(Millis(self.expected_ms), ran_ms, now);
            let latency_ms = self.latency_ms(self.calls[call].entry, number);
            self.send(latency_ms, Message::Answered(call));
        }
    }

    fn decide(&mut self, number: usize) {
        let now = Millis(self.now);
        let mut waiting = std::mem::take(&mut self.gates[number].waiting);
        waiting.sort_by_key(|waiting| waiting.position);
        for one in waiting {
            let gate = &mut self.gates[number];
            let verdict = gate.admission.decide(one.position, &one.terms, now);
            if let Some(lack) = gate.admission.lack_of(verdict, now) {
                gate.meter.note_refused(lack, now);
            }
            match verdict {
                Verdict::Start => {
                    gate.admission.start(one.position);
                    let (running, limit) = (gate.admission.in_flight(), gate.admission.limit());
                    gate.meter.note_started(running, limit, now);
                    gate.running.push((one.call, self.calls[one.call].work_ms));
                    self.calls[one.call].started = self.now;
                    self.report_load(number, one.call);
                }
                Verdict::Wait(_) | Verdict::ReadSpeed => gate.waiting.push(one),
                Verdict::Refuse(_) => {
                    gate.admission.dequeue(one.position);
                    self.report_load(number, one.call);
                    let latency_ms = self.latency_ms(self.calls[one.call].entry, number);
                    self.send(latency_ms, Message::Refused(one.call));
                }
            }
        }
    }

    fn report_load(&mut self, number: usize, call: usize) {
        let entry = self.calls[call].entry;
        let now = Millis(self.now);
        let gate = &mut self.gates[number];
        if gate.reported_at[entry].is_some_and(|at| self.now - at < LOAD_INTERVAL_MS) {
            return;
        }
        gate.reported_at[entry] = Some(self.now);
        let bounds = gate.admission.bounds(now);
        let Some(load) = gate.meter.load(&bounds, now) else {
            return;
        };
        if self.is_lost() {
            return;
        }
        let late_ms = match self.settings.fault {
            Fault::LateReports(late_ms) => late_ms,
            _ => 0,
        };
        let latency_ms = self.latency_ms(entry, number) + late_ms;
        self.send(latency_ms, Message::Load(entry, number, load));
    }
}

pub(super) fn gate(number: usize, settings: &Settings) -> Gate {
    let mut admission = Admission::new(Millis::ZERO);
    admission.set_slots(SLOTS);
    let member = Member {
        id: TargetId::new(&format!("i-{number:02}")),
        service: ServiceName::new("s"),
        address: format!("10.0.0.1:{number}").parse().expect("an address"),
        data_centre: DataCentre::new(&format!("dc-{}", number % settings.data_centres)),
        slots: SLOTS,
        draining: false,
        listing_order: Revision::new(0, 1),
        started_at_ms: None,
    };
    Gate {
        member: Arc::new(member),
        admission,
        meter: RoomMeter::new(Millis::ZERO),
        slowness_percent: 100,
        waiting: Vec::new(),
        running: Vec::new(),
        is_listed: true,
        reported_at: vec![None; settings.entries],
    }
}

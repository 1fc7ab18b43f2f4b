//! A small fleet in virtual time: entries with their levels, gates with their admission and
//! meter, and links with a latency.

mod gates;

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::rngs::Xoshiro256PlusPlus;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

use super::super::*;
use crate::gate::room::RoomMeter;
use crate::placement::order::{Candidate, by_free_capacity};
use gates::{Gate, gate};

pub const WORK_MS: u64 = 86;
pub const OBJECTIVE_MS: u64 = 250;
const DEADLINE_MS: u64 = 1_200;
/// Time from which a call is refused if all targets are busy.
const BUSY_MS: u64 = 109;
const ROUND_PAUSE_MS: u64 = 12;
const MAX_GATES: usize = 3;
const NEAR_MS: u64 = 1;
const FAR_MS: u64 = 3;
/// Length of a step of a target's speed.
const SPEED_STEP_MS: u64 = 150;
/// Interval between two reports of one gate to one entry.
const LOAD_INTERVAL_MS: u64 = 20;
const SLOTS: u32 = 8;

/// What a test does to the messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// This part of the reports in both directions is lost, in percent.
    LostReports(u32),
    /// Reports of gates take this much longer.
    LateReports(u64),
    /// Nothing passes between this entry and other VMs from this time on.
    CutOffEntry(usize, u64),
    /// Nothing passes between data centres.
    CutDataCentres,
}

/// The fleet and its load.
pub struct Settings {
    pub gates: usize,
    pub entries: usize,
    pub data_centres: usize,
    /// Whether a quarter of the steps of the targets' speed are five times slower.
    pub is_noisy: bool,
    pub fault: Fault,
    /// Number of times that a refused caller retries.
    pub retries: u32,
    /// Part of the calls that enter in the first data centre, in percent.
    pub first_data_centre_percent: usize,
    /// Seed of the random numbers.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            gates: 12,
            entries: 12,
            data_centres: 2,
            is_noisy: false,
            fault: Fault::None,
            retries: 0,
            first_data_centre_percent: 50,
            seed: 7,
        }
    }
}

/// What became of the calls of one class that first entered in one interval.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub arrived: u32,
    /// Answered within the objective.
    pub in_time: u32,
    /// Answered before the deadline.
    pub answered: u32,
    /// Refused by the level.
    pub by_level: u32,
    /// Refused after attempts.
    pub no_room: u32,
    pub attempts: u32,
}

struct Call {
    entry: usize,
    class: LoadClass,
    arrived: u64,
    work_ms: f64,
    retries: u32,
    /// Gates of the current round that were not tried yet; the last one is tried next.
    order: Vec<usize>,
    is_limited: bool,
    started: u64,
}

enum Message {
    Enter(usize),
    NextAttempt(usize),
    ToGate(usize, usize, u64),
    Demand(usize, DemandReport),
    Load(usize, usize, GateLoad),
    Refused(usize),
    Answered(usize),
}

pub struct Fleet {
    pub now: u64,
    /// Run time that entries expect.
    pub expected_ms: u64,
    settings: Settings,
    service: ServiceName,
    gates: Vec<Gate>,
    pub entries: Vec<ServiceLevels>,
    calls: Vec<Call>,
    messages: BTreeMap<(u64, u64), Message>,
    last_message: u64,
    credit: [f64; LOAD_CLASSES],
    pub rng: Xoshiro256PlusPlus,
    /// Outcomes by class since the last call of [`Fleet::run`].
    counts: [Counts; LOAD_CLASSES],
}

impl Fleet {
    pub fn new(settings: Settings) -> Self {
        let mut gates = Vec::new();
        for number in 0..settings.gates {
            gates.push(gate(number, &settings));
        }
        Self {
            now: 0,
            expected_ms: WORK_MS,
            service: ServiceName::new("s"),
            gates,
            entries: (0..settings.entries)
                .map(|_| ServiceLevels::default())
                .collect(),
            calls: Vec::new(),
            messages: BTreeMap::new(),
            last_message: 0,
            credit: [0.0; LOAD_CLASSES],
            rng: Xoshiro256PlusPlus::seed_from_u64(settings.seed),
            counts: [Counts::default(); LOAD_CLASSES],
            settings,
        }
    }

    /// Runs for some time while work of this many times the slots is offered, by class, and
    /// returns the counts by class.
    pub fn run(&mut self, for_ms: u64, loads: [f64; LOAD_CLASSES]) -> [Counts; LOAD_CLASSES] {
        self.counts = [Counts::default(); LOAD_CLASSES];
        let until = self.now + for_ms;
        while self.now < until {
            self.arrive(loads);
            self.deliver();
            self.step_gates();
            self.now += 1;
        }
        self.counts
    }

    /// Restarts a gate: its meter knows nothing, and its calls are lost.
    pub fn restart_gate(&mut self, number: usize) {
        let mut restarted = gate(number, &self.settings);
        restarted.meter = RoomMeter::new(Millis(self.now));
        self.gates[number] = restarted;
    }

    pub fn restart_entry(&mut self, number: usize) {
        self.entries[number] = ServiceLevels::default();
    }

    /// Delists a target, whose gate then gets no calls.
    pub fn delist(&mut self, number: usize) {
        self.gates[number].is_listed = false;
    }

    pub fn set_slowness(&mut self, number: usize, slowness_percent: u32) {
        self.gates[number].slowness_percent = slowness_percent;
    }

    pub fn level_at(&mut self, entry: usize) -> Option<Level> {
        let targets = self.gates.iter().filter(|gate| gate.is_listed).count();
        self.entries[entry].level(&self.service, targets, Millis(self.now))
    }

    fn arrive(&mut self, loads: [f64; LOAD_CLASSES]) {
        let slots = self.gates.len() as f64 * f64::from(SLOTS);
        for class in LoadClass::all() {
            let per_ms = loads[class.index()] * slots / WORK_MS as f64;
            // Exponential gaps, as of many independent callers.
            while self.credit[class.index()] < per_ms {
                let draw: f64 = self.rng.random();
                self.credit[class.index()] -= (1.0 - draw).ln();
                let entry = self.draw_entry();
                let call = Call {
                    entry,
                    class,
                    arrived: self.now,
                    work_ms: WORK_MS as f64 * self.rng.random_range(0.7..1.3),
                    retries: self.settings.retries,
                    order: Vec::new(),
                    is_limited: false,
                    started: 0,
                };
                self.calls.push(call);
                self.counts[class.index()].arrived += 1;
                self.enter(self.calls.len() - 1);
            }
            self.credit[class.index()] -= per_ms;
        }
    }

    fn draw_entry(&mut self) -> usize {
        let is_first = self.rng.random_range(0..100) < self.settings.first_data_centre_percent;
        let pair = self.rng.random_range(0..self.entries.len() / 2) * 2;
        pair + usize::from(!is_first)
    }

    fn enter(&mut self, call: usize) {
        let (entry, class) = (self.calls[call].entry, self.calls[call].class);
        let listed = self.gates.iter().filter(|gate| gate.is_listed);
        let available: Vec<Arc<Member>> = listed.map(|gate| Arc::clone(&gate.member)).collect();
        let now = Millis(self.now);
        let levels = &mut self.entries[entry];
        levels.note_targets(&self.service, &available);
        levels.note_arrival(&self.service, class, Millis(self.expected_ms), now);
        let level = levels.level(&self.service, available.len(), now);
        if let Some(level) = &level
            && class != LoadClass::NESTED
            && !levels.admits(&self.service, class, level)
        {
            self.counts[class.index()].by_level += 1;
            return self.come_back(call);
        }
        let is_overloaded = level.is_some_and(|level| level.is_overloaded());
        self.calls[call].is_limited = is_overloaded && class != LoadClass::NESTED;
        self.calls[call].order = self.order(call);
        self.attempt(call);
    }

    fn order(&mut self, call: usize) -> Vec<usize> {
        let entry = self.calls[call].entry;
        let own = format!("dc-{}", entry % self.settings.data_centres);
        let mut candidates: Vec<Candidate> = Vec::new();
        for gate in self.gates.iter().filter(|gate| gate.is_listed) {
            candidates.push(Candidate {
                is_near: gate.member.data_centre.as_str() == own,
                member: Arc::clone(&gate.member),
                is_avoided: false,
                is_demoted: false,
                throttle: None,
            });
        }
        // Unreachable targets are left out while any other remains.
        let number = |candidate: &Candidate| usize::from(candidate.member.address.port());
        candidates.retain(|candidate| !self.is_cut(entry, number(candidate)));
        candidates.shuffle(&mut self.rng);
        candidates.sort_by_key(|candidate| !candidate.is_near);
        if self.calls[call].is_limited {
            let levels = &self.entries[entry];
            let now = Millis(self.now);
            let free = |member: &Member| levels.free_centislots(member, now);
            candidates = by_free_capacity(candidates, MAX_GATES, free, &mut self.rng);
            candidates.truncate(MAX_GATES);
        }
        candidates.reverse();
        candidates.iter().map(number).collect()
    }

    fn attempt(&mut self, call: usize) {
        let Some(gate) = self.calls[call].order.pop() else {
            let is_over = self.now + ROUND_PAUSE_MS >= self.calls[call].arrived + BUSY_MS;
            if self.calls[call].is_limited || is_over {
                self.counts[self.calls[call].class.index()].no_room += 1;
                return self.come_back(call);
            }
            self.calls[call].order = self.order(call);
            return self.send(ROUND_PAUSE_MS, Message::NextAttempt(call));
        };
        self.counts[self.calls[call].class.index()].attempts += 1;
        let entry = self.calls[call].entry;
        let is_last = self.calls[call].is_limited && self.calls[call].order.is_empty();
        let queue_until = match is_last {
            true => (self.calls[call].arrived + BUSY_MS).max(self.now),
            false => 0,
        };
        let demand = self.entries[entry].take_demand(&self.service, Millis(self.now));
        let latency_ms = self.latency_ms(entry, gate);
        if let Some(demand) = demand
            && !self.is_lost()
        {
            self.send(latency_ms, Message::Demand(gate, demand));
        }
        self.send(latency_ms, Message::ToGate(gate, call, queue_until));
    }

    fn come_back(&mut self, call: usize) {
        let wait_ms = self.rng.random_range(60..260);
        let call_state = &mut self.calls[call];
        let is_too_late = self.now + wait_ms + WORK_MS > call_state.arrived + DEADLINE_MS;
        if call_state.retries == 0 || is_too_late {
            return;
        }
        call_state.retries -= 1;
        self.send(wait_ms, Message::Enter(call));
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Message::Enter(call) => self.enter(call),
                Message::NextAttempt(call) | Message::Refused(call) => self.attempt(call),
                Message::ToGate(gate, call, queue_until) => {
                    self.enqueue(gate, call, queue_until);
                }
                Message::Demand(gate, report) => {
                    self.gates[gate]
                        .meter
                        .note_demand(&report, Millis(self.now));
                }
                Message::Load(entry, gate, load) => {
                    let member = &self.gates[gate].member;
                    self.entries[entry].note_load(member, load, Millis(self.now));
                }
                Message::Answered(call) => self.count_answer(call),
            }
        }
    }

    fn count_answer(&mut self, call: usize) {
        let call = &self.calls[call];
        let took_ms = self.now - call.arrived;
        let counts = &mut self.counts[call.class.index()];
        counts.answered += u32::from(took_ms <= DEADLINE_MS);
        counts.in_time += u32::from(took_ms <= OBJECTIVE_MS);
    }

    fn is_lost(&mut self) -> bool {
        match self.settings.fault {
            Fault::LostReports(percent) => self.rng.random_range(0..100) < percent,
            _ => false,
        }
    }

    fn is_cut(&self, entry: usize, gate: usize) -> bool {
        match self.settings.fault {
            Fault::CutOffEntry(cut, from) => cut == entry && self.now >= from && gate != entry,
            Fault::CutDataCentres => !self.is_near(entry, gate),
            _ => false,
        }
    }

    fn is_near(&self, entry: usize, gate: usize) -> bool {
        entry % self.settings.data_centres == gate % self.settings.data_centres
    }

    fn latency_ms(&self, entry: usize, gate: usize) -> u64 {
        match self.is_near(entry, gate) {
            true => NEAR_MS,
            false => FAR_MS,
        }
    }

    fn send(&mut self, in_ms: u64, message: Message) {
        self.last_message += 1;
        let at = self.now + in_ms;
        self.messages.insert((at, self.last_message), message);
    }
}

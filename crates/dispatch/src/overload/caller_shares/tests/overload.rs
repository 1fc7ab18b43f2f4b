//! An overload in which some callers send each request three times at once.

use std::collections::VecDeque;

use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};

use super::*;

const END_MS: u64 = 60_000;
const FAILURE_AT_MS: u64 = 6_000;
/// Time after a start or a failure that is not judged: the first second of a sketch, and
/// the time in which the level settles.
const SETTLING_MS: u64 = 2_000;
/// Number of copies that a greedy caller sends of each request.
const COPIES: u64 = 3;

/// What identifies callers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Identity {
    /// Each of these callers sends five requests a second.
    Accounts(u64),
    /// Requests a second, each from another caller and with a content of its own.
    Content(u64),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    None,
    /// The entry loses its sketch.
    EntryRestarts,
    /// Half of the targets are lost.
    CapacityHalves,
    /// No gate reports for a second, so there is no admission level.
    ReportsStop,
    /// Callers of another entry that was lost arrive here.
    CallersMove,
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    identity: Identity,
    failure: Failure,
    /// Capacity, relative to the work of all callers that send each request once.
    capacity: f64,
    copies: u64,
}

/// The admission level of one class, from the work that has arrived in the last 500 ms.
#[derive(Default)]
struct LevelModel {
    arrivals: VecDeque<u64>,
    credit: f64,
}

impl LevelModel {
    fn note_arrival(&mut self, now: u64) {
        self.arrivals.push_back(now);
        while self.arrivals.front().is_some_and(|at| at + 500 < now) {
            self.arrivals.pop_front();
        }
    }

    /// Returns the admitted part of the calls.
    fn admitted(&self, capacity_per_s: f64) -> f64 {
        let offered_per_s = self.arrivals.len() as f64 * 2.0;
        (capacity_per_s / offered_per_s).min(1.0)
    }

    fn has_turn(&mut self, admitted: f64) -> bool {
        self.credit += admitted;
        let has_turn = self.credit >= 1.0;
        self.credit -= f64::from(u8::from(has_turn));
        has_turn
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    /// Requests of callers that send each once, and how many were admitted.
    others: u64,
    others_served: u64,
    turns: u64,
    admitted: u64,
    refused_by_share: u64,
}

impl Outcome {
    fn others_ratio(&self) -> f64 {
        self.others_served as f64 / self.others as f64
    }
}

struct Simulation {
    scenario: Scenario,
    shares: CallerShares,
    level: LevelModel,
    rng: Xoshiro256PlusPlus,
    /// Next request of each account.
    next_at: Vec<u64>,
    contents: u64,
    outcome: Outcome,
}

impl Simulation {
    fn run(scenario: Scenario) -> Outcome {
        let mut simulation = Self {
            scenario,
            shares: CallerShares::default(),
            level: LevelModel::default(),
            rng: Xoshiro256PlusPlus::seed_from_u64(1),
            next_at: Vec::new(),
            contents: 0,
            outcome: Outcome::default(),
        };
        for now in 0..END_MS {
            simulation.step(now);
        }
        simulation.outcome
    }

    fn has_failed(&self, failure: Failure, now: u64) -> bool {
        self.scenario.failure == failure && now >= FAILURE_AT_MS
    }

    fn step(&mut self, now: u64) {
        if self.has_failed(Failure::EntryRestarts, now) && now == FAILURE_AT_MS {
            self.shares = CallerShares::default();
            self.level = LevelModel::default();
        }
        match self.scenario.identity {
            Identity::Accounts(accounts) => self.step_accounts(accounts, now),
            Identity::Content(per_s) => self.step_contents(per_s, now),
        }
    }

    fn factor(&self, now: u64) -> u64 {
        1 + u64::from(self.has_failed(Failure::CallersMove, now))
    }

    fn step_accounts(&mut self, accounts: u64, now: u64) {
        let accounts = accounts * self.factor(now);
        while (self.next_at.len() as u64) < accounts {
            self.next_at.push(now + self.rng.random_range(0..200));
        }
        for account in 0..self.next_at.len() {
            if self.next_at[account] != now {
                continue;
            }
            self.next_at[account] = now + self.rng.random_range(100..301);
            let is_greedy = account % 10 < 3;
            let copies = if is_greedy { self.scenario.copies } else { 1 };
            for _ in 0..copies {
                self.arrive(CallerId(account as u64), is_greedy, now);
            }
        }
    }

    fn step_contents(&mut self, per_s: u64, now: u64) {
        if self.rng.random_range(0..1_000) >= per_s * self.factor(now) {
            return;
        }
        self.contents += 1;
        let is_greedy = self.rng.random_range(0..10) < 3;
        let copies = if is_greedy { self.scenario.copies } else { 1 };
        for copy in 0..copies {
            // Copies arrive within some milliseconds of each other.
            let key = RequestKey {
                fingerprint: self.contents,
                deadline_at: Millis(now + copy + 1_200),
            };
            let caller = self.shares.caller_by_content(key, Millis(now));
            self.arrive(caller, is_greedy, now);
        }
    }

    fn capacity_per_s(&self, now: u64) -> f64 {
        let offered = match self.scenario.identity {
            Identity::Accounts(accounts) => accounts * 5,
            Identity::Content(per_s) => per_s,
        };
        let halved = self.has_failed(Failure::CapacityHalves, now);
        offered as f64 * self.scenario.capacity / if halved { 2.0 } else { 1.0 }
    }

    fn arrive(&mut self, caller: CallerId, is_greedy: bool, now: u64) {
        self.level.note_arrival(now);
        let has_reports =
            !(self.has_failed(Failure::ReportsStop, now) && now < FAILURE_AT_MS + 1_000);
        let admitted = match has_reports {
            true => self.level.admitted(self.capacity_per_s(now)),
            false => 1.0,
        };
        let has_turn = self.level.has_turn(admitted);
        let service = ServiceName::new("books");
        let offer = Offer {
            caller,
            is_contended: admitted < 1.0,
            ..offer(&service, 0, has_turn)
        };
        let verdict = self.shares.decide(&offer, Millis(now));
        let settled_at = match now < FAILURE_AT_MS || self.scenario.failure == Failure::None {
            true => SETTLING_MS,
            false => FAILURE_AT_MS + SETTLING_MS,
        };
        if now >= settled_at {
            self.note(verdict, has_turn, is_greedy);
        }
    }

    fn note(&mut self, verdict: ShareVerdict, has_turn: bool, is_greedy: bool) {
        let is_admitted = u64::from(verdict == ShareVerdict::Admitted);
        let outcome = &mut self.outcome;
        outcome.turns += u64::from(has_turn);
        outcome.admitted += is_admitted;
        outcome.refused_by_share += u64::from(verdict == ShareVerdict::ExceedsShare);
        if !is_greedy {
            outcome.others += 1;
            outcome.others_served += is_admitted;
        }
    }
}

/// Asserts that the callers that send each request once keep what they get without the
/// copies of the others, and that no capacity is lost.
fn assert_others_keep_their_share(identity: Identity, failure: Failure, capacity: f64) {
    let alone = Scenario {
        identity,
        failure,
        capacity,
        copies: 1,
    };
    let repeated = Scenario {
        copies: COPIES,
        ..alone
    };
    let (without, with) = (Simulation::run(alone), Simulation::run(repeated));
    let kept = with.others_ratio() / without.others_ratio();
    let used = with.admitted as f64 / with.turns as f64;
    assert!(kept >= 0.95, "{repeated:?}: others keep {kept:.3}");
    assert!(used >= 0.95, "{repeated:?}: {used:.3} of the turns used");
}

/// Guards against callers that get three times as much as others by sending each request
/// three times at once.
#[test]
fn callers_that_repeat_take_nothing_from_others() {
    for capacity in [0.25, 0.5, 0.8] {
        for identity in [Identity::Accounts(40), Identity::Content(50)] {
            assert_others_keep_their_share(identity, Failure::None, capacity);
        }
    }
}

/// Guards against shares that are lost where there are more callers than counters: some 430
/// callers are seen in the time that is covered, and the sketch counts 64 of them.
#[test]
fn callers_that_repeat_take_nothing_from_others_where_callers_outnumber_counters() {
    for capacity in [0.25, 0.5, 0.8] {
        assert_others_keep_their_share(Identity::Content(300), Failure::None, capacity);
    }
}

/// Guards against shares that do not recover from a failure.
#[test]
fn callers_that_repeat_take_nothing_from_others_after_one_failure() {
    for failure in [
        Failure::EntryRestarts,
        Failure::CapacityHalves,
        Failure::ReportsStop,
        Failure::CallersMove,
    ] {
        for identity in [Identity::Accounts(40), Identity::Content(50)] {
            assert_others_keep_their_share(identity, failure, 0.6);
        }
    }
}

/// Guards against refusals by share among callers that all send the same. None of them
/// offers twice the share, as nine tenths of their calls are admitted.
#[test]
fn equal_callers_are_not_refused_by_share() {
    for identity in [Identity::Accounts(40), Identity::Content(50)] {
        let scenario = Scenario {
            identity,
            failure: Failure::None,
            capacity: 0.9,
            copies: 1,
        };
        let outcome = Simulation::run(scenario);
        assert_eq!(outcome.refused_by_share, 0, "{scenario:?}: {outcome:?}");
    }
}

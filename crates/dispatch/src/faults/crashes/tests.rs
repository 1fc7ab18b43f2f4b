//! Tests of requests that crash targets, in virtual time.

use std::net::SocketAddr;

use proptest::prelude::*;

use super::*;

const FINGERPRINT: u64 = 7;
/// Time after the third crash from which on retries are counted.
const STABLE_WINDOW_MS: Millis = Millis::from_secs(3);

fn target(number: u64) -> CrashId {
    CrashId {
        target: target_hash(&TargetId::new(&format!("t{number}"))),
        number,
    }
}

fn members(count: u64) -> Vec<Arc<Member>> {
    let mut members = Vec::new();
    for number in 0..count {
        members.push(Arc::new(Member {
            id: TargetId::new(&format!("t{number}")),
            service: ServiceName::new("s"),
            address: SocketAddr::from(([10, 0, 0, 1], 1_000 + number as u16)),
            data_centre: DataCentre::new("here"),
            slots: 4,
            draining: false,
            listing_order: Revision::new(0, 1),
            started_at_ms: None,
        }));
    }
    members
}

fn shared_run() -> CrashedRun {
    CrashedRun {
        fingerprint: FINGERPRINT,
        was_trial: false,
    }
}

fn send_all(from: &CrashHistory, to: &mut CrashHistory, now: Millis) {
    for notice in from.notices(now) {
        to.merge(&notice, now);
    }
}

/// Guards against echoes that restore a record after it has expired.
#[test]
fn an_expired_record_is_not_restored_by_a_younger_copy() {
    let mut one = CrashHistory::default();
    let mut other = CrashHistory::default();
    one.observe(&[shared_run()], target(1), Millis(0));
    // Five milliseconds on the network make the copy look younger by as much.
    let notice = one.notices(Millis(0)).remove(0);
    other.merge(&notice, Millis(5));
    let after = CRASH_LIFETIME_MS + Millis(1);
    assert_eq!(one.level(FINGERPRINT, after), CrashLevel::Clear);
    send_all(&other, &mut one, after);
    assert_eq!(one.level(FINGERPRINT, after), CrashLevel::Clear);
    assert!(one.notices(after).is_empty());
}

/// Guards against a flood of other requests that removes what is known of a request that
/// crashes targets.
#[test]
fn a_flood_of_suspects_displaces_no_refused_request() {
    let mut history = CrashHistory::default();
    let trial = CrashedRun {
        fingerprint: FINGERPRINT,
        was_trial: true,
    };
    for number in 0..MAX_TRIAL_CRASHES {
        history.observe(&[trial], target(number as u64), Millis(0));
    }
    for fingerprint in 100..100 + 2 * MAX_REQUESTS as u64 {
        let run = CrashedRun {
            fingerprint,
            was_trial: false,
        };
        history.observe(&[run], target(2), Millis(10));
    }
    let later = RETRIAL_PAUSE_MS + Millis(20);
    assert_eq!(history.level(FINGERPRINT, later), CrashLevel::Refused);
    assert!(history.by_request.len() <= MAX_REQUESTS);
}

/// Guards against unlimited trials of a request whose trials end without a result.
#[test]
fn trials_without_a_result_are_rare() {
    let mut history = CrashHistory::default();
    for number in 0..2 {
        history.observe(&[shared_run()], target(number), Millis(0));
    }
    let mut trials = 0;
    for now_ms in (0..30_000).step_by(10) {
        if history.begin_trial(FINGERPRINT, Millis(now_ms)).is_ok() {
            trials += 1;
            history.end_trial(FINGERPRINT, Millis(now_ms + 5));
        }
    }
    assert_eq!(trials, 4);
}

/// Guards against refusing a request for good because another one crashed the target of its
/// only trial.
#[test]
fn a_request_gets_a_second_trial_after_a_pause() {
    let mut history = CrashHistory::default();
    let trial = CrashedRun {
        was_trial: true,
        ..shared_run()
    };
    history.observe(&[shared_run()], target(0), Millis(0));
    history.observe(&[trial], target(1), Millis(10));
    let again_at = RETRIAL_PAUSE_MS + Millis(10);
    let just_before = Millis(again_at.0 - 1);
    assert_eq!(history.level(FINGERPRINT, just_before), CrashLevel::Refused);
    assert_eq!(history.refused_for_ms(FINGERPRINT, just_before), Millis(1));
    assert_eq!(history.level(FINGERPRINT, again_at), CrashLevel::Trial);
    history.observe(&[trial], target(2), again_at);
    let last = Millis(CRASH_LIFETIME_MS.0 - 1);
    assert_eq!(history.level(FINGERPRINT, last), CrashLevel::Refused);
}

/// Guards against a trial on a target that has crashed under the request while others are
/// left.
#[test]
fn a_trial_runs_on_a_target_that_has_not_crashed() {
    let members = members(3);
    for number in 0..3 {
        let mut history = CrashHistory::default();
        history.observe(&[shared_run()], target(number), Millis(0));
        history.observe(&[shared_run()], target((number + 1) % 3), Millis(0));
        let allowed = history.allowed_targets(FINGERPRINT, &members, Millis(1));
        let AllowedTargets::Only(chosen) = allowed else {
            panic!("a trial on one target, not {allowed:?}");
        };
        assert_eq!(target_hash(&chosen.id), target((number + 2) % 3).target);
    }
}

proptest! {
    /// Whatever order notices arrive in, and however often, nodes that received the same
    /// ones agree, and each crash counts once.
    #[test]
    fn merging_is_a_union(
        crashes in proptest::collection::vec((0_u64..8, any::<bool>(), 0_usize..3), 0..12),
        order in proptest::collection::vec((0_usize..3, 0_usize..3), 0..40),
    ) {
        let mut nodes = vec![CrashHistory::default(); 3];
        let mut ids = std::collections::BTreeSet::new();
        for (number, clears, node) in &crashes {
            if *clears {
                nodes[*node].clear_records(FINGERPRINT);
                continue;
            }
            nodes[*node].observe(&[shared_run()], target(*number), Millis(0));
            ids.insert(*number);
        }
        let mut exchange = |from: usize, to: usize| {
            let from = nodes[from].clone();
            send_all(&from, &mut nodes[to], Millis(1));
        };
        for (from, to) in order {
            exchange(from, to);
        }
        for _ in 0..2 {
            for (from, to) in [(0, 1), (1, 2), (2, 0), (2, 1), (1, 0), (0, 2)] {
                exchange(from, to);
            }
        }
        let count = nodes[0].count(FINGERPRINT, Millis(1));
        prop_assert!(count <= ids.len());
        for node in &nodes {
            prop_assert_eq!(node.count(FINGERPRINT, Millis(1)), count);
            prop_assert_eq!(node.by_request.get(&FINGERPRINT).map_or(0, |r| r.crashes.len()), ids.len());
        }
    }
}

/// A fleet in virtual time whose clients send one request that crashes each target.
struct CrashFleet {
    nodes: Vec<CrashHistory>,
    members: Vec<Arc<Member>>,
    /// Notices in transit: arrival, receiver, and what it receives.
    in_transit: Vec<(Millis, usize, CrashNotice)>,
    /// Until when each target is down.
    down_until: Vec<Millis>,
    /// Nodes between which no notices pass until this time, by the lower of their numbers.
    cut_until: Millis,
    latency_ms: u64,
    crashes: Vec<Millis>,
    next_number: u64,
}

impl CrashFleet {
    fn new(size: usize, latency_ms: u64) -> Self {
        Self {
            nodes: vec![CrashHistory::default(); size],
            members: members(size as u64),
            in_transit: Vec::new(),
            down_until: vec![Millis::ZERO; size],
            cut_until: Millis::ZERO,
            latency_ms,
            crashes: Vec::new(),
            next_number: 0,
        }
    }

    fn deliver(&mut self, now: Millis) {
        self.in_transit.sort_by_key(|(at, ..)| *at);
        while self.in_transit.first().is_some_and(|(at, ..)| *at <= now) {
            let (_, to, notice) = self.in_transit.remove(0);
            self.nodes[to].merge(&notice, now);
        }
    }

    fn broadcast(&mut self, from: usize, notice: &CrashNotice, now: Millis) {
        let half = self.nodes.len() / 2;
        for to in 0..self.nodes.len() {
            let is_cut = now < self.cut_until && (from < half) != (to < half);
            if to != from && !is_cut {
                let at = now + Millis(self.latency_ms);
                self.in_transit.push((at, to, notice.clone()));
            }
        }
    }

    /// Sends the request through a node, as an entry and a gate do.
    fn send(&mut self, entry: usize, draw: usize, now: Millis) {
        let allowed = self.nodes[entry].allowed_targets(FINGERPRINT, &self.members, now);
        let target = match allowed {
            AllowedTargets::None => return,
            AllowedTargets::Any => draw % self.members.len(),
            AllowedTargets::Only(chosen) => {
                let is_chosen = |member: &Arc<Member>| member.id == chosen.id;
                self.members.iter().position(is_chosen).expect("a member")
            }
        };
        let gate = &mut self.nodes[target];
        let was_trial = match gate.allowed_targets(FINGERPRINT, &self.members, now) {
            AllowedTargets::None => return,
            AllowedTargets::Any => false,
            AllowedTargets::Only(chosen) if chosen.id != self.members[target].id => return,
            AllowedTargets::Only(_) => true,
        };
        if now < self.down_until[target] {
            return;
        }
        if was_trial && gate.begin_trial(FINGERPRINT, now).is_err() {
            return;
        }
        self.down_until[target] = now + Millis::from_secs(4);
        self.crashes.push(now);
        self.next_number += 1;
        let run = CrashedRun {
            was_trial,
            ..shared_run()
        };
        let id = CrashId {
            number: 1_000 + self.next_number,
            ..super::tests::target(target as u64)
        };
        let notices = gate.observe(&[run], id, now);
        gate.end_trial(FINGERPRINT, now);
        for notice in notices {
            self.broadcast(target, &notice, now);
        }
    }

    /// Number of sends later than the window after the third crash.
    fn counted_retries(&self) -> usize {
        let Some(third) = self.crashes.get(2) else {
            return 0;
        };
        let counted_from = *third + STABLE_WINDOW_MS;
        self.crashes.iter().filter(|at| **at > counted_from).count()
    }
}

/// Guards against a request that goes on crashing targets although nodes know of three
/// crashes, for any number of clients that send it at once, while nodes restart.
#[test]
fn a_request_that_crashes_targets_is_sent_at_most_three_times_more() {
    for clients in [1, 3, 8] {
        for restarted in [0, 1, 6] {
            let mut fleet = CrashFleet::new(16, 20);
            for round in 0..20_u64 {
                let now = Millis(round * 2_500);
                fleet.deliver(now);
                if round == 6 {
                    // Restarted processes know nothing until a link brings them what
                    // others know.
                    for node in 0..restarted {
                        fleet.nodes[node] = CrashHistory::default();
                    }
                    if restarted < 16 {
                        let teacher = fleet.nodes[15].clone();
                        for node in 0..restarted {
                            send_all(&teacher, &mut fleet.nodes[node], now);
                        }
                    }
                }
                for client in 0..clients {
                    let entry = (round as usize * 5 + client * 3) % 16;
                    fleet.send(entry, round as usize * 7 + client, now);
                }
            }
            let retries = fleet.counted_retries();
            assert!(
                retries <= 3,
                "{clients} clients, {restarted} restarted: {retries} retries, {:?}",
                fleet.crashes
            );
        }
    }
}

/// Guards against learning anew at the cost of more targets than are allowed, after all
/// processes have restarted and none knows of any crash.
#[test]
fn a_fleet_that_has_forgotten_everything_loses_at_most_three_more_targets() {
    let mut fleet = CrashFleet::new(16, 20);
    for round in 0..20_u64 {
        let now = Millis(round * 2_500);
        fleet.deliver(now);
        if round == 8 {
            for node in &mut fleet.nodes {
                *node = CrashHistory::default();
            }
        }
        fleet.send(round as usize % 16, round as usize * 7, now);
    }
    let retries = fleet.counted_retries();
    assert!(retries <= 3, "{retries} retries: {:?}", fleet.crashes);
}

/// Guards against two sides of a partition that each go on sending the request once they
/// are connected again.
#[test]
fn the_two_sides_of_a_partition_add_up_their_crashes() {
    let mut fleet = CrashFleet::new(16, 20);
    fleet.cut_until = Millis::from_secs(10);
    for round in 0..20_u64 {
        let now = Millis(round * 2_500);
        fleet.deliver(now);
        if now == fleet.cut_until {
            let sides = [fleet.nodes[0].clone(), fleet.nodes[15].clone()];
            for node in &mut fleet.nodes {
                for side in &sides {
                    send_all(side, node, now);
                }
            }
        }
        for entry in [round as usize % 8, 8 + round as usize % 8] {
            fleet.send(entry, entry + 1, now);
        }
    }
    let healed_at = Millis::from_secs(10);
    let after = fleet.crashes.iter().filter(|at| **at >= healed_at).count();
    assert!(after <= 3, "{after} crashes: {:?}", fleet.crashes);
}

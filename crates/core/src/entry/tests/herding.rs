//! Many entries that act on the same stale report.

use rand::RngExt;

use super::*;

const ENTRIES: usize = 40;
const TARGETS: usize = 4;
const SLOTS: usize = 12;
const RUN_MS: u64 = 4_000;
const REPORT_GAP_MS: u64 = 500;
/// Calls per millisecond over all entries: 75% of the capacity of 4 targets
/// with 12 slots of 20 ms.
const CALLS_PER_MS: f32 = 1.8;

/// A target with slots and an unbounded queue, simulated in steps of one
/// millisecond.
#[derive(Default)]
struct FakeTarget {
    running: Vec<(u64, usize, Pick)>,
    waiting: std::collections::VecDeque<(u64, usize, Pick)>,
}

impl FakeTarget {
    fn outstanding(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }
}

/// Returns the call-milliseconds spent in queues while another target has a
/// free slot, which a better choice would have avoided.
fn avoidable_wait(half_life_factor: f32) -> u64 {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(11);
    let mut snapshot = view(TARGETS);
    let mut entries = Vec::new();
    for seed in 0..ENTRIES as u64 {
        let settings = EntrySettings { seed };
        let mut entry = EntryService::new(&settings, Arc::new(snapshot.clone()), Millis::ZERO);
        entry.averages.set_half_life_factor(half_life_factor);
        entries.push(entry);
    }
    let mut targets: Vec<FakeTarget> = (0..TARGETS).map(|_| FakeTarget::default()).collect();
    let mut avoidable_ms = 0;
    for now in 1..RUN_MS {
        for target in &mut targets {
            let running = std::mem::take(&mut target.running);
            for (done_at, entry, pick) in running {
                if done_at > now {
                    target.running.push((done_at, entry, pick));
                    continue;
                }
                let mut outcome = ended(SUCCESS);
                outcome.latency_us = now.saturating_sub(pick.started_at.0) as u32 * 1_000;
                entries[entry].finish(&pick, &outcome, Millis(now));
            }
        }
        if now % REPORT_GAP_MS == 1 {
            for (number, target) in targets.iter().enumerate() {
                snapshot.targets[number].load = received_load(number, target.outstanding(), now);
            }
            let published = Arc::new(snapshot.clone());
            for entry in &mut entries {
                entry.update(Arc::clone(&published), Millis(now));
            }
        }
        let mut calls = CALLS_PER_MS as u32;
        calls += u32::from(rng.random::<f32>() < CALLS_PER_MS.fract());
        for _ in 0..calls {
            let entry = rng.random_range(0..ENTRIES);
            let picked = pick(&mut entries[entry], now);
            let service_ms = rng.random_range(5..36);
            targets[picked.target.0 as usize]
                .waiting
                .push_back((service_ms, entry, picked));
        }
        for target in &mut targets {
            while target.running.len() < SLOTS {
                let Some((service_ms, entry, pick)) = target.waiting.pop_front() else {
                    break;
                };
                target.running.push((now + service_ms, entry, pick));
            }
        }
        let free: usize = targets
            .iter()
            .map(|target| SLOTS - target.running.len())
            .sum();
        let waiting: usize = targets.iter().map(|target| target.waiting.len()).sum();
        avoidable_ms += waiting.min(free) as u64;
    }
    avoidable_ms
}

/// Forty entries receive the same report every half second. Each sends where
/// the report shows free capacity, and none sees the sends of the others until
/// the next report, so calls queue at one target while others are idle. The
/// baseline in the same run is a policy that trusts reports of any age.
#[test]
fn stale_reports_do_not_make_entries_herd() {
    let without_ageing = avoidable_wait(1e9);
    let with_ageing = avoidable_wait(1.0);
    assert!(
        without_ageing > 10_000,
        "the baseline does not show the fault: {without_ageing} ms of avoidable waiting"
    );
    assert!(
        with_ageing * 8 < without_ageing,
        "avoidable waiting: {with_ageing} ms with ageing, {without_ageing} ms without"
    );
}

/// Only the entry knows what it has sent since the last report, so it must
/// spread a burst over all targets although the report shows one of them as
/// idle.
#[test]
fn own_sends_since_a_report_count_at_once() {
    let mut service = service(&view(3));
    for number in 0..3 {
        let outstanding = if number == 0 { 0 } else { 6 };
        answer_with_load(&mut service, &report(number, outstanding, 1), 1);
    }
    let mut counts = [0; 3];
    for _ in 0..30 {
        counts[pick(&mut service, 1).target.0 as usize] += 1;
    }
    assert!(counts[0] > counts[1] && counts[0] > counts[2], "{counts:?}");
    assert!(counts[1] >= 6 && counts[2] >= 6, "{counts:?}");
}

//! Tests of limits that targets state, in virtual time.

use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};

use super::*;

/// Window in which targets count requests.
const WINDOW_MS: u64 = 4_000;

/// Requests that a target with this limit tolerates within [`WINDOW_MS`].
fn tolerated(per_1000_s: u64) -> usize {
    (per_1000_s as f64 / 1_000.0 * 1.5 * 4.0 + 5.0) as usize
}

/// The gate of one target, in one process.
#[derive(Default)]
struct Gate {
    limit: StatedLimit,
    sends: SendLog,
}

impl Gate {
    /// Sends a request if the limit admits it.
    fn try_send(&mut self, now: u64) -> bool {
        let now = Millis(now);
        if self.limit.free_at(&self.sends, 0, now).is_some() {
            return false;
        }
        self.sends.note_admitted();
        self.sends.note_sent(now);
        true
    }

    fn receive(&mut self, per_1000_s: Option<u64>, now: u64) {
        let at = Millis(now);
        self.limit.note(LimitSource::Answer, per_1000_s, at, at);
    }
}

/// Returns the largest number of requests in any window of the target.
fn max_in_window(sent: &[u64]) -> usize {
    let mut max = 0;
    for (index, first) in sent.iter().enumerate() {
        let window = sent[index..]
            .iter()
            .take_while(|at| **at < first + WINDOW_MS);
        max = max.max(window.count());
    }
    max
}

/// Guards against a target that gets more than the limit that it states, and against one
/// that stays idle because of it.
#[test]
fn a_target_receives_what_its_limit_allows_and_no_more() {
    for per_1000_s in [250, 500, 999, 1_000, 6_800, 13_500, 250_000] {
        let mut gate = Gate::default();
        gate.receive(Some(per_1000_s), 0);
        let mut sent = Vec::new();
        for now in 0..40_000 {
            if gate.try_send(now) {
                sent.push(now);
            }
        }
        let max = max_in_window(&sent);
        assert!(max <= tolerated(per_1000_s), "{per_1000_s}: {max} in 4 s");
        let allowed = per_1000_s as f64 / 1_000.0 * 40.0;
        assert!(
            sent.len() as f64 >= allowed * 0.9,
            "{per_1000_s}: {}",
            sent.len()
        );
    }
}

/// Guards against a target that is never used again after it has stated a limit of 0:
/// without a request it cannot tell that the limit is over.
#[test]
fn a_target_that_accepts_nothing_is_tried_within_a_bounded_time() {
    let mut gate = Gate::default();
    gate.receive(Some(0), 0);
    let sent: Vec<u64> = (0..30_000).filter(|now| gate.try_send(*now)).collect();
    assert_eq!(sent, [0, 10_000, 20_000]);
}

/// Guards against limits that last longer than the target states them.
#[test]
fn a_limit_ends_with_the_next_answer_that_states_none() {
    let mut gate = Gate::default();
    gate.receive(Some(1_000), 0);
    assert!(gate.try_send(1));
    assert!(!gate.try_send(2));
    gate.receive(None, 3);
    assert!(gate.try_send(4));
}

/// Guards against a limit that ends because of an answer that the target began before it
/// stated the limit, or because of a health check that never states one.
#[test]
fn a_limit_is_not_ended_by_older_or_other_messages() {
    let mut limit = StatedLimit::default();
    limit.note(LimitSource::Answer, Some(1_000), Millis(50), Millis(60));
    limit.note(LimitSource::Answer, None, Millis(10), Millis(70));
    limit.note(LimitSource::HealthCheck, None, Millis(80), Millis(81));
    assert_eq!(limit.per_1000_s(), Some(1_000));
}

/// Guards against seconds without any request after a target names its limit, because of
/// the requests that it got before.
#[test]
fn requests_before_the_limit_do_not_count() {
    let mut gate = Gate::default();
    for now in 0..400 {
        assert!(gate.try_send(now * 10));
    }
    gate.receive(Some(6_800), 4_000);
    assert!(gate.try_send(4_001));
}

/// Guards against a restarted gate that knows no limit while entries have received it, and
/// against a word of entries that outlasts the target's own.
#[test]
fn a_restarted_gate_learns_the_limit_from_entries_until_the_target_answers() {
    let mut limit = StatedLimit::default();
    assert!(limit.note_from_entry(Some(6_800), Millis(5)));
    assert!(!limit.note_from_entry(None, Millis(6)));
    assert_eq!(limit.per_1000_s(), Some(6_800));
    limit.note(LimitSource::Answer, None, Millis(7), Millis(9));
    assert_eq!(limit.per_1000_s(), None);
    assert!(!limit.note_from_entry(Some(6_800), Millis(10)));
}

/// Guards against a limit that is exceeded around restarts of the gate, whose processes do
/// not know what earlier ones sent.
#[test]
fn random_restarts_never_exceed_the_limit() {
    for seed in 0..200 {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let per_1000_s = rng.random_range(200..20_000);
        let mut gate = Gate::default();
        gate.limit.note_from_entry(Some(per_1000_s), Millis::ZERO);
        let mut restarted_at = 0;
        let mut sent = Vec::new();
        for now in 0..30_000 {
            // A restart takes a quarter of a second, and no process ends twice in 4 s.
            if now > restarted_at + WINDOW_MS && rng.random_ratio(1, 3_000) {
                restarted_at = now + 250;
                gate = Gate::default();
                gate.limit
                    .note_from_entry(Some(per_1000_s), Millis(restarted_at));
            }
            if now >= restarted_at && rng.random_ratio(1, 3) && gate.try_send(now) {
                sent.push(now);
            }
        }
        let max = max_in_window(&sent);
        assert!(
            max <= tolerated(per_1000_s),
            "seed {seed}: {max} requests at a limit of {per_1000_s}"
        );
    }
}

//! Tests of the limit on requests to cold targets in virtual time.

use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};

use super::*;

const WARM_UP: WarmUp = WarmUp {
    duration_ms: Millis(3_000),
    requests_per_1000_s: 7_300,
};
const TOLERANCE: WarmUpTolerance = WarmUpTolerance {
    factor: 1.5,
    slack: 8.0,
};
/// Requests per second that a cold target of [`WARM_UP`] tolerates: 7.3 x 1.5 + 8.
const TOLERATED: usize = 18;

/// A limiter with the log of its gate.
struct Limiter {
    warm_up: WarmUpLimiter,
    sends: SendLog,
}

impl Limiter {
    fn pace(&self, ahead: u32, now: Millis) -> Pace {
        self.warm_up.pace(&self.sends, ahead, now)
    }

    fn note_report(&mut self, left_ms: Option<Millis>, now: Millis) {
        self.warm_up.note_report(left_ms, now);
    }

    const fn note_admitted(&mut self) {
        self.sends.note_admitted();
    }

    fn note_sent(&mut self, now: Millis) {
        self.sends.note_sent(now);
    }

    const fn note_withdrawn(&mut self) {
        self.sends.note_withdrawn();
    }
}

fn limiter(started_at: u64) -> Limiter {
    let mut warm_up = WarmUpLimiter::new(Millis(started_at));
    warm_up.set_warm_up(Some(WARM_UP));
    warm_up.set_tolerance(TOLERANCE);
    Limiter {
        warm_up,
        sends: SendLog::default(),
    }
}

/// Sends one request every millisecond as far as the limiter allows; returns the times.
/// The target reports `left_ms` whenever it is asked.
fn send_all(
    limiter: &mut Limiter,
    from: u64,
    until: u64,
    left_ms: impl Fn(u64) -> Option<u64>,
) -> Vec<u64> {
    let mut sent = Vec::new();
    for now in from..until {
        if limiter.pace(0, Millis(now)) == Pace::Read {
            limiter.note_report(left_ms(now).map(Millis), Millis(now));
        }
        if limiter.pace(0, Millis(now)) == Pace::Send {
            limiter.note_admitted();
            limiter.note_sent(Millis(now));
            sent.push(now);
        }
    }
    sent
}

/// Returns the largest number of requests in any window of one second.
fn max_per_second(sent: &[u64]) -> usize {
    let mut max = 0;
    for (index, first) in sent.iter().enumerate() {
        let window = sent[index..].iter().take_while(|at| **at < first + 1_000);
        max = max.max(window.count());
    }
    max
}

/// Guards against cold targets that crash, come back cold and crash again because a
/// service's whole traffic reaches each target that is back.
#[test]
fn a_cold_target_receives_no_more_than_it_tolerates_in_any_second() {
    let mut limiter = limiter(0);
    let left = |now: u64| Some(5_000_u64.saturating_sub(now));
    let sent = send_all(&mut limiter, 2_000, 5_000, left);
    let max = max_per_second(&sent);
    assert!(max <= TOLERATED, "{max} requests in one second");
    assert!(sent.len() >= 2 * TOLERATED, "only {} requests", sent.len());
}

#[test]
fn a_warm_target_is_not_limited() {
    let mut limiter = limiter(0);
    let sent = send_all(&mut limiter, 5_000, 6_000, |_| Some(0));
    assert_eq!(sent.len(), 1_000);
}

/// Guards against unlimited requests to a target whose health check hangs.
#[test]
fn a_target_that_cannot_be_asked_counts_as_cold() {
    let mut limiter = limiter(0);
    let sent = send_all(&mut limiter, 5_000, 7_000, |_| None);
    assert!(max_per_second(&sent) <= TOLERATED);
}

/// Guards against twice the tolerated requests within a second in which the gate's
/// process was restarted, since the new process does not know what the old one sent.
#[test]
fn a_restarted_gate_assumes_that_the_previous_process_used_the_limit() {
    let mut limiter = limiter(10_000);
    // The target became cold 900 ms before the gate started.
    let left = |now: u64| Some(12_100 - now.min(12_100));
    let sent = send_all(&mut limiter, 10_000, 12_000, left);
    assert!(sent[0] >= 11_000, "sent after {} ms", sent[0] - 10_000);
}

/// Guards against idle cold targets after a power loss, when gates and targets start
/// together.
#[test]
fn a_target_that_became_cold_after_the_gate_started_is_used_at_once() {
    let mut limiter = limiter(10_000);
    let left = |now: u64| Some(13_100 - now.min(13_100));
    let sent = send_all(&mut limiter, 10_150, 10_400, left);
    assert!(!sent.is_empty());
}

/// Guards against a body that arrives late: its request was admitted in one window and is
/// sent in the next one, together with those admitted there.
#[test]
fn requests_that_are_admitted_but_not_sent_count_until_they_are_sent() {
    let mut limiter = limiter(0);
    limiter.note_report(Some(Millis(3_000)), Millis(5_000));
    let mut admitted = 0;
    while limiter.pace(0, Millis(5_000)) == Pace::Send {
        limiter.note_admitted();
        admitted += 1;
    }
    assert!(admitted <= TOLERATED);
    limiter.note_report(Some(Millis(1_000)), Millis(7_000));
    assert!(matches!(limiter.pace(0, Millis(7_000)), Pace::At(_)));
    limiter.note_withdrawn();
    assert_eq!(limiter.pace(0, Millis(7_000)), Pace::Send);
}

/// Guards against calls that overtake others in the queue of a cold target.
#[test]
fn calls_ahead_in_the_queue_have_the_first_right_to_the_next_request() {
    let mut limiter = limiter(0);
    let sent = send_all(&mut limiter, 5_000, 5_200, |_| Some(2_000));
    limiter.note_report(Some(Millis(1_900)), Millis(5_200));
    let Pace::At(first) = limiter.pace(0, Millis(5_200)) else {
        panic!("the limit is used up");
    };
    let Pace::At(second) = limiter.pace(1, Millis(5_200)) else {
        panic!("the limit is used up");
    };
    assert!(first < second);
    assert_eq!(first, Millis(sent[0]) + WINDOW_MS);
}

/// Guards against a second without service after a power loss, in which each target
/// starts just before its gate.
#[test]
fn a_target_that_became_cold_during_the_restart_of_the_gate_is_used_at_once() {
    let mut limiter = limiter(10_000);
    let left = |now: u64| Some(12_900 - now.min(12_900));
    let sent = send_all(&mut limiter, 10_050, 10_400, left);
    assert!(!sent.is_empty());
}

/// The target becomes cold at random moments and its health check fails at times; the
/// gate restarts at times, which takes as long as a platform needs at least. Windows in which the target was cold throughout are checked.
#[test]
fn random_cold_phases_and_restarts_never_exceed_the_tolerated_rate() {
    for seed in 0..200 {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut limiter = limiter(0);
        let mut cold_from = 0;
        let mut restarted_at = 0;
        let mut sent_cold = Vec::new();
        for now in 0..8_000_u64 {
            if rng.random_ratio(1, 2_500) {
                cold_from = now;
                sent_cold.clear();
            }
            if rng.random_ratio(1, 1_500) {
                restarted_at = now + MIN_RESTART_MS.0;
                limiter = self::limiter(restarted_at);
            }
            if now < restarted_at {
                continue;
            }
            let left_ms = (cold_from + WARM_UP.duration_ms.0).saturating_sub(now);
            if limiter.pace(0, Millis(now)) == Pace::Read {
                let answer = (!rng.random_ratio(1, 5)).then_some(Millis(left_ms));
                limiter.note_report(answer, Millis(now));
            }
            if rng.random_ratio(2, 3) || limiter.pace(0, Millis(now)) != Pace::Send {
                continue;
            }
            limiter.note_admitted();
            limiter.note_sent(Millis(now));
            if left_ms > 0 {
                sent_cold.push(now);
            }
            let in_window = sent_cold.iter().rev().take_while(|at| **at + 1_000 > now);
            let count = in_window.count();
            assert!(
                count <= TOLERATED,
                "seed {seed}: {count} requests at {now} ms"
            );
        }
    }
}

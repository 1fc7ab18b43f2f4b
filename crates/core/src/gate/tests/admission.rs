//! Tests of admission, the queue and the limit under load and noise.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::*;

fn roomy_policy() -> ServicePolicy {
    ServicePolicy {
        slots: 12,
        queue_limit: 100,
        ..policy()
    }
}

fn of_class(class: CallClass, deadline_at_ms: u64) -> Arrival<'static> {
    Arrival {
        class,
        ..plain(deadline_at_ms)
    }
}

#[test]
fn queue_goes_by_class_then_deadline() {
    let mut gate = gate(&roomy_policy());
    gate.update(
        Arc::new(ServicePolicy {
            slots: 1,
            ..roomy_policy()
        }),
        Millis(0),
    );
    let running = run_of(gate.arrive(&plain(FAR_DEADLINE_MS), Millis(0)));
    let mut expected = Vec::new();
    for (class, deadline) in [
        (CallClass::Background, 10_000),
        (CallClass::Interactive, 30_000),
        (CallClass::Interactive, 20_000),
        (CallClass::Payment, 40_000),
    ] {
        expected.insert(
            0,
            run_of(gate.arrive(&of_class(class, deadline), Millis(1))),
        );
    }
    let mut served = Vec::new();
    let mut next = running;
    for _ in &expected {
        let wakes = gate.finish(next, answered_plain(), 100, Millis(2));
        let [Wake::Start(run)] = wakes[..] else {
            panic!("expected one start per finished run: {wakes:?}");
        };
        served.push(run);
        next = run;
    }
    assert_eq!(served, expected);
}

#[test]
fn higher_class_displaces_the_last_of_a_lower_one() {
    // The queue is full of background work when a payment arrives. The last of
    // the background calls is refused at once with a retry time. The only
    // remaining call of its class keeps its place.
    let mut gate = gate(&policy());
    run_of(gate.arrive(&plain(FAR_DEADLINE_MS), Millis(0)));
    let [remaining, displaced] = [5_000, 6_000]
        .map(|deadline| run_of(gate.arrive(&of_class(CallClass::Background, deadline), Millis(1))));
    let payment = of_class(CallClass::Payment, 3_000);
    assert!(matches!(gate.arrive(&payment, Millis(2)), Verdict::Wait(_)));
    let wakes = gate.take_wakes();
    assert_eq!(wakes.len(), 1);
    assert!(
        refused(displaced, ResultCode::Overloaded, &wakes),
        "{wakes:?}"
    );
    let second = gate.arrive(&payment, Millis(3));
    assert_eq!(code_of(second), ResultCode::Overloaded);
    assert_eq!(gate.take_wakes(), []);
    assert!(gate.runs.contains_key(&remaining));
}

#[test]
fn call_that_cannot_make_its_deadline_is_refused_at_once() {
    // The target takes 100 ms. A call with 40 ms left would miss its deadline,
    // and so would a call behind a queue that takes longer than the call's
    // remaining time.
    let mut gate = gate(&policy());
    for _ in 0..20 {
        let run = run_of(gate.arrive(&plain(FAR_DEADLINE_MS), Millis(0)));
        gate.finish(run, answered_plain(), 100_000, Millis(0));
    }
    run_of(gate.arrive(&plain(FAR_DEADLINE_MS), Millis(0)));
    let short = gate.arrive(&plain(40), Millis(0));
    assert_eq!(code_of(short), ResultCode::DeadlineTooShort);
    let behind = gate.arrive(&plain(150), Millis(0));
    assert_eq!(code_of(behind), ResultCode::Overloaded);
    let waits = run_of(gate.arrive(&plain(400), Millis(0)));
    assert_eq!(gate.tick(Millis(200)), []);
    let wakes = gate.tick(Millis(320));
    assert!(
        refused(waits, ResultCode::DeadlineTooShort, &wakes),
        "{wakes:?}"
    );
}

#[test]
fn target_that_was_slow_once_is_tried_again() {
    // The target took 10 s per call, far beyond any deadline, and has
    // recovered. If predictions alone decided, no call would ever show the
    // recovery.
    let mut gate = gate(&policy());
    for _ in 0..20 {
        let run = run_of(gate.arrive(&plain(FAR_DEADLINE_MS), Millis(0)));
        gate.finish(run, answered_plain(), 10_000_000, Millis(0));
    }
    let mut tries = 0;
    while gate.load(Millis(0)).service_time_us > 100_000 {
        let run = run_of(gate.arrive(&plain(1_000), Millis(0)));
        gate.finish(run, answered_plain(), 1_000, Millis(0));
        tries += 1;
    }
    assert!(tries < 100, "{tries}");
}

#[test]
fn fast_failures_do_not_count_as_fast_service() {
    // An unhealthy target answers 500 immediately. If that counted as service
    // time, its gate would look like the fastest one and attract all the load.
    let mut gate = gate(&policy());
    for failed in [false, true, true, true] {
        let run = run_of(gate.arrive(&plain(FAR_DEADLINE_MS), Millis(0)));
        let end = RunEnd::Answered {
            answer: None,
            failed,
        };
        let service_time_us = if failed { 10 } else { 20_000 };
        gate.finish(run, end, service_time_us, Millis(0));
    }
    assert_eq!(gate.load(Millis(0)).service_time_us, 20_000);
}

#[test]
fn cold_target_ramps_and_ramps_again_after_a_crash() {
    let mut gate = gate(&ServicePolicy {
        cold_ramp_ms: Millis(10_000),
        ..roomy_policy()
    });
    let limit = |gate: &Gate, now| gate.load(Millis(now)).limit;
    assert_eq!(limit(&gate, 60_000), 3);
    gate.arrive(&plain(90_000), Millis(60_000));
    assert_eq!(limit(&gate, 65_000), 7);
    assert_eq!(limit(&gate, 70_000), 12);
    gate.target_crashed(Millis(71_000));
    assert_eq!(limit(&gate, 71_000), 3);
}

#[test]
fn leaving_gate_refuses_new_work_and_finishes_the_rest() {
    // When the VM is leaving, running and waiting calls are finished. New calls
    // are refused at once as "not run", and late duplicates of them must not
    // run after the gate accepts work again.
    let mut gate = gate(&policy());
    let running = run_of(gate.arrive(&plain(FAR_DEADLINE_MS), Millis(0)));
    let waiting = run_of(gate.arrive(&plain(FAR_DEADLINE_MS), Millis(0)));
    gate.set_leaving(true);
    assert!(gate.load(Millis(0)).leaving);
    let ticket = ticket(1, TICKET_TTL_MS);
    let verdict = gate.arrive(&with_ticket(&ticket), Millis(1));
    assert_eq!(code_of(verdict), ResultCode::Leaving);
    let wakes = gate.finish(running, answered_plain(), 100, Millis(2));
    assert_eq!(wakes, [Wake::Start(waiting)]);
    gate.finish(waiting, answered_plain(), 100, Millis(3));
    assert_eq!(gate.active_calls(), 0);
    gate.set_leaving(false);
    let late = gate.arrive(&with_ticket(&ticket), Millis(4));
    assert_eq!(code_of(late), ResultCode::Fenced);
}

/// Results of an offered load.
#[derive(Debug, Default)]
struct Outcome {
    in_time: u32,
    late: u32,
    refused: u32,
    background_in_time: u32,
    max_time_in_gate_ms: u64,
    lowest_limit: u32,
    retry_after_ms: Vec<u64>,
}

/// The service time of a target, depending on the time and the number of calls
/// in flight.
type Service = fn(now_ms: u64, in_flight: u32) -> u64;

/// Offers `per_s` calls per second for `span_ms`. One in `background_every`
/// calls is background work.
fn offer(per_s: u64, span_ms: u64, background_every: u64, service_ms: Service) -> Outcome {
    const DEADLINE_MS: u64 = 1_000;
    let mut gate = gate(&roomy_policy());
    let mut outcome = Outcome {
        lowest_limit: u32::MAX,
        ..Outcome::default()
    };
    let mut arrivals: HashMap<RunId, (u64, CallClass)> = HashMap::new();
    let mut ends = BinaryHeap::new();
    let mut sent = 0;
    for now in 0..span_ms {
        let mut starts = Vec::new();
        while sent * 1_000 < now * per_s {
            sent += 1;
            let class = match sent % background_every {
                0 => CallClass::Background,
                _ => CallClass::Payment,
            };
            let verdict = gate.arrive(&of_class(class, now + DEADLINE_MS), Millis(now));
            match verdict {
                Verdict::Run(run) => {
                    arrivals.insert(run, (now, class));
                    starts.push(run);
                }
                Verdict::Wait(run) => {
                    arrivals.insert(run, (now, class));
                }
                Verdict::Refuse(refusal) => {
                    outcome.refused += 1;
                    let retry_after_ms = refusal.retry_after_ms.expect("a retry time").0;
                    outcome.retry_after_ms.push(retry_after_ms);
                }
                other => panic!("{other:?}"),
            }
        }
        let mut wakes = gate.take_wakes();
        while let Some(Reverse((at, started, run))) = ends.peek().copied() {
            if at > now {
                break;
            }
            ends.pop();
            let took_us = (now - started) as u32 * 1_000;
            wakes.extend(gate.finish(run, answered_plain(), took_us, Millis(now)));
            let (arrived_at, class) = arrivals.remove(&run).expect("the run has arrived");
            outcome.max_time_in_gate_ms = outcome.max_time_in_gate_ms.max(now - arrived_at);
            if now >= arrived_at + DEADLINE_MS {
                outcome.late += 1;
                continue;
            }
            outcome.in_time += 1;
            outcome.background_in_time += u32::from(class == CallClass::Background);
        }
        wakes.extend(gate.tick(Millis(now)));
        for wake in wakes {
            match wake {
                Wake::Start(run) => starts.push(run),
                Wake::Refuse(..) => outcome.refused += 1,
                Wake::Settled(..) => {}
            }
        }
        let load = gate.load(Millis(now));
        outcome.lowest_limit = outcome.lowest_limit.min(load.limit);
        for run in starts {
            let end = now + service_ms(now, load.in_flight);
            ends.push(Reverse((end, now, run)));
        }
    }
    outcome
}

#[test]
fn goodput_holds_at_twice_the_capacity() {
    // 12 slots of 20 ms serve 600 calls per second; 1,200 are offered. Without
    // a bound on the wait, every call would use up its deadline in the queue.
    let peak = offer(600, 10_000, u64::MAX, |_, _| 20);
    let over = offer(1_200, 10_000, u64::MAX, |_, _| 20);
    assert!(over.in_time * 100 >= peak.in_time * 97, "{over:?} {peak:?}");
    assert_eq!(over.late, 0);
    assert!(
        over.max_time_in_gate_ms <= 90,
        "{}",
        over.max_time_in_gate_ms
    );
}

#[test]
fn background_is_served_beside_a_flood_of_payments() {
    // Payments alone exceed the capacity for ten seconds. Background work must
    // still get its fair turn (one in eight if there is that much of it).
    let over = offer(1_200, 10_000, 5, |_, _| 20);
    let share = f64::from(over.background_in_time) / f64::from(over.in_time);
    assert!(
        share > 0.02,
        "background share {share} of {} calls",
        over.in_time
    );
}

#[test]
fn noisy_neighbour_does_not_collapse_the_limit() {
    // A neighbour stalls the host for 50 ms in every 300 ms. The capacity of
    // the slots has not changed, so a smaller limit would refuse calls that can
    // be served.
    let stalls = |now, _| 5 + 50_u64.saturating_sub(now % 300);
    let noisy = offer(1_500, 20_000, u64::MAX, stalls);
    assert_eq!(noisy.lowest_limit, 12);
    assert!(noisy.refused * 20 < noisy.in_time, "{}", noisy.refused);
}

#[test]
fn limit_shrinks_only_where_that_helps() {
    // The first target slows down with more than four concurrent calls, so a
    // lower limit serves as many calls faster. The second one has become four
    // times slower regardless of load, so its limit must be restored.
    let contended = offer(2_000, 20_000, u64::MAX, |now, in_flight| {
        let excess = u64::from(in_flight.saturating_sub(4));
        if now < 2_000 { 5 } else { 5 + excess * 4 }
    });
    assert!(contended.lowest_limit <= 8, "{}", contended.lowest_limit);
    assert!(contended.lowest_limit >= 3);
    let slowed = offer(
        500,
        20_000,
        u64::MAX,
        |now, _| if now < 2_000 { 5 } else { 20 },
    );
    assert!(slowed.in_time * 100 >= 500 * 20 * 85, "{}", slowed.in_time);
}

#[test]
fn retry_after_grows_with_the_overload_and_is_spread() {
    let mild = offer(700, 10_000, u64::MAX, |_, _| 20).retry_after_ms;
    let heavy = offer(6_000, 10_000, u64::MAX, |_, _| 20).retry_after_ms;
    let mean = |all: &[u64]| all.iter().sum::<u64>() / all.len() as u64;
    assert!(
        mean(&heavy) > 4 * mean(&mild),
        "{} {}",
        mean(&heavy),
        mean(&mild)
    );
    for retry_after_ms in mild.iter().chain(&heavy) {
        assert!((50..=10_000).contains(retry_after_ms));
    }
    let (low, high) = (heavy.iter().min(), heavy.iter().max());
    assert!(high > low, "all refused callers would return together");
}

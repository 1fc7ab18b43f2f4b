//! Tests of admission control in virtual time.

mod overload;
mod properties;

use super::*;
use crate::gate::short_work::RECENT_WINDOW_MS;
use crate::gate::stated_limit::LimitSource;

fn call(queue_ms: u64, slow_from_ms: u64) -> GateCall {
    GateCall {
        priority: 1,
        work_ms: Millis(100),
        queue_until: Millis(queue_ms),
        objective_at: Millis(300),
        whole_objective_ms: Millis(300),
        slow_from: Millis(slow_from_ms),
        deadline_at: Millis(2_000),
    }
}

fn gate(slots: u32) -> Admission {
    let mut admission = Admission::new(Millis::ZERO);
    admission.set_slots(slots);
    admission
}

fn read(admission: &mut Admission, slowness_percent: u32, at: u64) {
    admission.note_speed(SpeedReading {
        slowness_percent,
        read_at: Millis(at),
    });
}

#[test]
fn a_fast_target_with_room_starts_the_call() {
    let mut admission = gate(12);
    let call = call(0, 2_000);
    let position = admission.enqueue(&call, Millis(0));
    assert_eq!(
        admission.decide(position, &call, Millis(0)),
        Verdict::ReadSpeed
    );
    read(&mut admission, 100, 0);
    assert_eq!(admission.decide(position, &call, Millis(0)), Verdict::Start);
}

/// Guards against runs that start in a slow spell. Another VM on the host has slowed the
/// target down five times: a lookup that starts now takes half a second, and one that
/// starts after the spell, or on another target, takes a tenth of a second.
#[test]
fn no_run_starts_in_a_slow_spell_while_it_can_wait() {
    let mut admission = gate(12);
    let call = call(100, 2_000);
    let position = admission.enqueue(&call, Millis(0));
    read(&mut admission, 500, 0);
    let verdict = admission.decide(position, &call, Millis(0));
    assert_eq!(verdict, Verdict::Wait(SPEED_READING_INTERVAL_MS));
    // The reading has expired, so the speed is read again.
    assert_eq!(
        admission.decide(position, &call, Millis(15)),
        Verdict::ReadSpeed
    );
    read(&mut admission, 100, 16);
    assert_eq!(
        admission.decide(position, &call, Millis(16)),
        Verdict::Start
    );
}

/// Guards against refusing all callers after a power loss. Every target is cold for some
/// seconds and takes twice as long, so no faster target exists, and the objective is
/// still met.
#[test]
fn a_cold_target_is_taken_where_the_objective_is_still_met() {
    let mut admission = gate(12);
    let lookup = call(0, 2_000);
    let position = admission.enqueue(&lookup, Millis(0));
    read(&mut admission, 200, 0);
    assert_eq!(
        admission.decide(position, &lookup, Millis(0)),
        Verdict::Start
    );
    // At 150 ms a cold run would miss the objective and a usual run would meet it.
    read(&mut admission, 200, 150);
    let verdict = admission.decide(position, &lookup, Millis(150));
    assert_eq!(verdict, Verdict::Refuse(Refused::Slow));
    // At 250 ms neither would meet it, so waiting for a faster moment gains nothing.
    read(&mut admission, 200, 250);
    let verdict = admission.decide(position, &lookup, Millis(250));
    assert_eq!(verdict, Verdict::Start);
}

#[test]
fn a_slow_target_refuses_a_call_that_may_not_wait() {
    let mut admission = gate(12);
    let call = call(0, 2_000);
    let position = admission.enqueue(&call, Millis(0));
    read(&mut admission, 500, 0);
    let verdict = admission.decide(position, &call, Millis(0));
    assert_eq!(verdict, Verdict::Refuse(Refused::Slow));
}

#[test]
fn from_slow_from_on_a_call_starts_on_a_slow_target_if_it_meets_its_deadline() {
    let mut admission = gate(12);
    let in_time = call(0, 0);
    let position = admission.enqueue(&in_time, Millis(0));
    read(&mut admission, 500, 0);
    assert_eq!(
        admission.decide(position, &in_time, Millis(0)),
        Verdict::Start
    );
    let too_late = GateCall {
        deadline_at: Millis(400),
        ..in_time
    };
    let verdict = admission.decide(position, &too_late, Millis(0));
    assert_eq!(verdict, Verdict::Refuse(Refused::Slow));
}

/// Guards against a target that hangs when it is full: it answers neither the calls that
/// it cannot queue nor any other call on the same connection.
#[test]
fn no_more_runs_than_slots_are_ever_started() {
    let mut admission = gate(12);
    for _ in 0..40 {
        let call = call(0, 0);
        let position = admission.enqueue(&call, Millis(0));
        read(&mut admission, 100, 0);
        match admission.decide(position, &call, Millis(0)) {
            Verdict::Start => admission.start(position),
            _ => admission.dequeue(position),
        }
    }
    assert_eq!(admission.in_flight(), 12);
}

/// Guards against a target that takes 1.7 times as long for all its requests when more
/// than nine of its twelve slots are used. The gate learns this and starts no tenth call.
#[test]
fn slots_beyond_the_knee_stay_free() {
    let mut admission = gate(12);
    for round in 0..20 {
        for running in 1..=12 {
            let ran_ms = if running > 9 { 170 } else { 100 };
            let at = Millis(round * 100);
            admission.learn_run(running, 100, Millis(100), Millis(ran_ms), at);
        }
    }
    assert_eq!(admission.limit(), 9);
    read(&mut admission, 100, 2_000);
    let lookup = GateCall {
        objective_at: Millis(2_300),
        deadline_at: Millis(4_000),
        ..call(0, 4_000)
    };
    for _ in 0..9 {
        let position = admission.enqueue(&lookup, Millis(2_000));
        let verdict = admission.decide(position, &lookup, Millis(2_000));
        assert_eq!(verdict, Verdict::Start);
        admission.start(position);
    }
    let tenth = admission.enqueue(&lookup, Millis(2_000));
    let verdict = admission.decide(tenth, &lookup, Millis(2_000));
    assert_eq!(verdict, Verdict::Refuse(Refused::Busy));
    // Another incarnation of the target may have no knee.
    admission.forget_target();
    assert_eq!(admission.limit(), 12);
}

/// Guards against a limit learnt from a slow spell of the VM, in which runs take long
/// whatever their number.
#[test]
fn slow_spells_are_not_taken_for_a_knee() {
    let mut admission = gate(12);
    for round in 0..20 {
        for running in 1..=12 {
            let slowness = if running > 9 { 500 } else { 100 };
            let ran_ms = Millis(u64::from(slowness));
            let at = Millis(round * 100);
            admission.learn_run(running, slowness, Millis(100), ran_ms, at);
        }
    }
    assert_eq!(admission.limit(), 12);
}

#[test]
fn a_call_of_higher_priority_goes_first() {
    let mut admission = gate(1);
    read(&mut admission, 100, 0);
    let running = admission.enqueue(&call(1_000, 2_000), Millis(0));
    admission.start(running);
    let lookup = call(1_000, 2_000);
    let payment = GateCall {
        priority: 0,
        ..lookup
    };
    let lookup_position = admission.enqueue(&lookup, Millis(0));
    let payment_position = admission.enqueue(&payment, Millis(0));
    admission.finish();
    let verdict = admission.decide(lookup_position, &lookup, Millis(0));
    assert!(matches!(verdict, Verdict::Wait(_)), "{verdict:?}");
    let verdict = admission.decide(payment_position, &payment, Millis(0));
    assert_eq!(verdict, Verdict::Start);
}

/// Guards against an overload in which calls that can still meet their objective wait
/// behind calls that already miss it, so that all of them miss it.
#[test]
fn a_call_that_misses_its_objective_goes_last() {
    let mut admission = gate(1);
    read(&mut admission, 100, 0);
    let lookup = call(1_000, 2_000);
    let running = admission.enqueue(&lookup, Millis(0));
    admission.start(running);
    let late = GateCall {
        objective_at: Millis(50),
        ..lookup
    };
    let late_position = admission.enqueue(&late, Millis(0));
    let position = admission.enqueue(&lookup, Millis(0));
    admission.finish();
    let verdict = admission.decide(late_position, &late, Millis(0));
    assert!(matches!(verdict, Verdict::Wait(_)), "{verdict:?}");
    assert_eq!(
        admission.decide(position, &lookup, Millis(0)),
        Verdict::Start
    );
}

/// Guards against lost payments: uploads are queued at a target, and another target
/// fetches a record from it on behalf of a payment, which holds a slot there all the
/// while.
#[test]
fn short_work_of_the_same_priority_goes_first() {
    let mut admission = gate(1);
    read(&mut admission, 100, 0);
    let running = admission.enqueue(&call(1_000, 2_000), Millis(0));
    admission.start(running);
    let upload = call(1_000, 2_000);
    let record = GateCall {
        work_ms: Millis(20),
        ..upload
    };
    let upload_position = admission.enqueue(&upload, Millis(0));
    let record_position = admission.enqueue(&record, Millis(0));
    admission.finish();
    let verdict = admission.decide(upload_position, &upload, Millis(0));
    assert!(matches!(verdict, Verdict::Wait(_)), "{verdict:?}");
    let verdict = admission.decide(record_position, &record, Millis(0));
    assert_eq!(verdict, Verdict::Start);
}

/// Returns a gate with twelve slots and a fast target, a long call, and a call of a fifth
/// of its length.
fn gate_with_uploads_and_short_calls() -> (Admission, GateCall, GateCall) {
    let mut admission = gate(12);
    read(&mut admission, 100, 0);
    let upload = call(1_000, 2_000);
    let short_call = GateCall {
        work_ms: Millis(20),
        ..upload
    };
    (admission, upload, short_call)
}

fn run_short_calls(admission: &mut Admission, short_call: &GateCall, count: usize) {
    for _ in 0..count {
        let position = admission.enqueue(short_call, Millis(0));
        let verdict = admission.decide(position, short_call, Millis(0));
        assert_eq!(verdict, Verdict::Start);
        admission.start(position);
        admission.finish();
    }
}

/// One short call per second uses a fiftieth of a slot, so uploads may use all slots.
#[test]
fn rare_short_work_reserves_no_slot() {
    let (mut admission, upload, short_call) = gate_with_uploads_and_short_calls();
    run_short_calls(&mut admission, &short_call, 1);
    for _ in 0..12 {
        let position = admission.enqueue(&upload, Millis(0));
        assert_eq!(
            admission.decide(position, &upload, Millis(0)),
            Verdict::Start
        );
        admission.start(position);
    }
}

/// Guards against lost payments when a service has lost half of its targets. Uploads hold
/// the slots of the rest, and the short calls that other targets make for payments find
/// none free: each refused one costs a payment, although it takes a fifth of an upload's
/// time.
#[test]
fn long_work_leaves_slots_to_recent_short_work() {
    let (mut admission, upload, short_call) = gate_with_uploads_and_short_calls();
    // Seventy-five short calls of 20 ms per second use one and a half slots.
    run_short_calls(&mut admission, &short_call, 75);
    // Three of the twelve slots are left free.
    for _ in 0..9 {
        let position = admission.enqueue(&upload, Millis(0));
        assert_eq!(
            admission.decide(position, &upload, Millis(0)),
            Verdict::Start
        );
        admission.start(position);
    }
    let tenth = admission.enqueue(&upload, Millis(0));
    let verdict = admission.decide(tenth, &upload, Millis(0));
    assert!(matches!(verdict, Verdict::Wait(_)), "{verdict:?}");
    run_short_calls(&mut admission, &short_call, 1);
    // No more short calls arrive, so no slot is reserved for them.
    let later = RECENT_WINDOW_MS + Millis(1);
    read(&mut admission, 100, later.0);
    let verdict = admission.decide(tenth, &upload, later);
    assert_eq!(verdict, Verdict::Start);
}

#[test]
fn a_call_that_would_wait_too_long_is_refused_at_once() {
    let mut admission = gate(1);
    read(&mut admission, 100, 0);
    let running = admission.enqueue(&call(1_000, 2_000), Millis(0));
    admission.start(running);
    let waiting = call(150, 2_000);
    let position = admission.enqueue(&waiting, Millis(0));
    assert!(matches!(
        admission.decide(position, &waiting, Millis(0)),
        Verdict::Wait(_)
    ));
    let second = call(150, 2_000);
    let position = admission.enqueue(&second, Millis(0));
    let verdict = admission.decide(position, &second, Millis(0));
    assert_eq!(verdict, Verdict::Refuse(Refused::Busy));
}

#[test]
fn a_leaving_gate_and_an_unreachable_target_refuse_calls() {
    let mut admission = gate(2);
    let call = call(1_000, 2_000);
    let position = admission.enqueue(&call, Millis(0));
    admission.note_connection_refused(Millis(0));
    let verdict = admission.decide(position, &call, Millis(10));
    assert_eq!(verdict, Verdict::Refuse(Refused::Down));
    let verdict = admission.decide(position, &call, DOWN_PERIOD_MS);
    assert_eq!(verdict, Verdict::ReadSpeed);
    admission.set_leaving(true);
    let verdict = admission.decide(position, &call, DOWN_PERIOD_MS);
    assert_eq!(verdict, Verdict::Refuse(Refused::Leaving));
}

/// Guards against calls that are held until they may wait no longer and then refused as
/// busy, because the slots alone were looked at: behind others, the limit that the target
/// states admits them too late.
#[test]
fn calls_that_a_stated_limit_admits_too_late_are_refused_at_once() {
    let mut admission = gate(2);
    let limit = admission.stated_limit();
    limit.note(LimitSource::Answer, Some(2_000), Millis(0), Millis(0));
    for _ in 0..2 {
        let call = call(0, 2_000);
        let position = admission.enqueue(&call, Millis(0));
        admission.start(position);
        admission.note_sent(Millis(0));
        admission.finish();
    }
    let call = call(1_500, 2_000);
    let mut verdicts = Vec::new();
    for _ in 0..6 {
        let position = admission.enqueue(&call, Millis(10));
        verdicts.push(admission.decide(position, &call, Millis(10)));
    }
    // Two requests in each second: the first two are admitted after 1 s, the next two after
    // 2 s, later than they may wait.
    for verdict in &verdicts[..2] {
        assert_eq!(*verdict, Verdict::Wait(Millis(1_000)));
    }
    for verdict in &verdicts[2..] {
        let is_refused = matches!(verdict, Verdict::Refuse(Refused::RateLimited { free_at }) if *free_at > call.queue_until);
        assert!(is_refused, "{verdict:?}");
    }
}

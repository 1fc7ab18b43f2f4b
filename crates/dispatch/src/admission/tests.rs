//! Admission at a gate in virtual time.

mod overload;
mod properties;

use super::*;
use crate::short_work::LATELY_MS;

fn call(hold_ms: u64, slow_from_ms: u64) -> GateCall {
    GateCall {
        priority: 1,
        work_ms: Millis(100),
        queue_until: Millis(hold_ms),
        objective_at: Millis(300),
        whole_objective_ms: Millis(300),
        slow_from: Millis(slow_from_ms),
        deadline_at: Millis(2_000),
    }
}

fn gate(slots: u32) -> Admission {
    let mut admission = Admission::default();
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
    let place = admission.enqueue(&call, Millis(0));
    assert_eq!(
        admission.decide(place, &call, Millis(0)),
        Verdict::ReadSpeed
    );
    read(&mut admission, 100, 0);
    assert_eq!(admission.decide(place, &call, Millis(0)), Verdict::Start);
}

/// The caller's lookup meets a target whose host a neighbour has slowed five
/// times. Started now it would take half a second, whatever comes later; a
/// moment later, or elsewhere, it takes a tenth.
#[test]
fn no_run_starts_in_a_slow_spell_while_it_can_wait() {
    let mut admission = gate(12);
    let call = call(100, 2_000);
    let place = admission.enqueue(&call, Millis(0));
    read(&mut admission, 500, 0);
    let verdict = admission.decide(place, &call, Millis(0));
    assert_eq!(verdict, Verdict::Wait(READING_INTERVAL_MS));
    // An old reading says nothing: the speed is read again.
    assert_eq!(
        admission.decide(place, &call, Millis(15)),
        Verdict::ReadSpeed
    );
    read(&mut admission, 100, 16);
    assert_eq!(admission.decide(place, &call, Millis(16)), Verdict::Start);
}

/// All VMs lost power and are back. Every target is cold for some seconds and
/// takes twice as long; nothing faster is to be had, and the objective is still
/// met. Refused as slow, all callers would be sent away until the cold is over.
#[test]
fn a_cold_target_is_taken_where_the_objective_is_still_met() {
    let mut admission = gate(12);
    let lookup = call(0, 2_000);
    let place = admission.enqueue(&lookup, Millis(0));
    read(&mut admission, 200, 0);
    assert_eq!(admission.decide(place, &lookup, Millis(0)), Verdict::Start);
    // At 150 a cold run misses the objective and a usual one would meet it.
    read(&mut admission, 200, 150);
    let verdict = admission.decide(place, &lookup, Millis(150));
    assert_eq!(verdict, Verdict::Refuse(Refused::Slow));
    // At 250 neither meets it, so waiting for a faster moment buys nothing.
    read(&mut admission, 200, 250);
    let verdict = admission.decide(place, &lookup, Millis(250));
    assert_eq!(verdict, Verdict::Start);
}

#[test]
fn a_call_that_may_not_wait_is_sent_elsewhere_from_a_slow_target() {
    let mut admission = gate(12);
    let call = call(0, 2_000);
    let place = admission.enqueue(&call, Millis(0));
    read(&mut admission, 500, 0);
    let verdict = admission.decide(place, &call, Millis(0));
    assert_eq!(verdict, Verdict::Refuse(Refused::Slow));
}

#[test]
fn late_in_its_time_a_call_takes_a_slow_target_if_it_ends_in_time() {
    let mut admission = gate(12);
    let in_time = call(0, 0);
    let place = admission.enqueue(&in_time, Millis(0));
    read(&mut admission, 500, 0);
    assert_eq!(admission.decide(place, &in_time, Millis(0)), Verdict::Start);
    let too_late = GateCall {
        deadline_at: Millis(400),
        ..in_time
    };
    let verdict = admission.decide(place, &too_late, Millis(0));
    assert_eq!(verdict, Verdict::Refuse(Refused::Slow));
}

/// A target that hangs when it is full never answers what it cannot queue, nor
/// anything else on that connection. The gate never sends it more than it runs.
#[test]
fn no_more_runs_than_slots_are_ever_started() {
    let mut admission = gate(12);
    for _ in 0..40 {
        let call = call(0, 0);
        let place = admission.enqueue(&call, Millis(0));
        read(&mut admission, 100, 0);
        match admission.decide(place, &call, Millis(0)) {
            Verdict::Start => admission.start(place),
            _ => admission.dequeue(place),
        }
    }
    assert_eq!(admission.in_flight(), 12);
}

/// A target takes 1.7 times as long when more than nine of its twelve slots are used,
/// for all that runs there. The gate learns it, and starts no tenth call.
#[test]
fn the_slots_that_slow_all_down_are_left_free() {
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
        let place = admission.enqueue(&lookup, Millis(2_000));
        let verdict = admission.decide(place, &lookup, Millis(2_000));
        assert_eq!(verdict, Verdict::Start);
        admission.start(place);
    }
    let tenth = admission.enqueue(&lookup, Millis(2_000));
    let verdict = admission.decide(tenth, &lookup, Millis(2_000));
    assert_eq!(verdict, Verdict::Refuse(Refused::Busy));
    // Another life of the target may have no knee.
    admission.forget_target();
    assert_eq!(admission.limit(), 12);
}

/// Runs in a slow spell of the VM take long for another reason, and say nothing of
/// how many may run at once.
#[test]
fn slow_spells_are_no_knee() {
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
fn a_more_urgent_call_goes_first() {
    let mut admission = gate(1);
    read(&mut admission, 100, 0);
    let runs = admission.enqueue(&call(1_000, 2_000), Millis(0));
    admission.start(runs);
    let lookup = call(1_000, 2_000);
    let payment = GateCall {
        priority: 0,
        ..lookup
    };
    let lookup_place = admission.enqueue(&lookup, Millis(0));
    let payment_place = admission.enqueue(&payment, Millis(0));
    admission.finish();
    let verdict = admission.decide(lookup_place, &lookup, Millis(0));
    assert!(matches!(verdict, Verdict::Wait(_)), "{verdict:?}");
    let verdict = admission.decide(payment_place, &payment, Millis(0));
    assert_eq!(verdict, Verdict::Start);
}

/// More lookups come than a target can run. One that is late already waits
/// behind one that is not: the other way round both would be late.
#[test]
fn a_call_that_is_late_already_goes_last() {
    let mut admission = gate(1);
    read(&mut admission, 100, 0);
    let lookup = call(1_000, 2_000);
    let runs = admission.enqueue(&lookup, Millis(0));
    admission.start(runs);
    let late = GateCall {
        objective_at: Millis(50),
        ..lookup
    };
    let late_place = admission.enqueue(&late, Millis(0));
    let place = admission.enqueue(&lookup, Millis(0));
    admission.finish();
    let verdict = admission.decide(late_place, &late, Millis(0));
    assert!(matches!(verdict, Verdict::Wait(_)), "{verdict:?}");
    assert_eq!(admission.decide(place, &lookup, Millis(0)), Verdict::Start);
}

/// Uploads wait in line at a target, and another target asks it for a record
/// on behalf of a payment. The payment holds a slot there all the while.
#[test]
fn short_work_of_the_same_rank_goes_first() {
    let mut admission = gate(1);
    read(&mut admission, 100, 0);
    let runs = admission.enqueue(&call(1_000, 2_000), Millis(0));
    admission.start(runs);
    let upload = call(1_000, 2_000);
    let record = GateCall {
        work_ms: Millis(20),
        ..upload
    };
    let upload_place = admission.enqueue(&upload, Millis(0));
    let record_place = admission.enqueue(&record, Millis(0));
    admission.finish();
    let verdict = admission.decide(upload_place, &upload, Millis(0));
    assert!(matches!(verdict, Verdict::Wait(_)), "{verdict:?}");
    let verdict = admission.decide(record_place, &record, Millis(0));
    assert_eq!(verdict, Verdict::Start);
}

/// A fast gate of twelve slots, long work and work of a fifth of its length.
fn gate_with_uploads_and_questions() -> (Admission, GateCall, GateCall) {
    let mut admission = gate(12);
    read(&mut admission, 100, 0);
    let upload = call(1_000, 2_000);
    let question = GateCall {
        work_ms: Millis(20),
        ..upload
    };
    (admission, upload, question)
}

fn ask_questions(admission: &mut Admission, question: &GateCall, count: usize) {
    for _ in 0..count {
        let place = admission.enqueue(question, Millis(0));
        let verdict = admission.decide(place, question, Millis(0));
        assert_eq!(verdict, Verdict::Start);
        admission.start(place);
        admission.finish();
    }
}

/// One question in a second takes a fiftieth of a slot: uploads may use all.
#[test]
fn little_short_work_takes_no_slot_from_long_work() {
    let (mut admission, upload, question) = gate_with_uploads_and_questions();
    ask_questions(&mut admission, &question, 1);
    for _ in 0..12 {
        let place = admission.enqueue(&upload, Millis(0));
        assert_eq!(admission.decide(place, &upload, Millis(0)), Verdict::Start);
        admission.start(place);
    }
}

/// A service has lost half of its targets. Uploads hold the slots of the rest, and
/// questions that other targets ask for payments find none free: each refused one
/// costs a payment, though it would take a fifth of an upload's time.
#[test]
fn long_work_leaves_slots_to_short_work_that_came_lately() {
    let (mut admission, upload, question) = gate_with_uploads_and_questions();
    // Seventy-five questions of 20 ms a second hold one slot and a half.
    ask_questions(&mut admission, &question, 75);
    // Of twelve slots three are left free.
    for _ in 0..9 {
        let place = admission.enqueue(&upload, Millis(0));
        assert_eq!(admission.decide(place, &upload, Millis(0)), Verdict::Start);
        admission.start(place);
    }
    let tenth = admission.enqueue(&upload, Millis(0));
    let verdict = admission.decide(tenth, &upload, Millis(0));
    assert!(matches!(verdict, Verdict::Wait(_)), "{verdict:?}");
    ask_questions(&mut admission, &question, 1);
    // No more questions come, so nothing is left free for them.
    let later = LATELY_MS + Millis(1);
    read(&mut admission, 100, later.0);
    let verdict = admission.decide(tenth, &upload, later);
    assert_eq!(verdict, Verdict::Start);
}

#[test]
fn a_call_that_would_wait_too_long_learns_it_at_once() {
    let mut admission = gate(1);
    read(&mut admission, 100, 0);
    let runs = admission.enqueue(&call(1_000, 2_000), Millis(0));
    admission.start(runs);
    let waits = call(150, 2_000);
    let place = admission.enqueue(&waits, Millis(0));
    assert!(matches!(
        admission.decide(place, &waits, Millis(0)),
        Verdict::Wait(_)
    ));
    let behind = call(150, 2_000);
    let place = admission.enqueue(&behind, Millis(0));
    let verdict = admission.decide(place, &behind, Millis(0));
    assert_eq!(verdict, Verdict::Refuse(Refused::Busy));
}

#[test]
fn a_leaving_gate_and_a_dead_target_refuse() {
    let mut admission = gate(2);
    let call = call(1_000, 2_000);
    let place = admission.enqueue(&call, Millis(0));
    admission.note_connection_refused(Millis(0));
    let verdict = admission.decide(place, &call, Millis(10));
    assert_eq!(verdict, Verdict::Refuse(Refused::Down));
    let verdict = admission.decide(place, &call, DOWN_FOR_MS);
    assert_eq!(verdict, Verdict::ReadSpeed);
    admission.set_leaving(true);
    let verdict = admission.decide(place, &call, DOWN_FOR_MS);
    assert_eq!(verdict, Verdict::Refuse(Refused::Leaving));
}

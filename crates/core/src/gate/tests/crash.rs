//! Requests that crash targets, and the treatment of other requests in flight.

use super::*;
use crate::suspects::SuspicionLevel;

const BAD: u64 = 666;

fn with_fingerprint(fingerprint: u64) -> Arrival<'static> {
    Arrival {
        fingerprint,
        ..plain(FAR_DEADLINE_MS)
    }
}

fn wide_policy() -> ServicePolicy {
    ServicePolicy {
        slots: 4,
        queue_limit: 20,
        ..policy()
    }
}

/// Crashes the target with these calls in flight, and ends them.
fn crash(gate: &mut Gate, runs: &[RunId], now: Millis) -> CrashReport {
    let report = gate.target_crashed(now);
    for run in runs {
        gate.finish(*run, RunEnd::Broken, 1_000, now);
    }
    report
}

/// Creates a gate at which `BAD` and three other requests were in flight in a
/// crash.
fn crashed_gate() -> Gate {
    let mut gate = gate(&wide_policy());
    let runs = [1, 2, 3, BAD].map(|mark| run_of(gate.arrive(&with_fingerprint(mark), Millis(1))));
    crash(&mut gate, &runs, Millis(2));
    gate
}

#[test]
fn request_is_refused_after_two_crashes_in_the_fleet() {
    // A request crashes each target that runs it, and its caller sends it to
    // one gate after the other. After the first crash it runs alone; after the
    // second it is refused everywhere.
    let mut fleet = Suspects::new();
    let mut crashes = 0;
    for (vm, at) in [("vm-1", 1_000), ("vm-2", 2_000), ("vm-3", 3_000)] {
        let now = Millis(at);
        let mut gate = gate_of(vm, INCARNATION, &wide_policy());
        gate.update_suspects(Arc::new(fleet.snapshot()));
        let other = run_of(gate.arrive(&with_fingerprint(at), now));
        let bad = match gate.arrive(&with_fingerprint(BAD), now) {
            Verdict::Run(run) | Verdict::Wait(run) => run,
            refused => {
                assert_eq!(code_of(refused), ResultCode::CrashSuspect);
                continue;
            }
        };
        let mut runs = vec![other, bad];
        if crashes > 0 {
            let wakes = gate.finish(other, answered_plain(), 1_000, now);
            assert_eq!(
                wakes,
                [Wake::Start(bad)],
                "it runs alone, after the other call"
            );
            runs.remove(0);
        }
        crashes += 1;
        for entry in crash(&mut gate, &runs, now).entries {
            fleet.merge(&entry, now);
        }
    }
    assert_eq!(crashes, 2);
    assert_eq!(fleet.level(BAD), SuspicionLevel::Convicted);
    assert_eq!(fleet.level(2_000), SuspicionLevel::Clear);
}

#[test]
fn a_suspect_is_cleared_by_a_successful_run() {
    let mut gate = crashed_gate();
    let alone = run_of(gate.arrive(&with_fingerprint(1), Millis(10)));
    let other = gate.arrive(&with_fingerprint(77), Millis(11));
    assert!(
        matches!(other, Verdict::Wait(_)),
        "no call runs beside a suspect"
    );
    let wakes = gate.finish(alone, answered_plain(), 1_000, Millis(12));
    assert_eq!(wakes, [Wake::Start(run_of(other))]);
    let cleared = gate.take_cleared();
    assert_eq!(cleared.len(), 1);
    assert_eq!(cleared[0].level, SuspicionLevel::Clear);
    let again = gate.arrive(&with_fingerprint(1), Millis(13));
    assert!(
        matches!(again, Verdict::Run(_)),
        "it runs beside another call: {again:?}"
    );
}

#[test]
fn suspect_that_broke_before_the_report_is_convicted() {
    // The suspect runs alone and its connection breaks. Before the driver knows
    // that the target has crashed, the next calls are started. They reached a
    // crashed target, so they must neither be suspected nor keep the suspect
    // from being convicted.
    let mut gate = crashed_gate();
    let bad = run_of(gate.arrive(&with_fingerprint(BAD), Millis(10)));
    run_of(gate.arrive(&with_fingerprint(77), Millis(11)));
    let wakes = gate.finish(bad, RunEnd::Broken, 1_000, Millis(12));
    assert!(matches!(wakes[..], [Wake::Start(_)]), "{wakes:?}");
    let report = gate.target_crashed(Millis(12));
    assert_eq!(report.entries.len(), 1);
    assert_eq!(report.entries[0].fingerprint, BAD);
    assert_eq!(report.entries[0].level, SuspicionLevel::Convicted);
    let ticket = ticket(1, TICKET_TTL_MS);
    let refused = gate.arrive(
        &Arrival {
            fingerprint: BAD,
            ..with_ticket(&ticket)
        },
        Millis(13),
    );
    assert_eq!(code_of(refused), ResultCode::CrashSuspect);
    let late = gate.arrive(&with_ticket(&ticket), Millis(14));
    assert_eq!(
        code_of(late),
        ResultCode::Fenced,
        "stays fenced even without the conviction"
    );
}

#[test]
fn calls_that_met_a_dead_target_are_not_suspected() {
    // Two calls break in a crash. Before the driver reports it, a third is
    // started, which cannot have caused the crash.
    let mut gate = gate(&wide_policy());
    let runs = [1, 2].map(|mark| run_of(gate.arrive(&with_fingerprint(mark), Millis(1))));
    for run in runs {
        gate.finish(run, RunEnd::Broken, 1_000, Millis(2));
    }
    run_of(gate.arrive(&with_fingerprint(77), Millis(2)));
    let report = gate.target_crashed(Millis(3));
    let marks: Vec<u64> = report.entries.iter().map(|it| it.fingerprint).collect();
    assert_eq!(marks, [1, 2]);
}

#[test]
fn suspect_alone_is_the_culprit_even_if_another_breaks_after_it() {
    // The suspect ran alone and its connection broke. The crashing target still
    // accepted the next call, which broke as well before the report.
    let mut gate = crashed_gate();
    let bad = run_of(gate.arrive(&with_fingerprint(BAD), Millis(10)));
    let next = run_of(gate.arrive(&with_fingerprint(77), Millis(11)));
    gate.finish(bad, RunEnd::Broken, 1_000, Millis(12));
    gate.finish(next, RunEnd::Broken, 1_000, Millis(13));
    let report = gate.target_crashed(Millis(14));
    assert_eq!(report.entries.len(), 1);
    assert_eq!(report.entries[0].fingerprint, BAD);
    assert_eq!(report.entries[0].level, SuspicionLevel::Convicted);
}

#[test]
fn second_report_of_one_crash_suspects_nobody() {
    // For each broken connection the driver reports the same crash, before or
    // after its run is ended. If it counted twice, one crash would convict a
    // request that was alone in flight.
    let mut gate = gate(&wide_policy());
    let run = run_of(gate.arrive(&with_fingerprint(1), Millis(1)));
    assert_eq!(gate.target_crashed(Millis(2)).in_flight, 1);
    assert_eq!(gate.target_crashed(Millis(2)).entries, []);
    gate.finish(run, RunEnd::Broken, 1_000, Millis(2));
    assert_eq!(gate.target_crashed(Millis(3)).entries, []);
    assert_eq!(gate.own_suspects.level(1), SuspicionLevel::Suspect);
}

#[test]
fn other_calls_are_served_between_suspects() {
    // Many suspects wait at once, as after the crash of a busy target. The
    // target must be idle for each of them; without turns the other calls would
    // wait for all suspects.
    let mut gate = crashed_gate();
    let first = run_of(gate.arrive(&with_fingerprint(1), Millis(10)));
    for mark in [2, 3, BAD] {
        run_of(gate.arrive(&with_fingerprint(mark), Millis(11)));
    }
    for mark in 100..106 {
        run_of(gate.arrive(&with_fingerprint(mark), Millis(12)));
    }
    let wakes = gate.finish(first, answered_plain(), 1_000, Millis(13));
    assert_eq!(
        wakes.len(),
        4,
        "one start per slot for the other calls: {wakes:?}"
    );
}

#[test]
fn long_call_does_not_let_a_suspect_block_the_target() {
    // An upload runs for half a minute when a suspect arrives. The target may
    // be held idle for a moment so that the suspect can run alone, but not for
    // half a minute.
    let mut gate = crashed_gate();
    run_of(gate.arrive(&plain(FAR_DEADLINE_MS), Millis(10)));
    let suspect = run_of(gate.arrive(&with_fingerprint(1), Millis(11)));
    let other = run_of(gate.arrive(&plain(FAR_DEADLINE_MS), Millis(12)));
    assert_eq!(gate.tick(Millis(400)), []);
    let wakes = gate.tick(Millis(600));
    assert!(refused(suspect, ResultCode::Overloaded, &wakes));
    assert!(wakes.contains(&Wake::Start(other)), "{wakes:?}");
}

#[test]
fn hanging_suspect_loses_exclusive_use_of_the_target() {
    let mut gate = crashed_gate();
    let suspect = run_of(gate.arrive(&with_fingerprint(1), Millis(10)));
    let other = run_of(gate.arrive(&plain(FAR_DEADLINE_MS), Millis(11)));
    let wakes = gate.tick(Millis(1_100));
    assert_eq!(wakes, [Wake::Start(other)]);
    gate.finish(suspect, answered_plain(), 1_000, Millis(1_200));
    assert_eq!(
        gate.take_cleared(),
        [],
        "it did not run alone until its end"
    );
}

#[test]
fn reported_suspect_is_convicted_by_its_second_crash() {
    // A request crashes its target, and its entry retries it at once at a gate
    // that does not know of the crash. It runs alone there, so that no other
    // call is affected. When it crashes that target too, it is refused from
    // then on.
    let mut gate = gate(&wide_policy());
    let now = Millis(1);
    let other = run_of(gate.arrive(&with_fingerprint(1), now));
    assert_eq!(
        gate.report_suspect(BAD, now).map(|entry| entry.level),
        Some(SuspicionLevel::Suspect)
    );
    let Verdict::Wait(bad) = gate.arrive(&with_fingerprint(BAD), now) else {
        panic!("a reported suspect waits until it can run alone");
    };
    let wakes = gate.finish(other, answered_plain(), 1_000, Millis(5));
    assert_eq!(wakes, vec![Wake::Start(bad)]);
    crash(&mut gate, &[bad], Millis(6));
    let again = gate.arrive(&with_fingerprint(BAD), Millis(7));
    assert_eq!(code_of(again), ResultCode::CrashSuspect);
}

#[test]
fn reporting_a_known_or_missing_fingerprint_changes_nothing() {
    // The gate already knows of the crash, or the entry sent no fingerprint.
    // Nothing is counted twice, and an innocent request is cleared by one
    // successful run.
    let mut gate = crashed_gate();
    assert_eq!(gate.report_suspect(BAD, Millis(3)), None);
    assert_eq!(gate.report_suspect(0, Millis(3)), None);
    assert!(gate.report_suspect(7, Millis(3)).is_some());
    let run = run_of(gate.arrive(&with_fingerprint(7), Millis(4)));
    gate.finish(run, answered_plain(), 1_000, Millis(5));
    let cleared = gate.take_cleared();
    assert_eq!(cleared.len(), 1);
    assert_eq!(cleared[0].level, SuspicionLevel::Clear);
}

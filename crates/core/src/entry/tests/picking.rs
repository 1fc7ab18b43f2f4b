//! Which targets get work, and how much.

use super::*;

/// After a partition, control messages stop and every target becomes doubtful
/// at once, although all of them still work. Calls must not be refused.
#[test]
fn doubtful_targets_serve_when_no_others_are_there() {
    let mut snapshot = view(3);
    for target in &mut snapshot.targets {
        target.doubtful = true;
    }
    let mut service = service(&snapshot);
    let counts = run(&mut service, 0, 300, |_| SUCCESS);
    assert!(counts[..3].iter().all(|count| *count > 50), "{counts:?}");
}

#[test]
fn a_doubtful_target_gets_nothing_while_others_are_there() {
    let mut snapshot = view(3);
    snapshot.targets[1].doubtful = true;
    let mut service = service(&snapshot);
    assert_eq!(run(&mut service, 0, 300, |_| SUCCESS)[1], 0);
}

/// The gate announces in an answer that it is leaving, long before the VM list
/// says so. Calls sent to it would be refused, or cut off when the VM is
/// removed.
#[test]
fn a_leaving_target_gets_no_work_after_its_first_notice() {
    let mut service = service(&view(3));
    let leaving = LoadReport {
        leaving: true,
        ..report(0, 1, 50)
    };
    answer_with_load(&mut service, &leaving, 1);
    assert_eq!(run(&mut service, 2, 300, |_| SUCCESS)[0], 0);

    let mut snapshot = view(3);
    for (clock_ms, works_again) in [(40, false), (60, true)] {
        snapshot.targets[0].load = received_load(0, 0, clock_ms);
        service.update(Arc::new(snapshot.clone()), Millis(400));
        let count = run(&mut service, 400, 300, |_| SUCCESS)[0];
        assert_eq!(count > 0, works_again, "report created at {clock_ms} ms");
    }
}

#[test]
fn a_refusal_as_leaving_stops_new_work() {
    let mut service = service(&view(3));
    end_at(&mut service, 0, refused(ResultCode::Leaving), 1);
    assert_eq!(run(&mut service, 2, 300, |_| SUCCESS)[0], 0);
    let mut snapshot = view(3);
    for (received_at, works_again) in [(500, false), (1_500, true)] {
        snapshot.targets[0].load = received_load(0, 0, received_at);
        service.update(Arc::new(snapshot.clone()), Millis(2_000));
        let count = run(&mut service, 2_000, 300, |_| SUCCESS)[0];
        assert_eq!(
            count > 0,
            works_again,
            "report received at {received_at} ms"
        );
    }
}

#[test]
fn a_service_whose_targets_all_leave_is_refused_as_not_run() {
    let mut snapshot = view(2);
    for target in &mut snapshot.targets {
        target.leaving = true;
    }
    let refusal = pick_excluding(&mut service(&snapshot), &[], 1).expect_err("no target is usable");
    assert_eq!(refusal.code, ResultCode::NoTarget);
    assert!(refusal.retry_after_ms.is_some());
}

/// A new target is idle, so every entry finds it the best one. Without a ramp,
/// all of them would flood it in its first second while its caches are cold.
#[test]
fn a_cold_target_gets_a_growing_share() {
    let mut service = service(&view(2));
    run(&mut service, 0, 100, |_| SUCCESS);
    service.update(Arc::new(view(3)), Millis(20_000));
    let early = run(&mut service, 20_000, 1_000, |_| SUCCESS)[2];
    let middle = run(&mut service, 25_000, 1_000, |_| SUCCESS)[2];
    let warm = run(&mut service, 31_000, 1_000, |_| SUCCESS)[2];
    assert!((1..=60).contains(&early), "{early} of 1000 calls when cold");
    assert!(
        (60..=250).contains(&middle),
        "{middle} of 1000 calls half-way through the ramp"
    );
    assert!(
        (270..=400).contains(&warm),
        "{warm} of 1000 calls when warm"
    );
}

/// The ramp also holds under load, when the warm targets are much busier.
#[test]
fn a_cold_target_is_not_flooded_because_it_is_empty() {
    let mut service = service(&view(2));
    service.update(Arc::new(view(3)), Millis(20_000));
    for _ in 0..224 {
        pick(&mut service, 20_000);
    }
    let cold = service.in_flight(TargetIndex(2));
    assert!((1..=12).contains(&cold), "{cold} of 224 concurrent calls");
}

/// A restarted target must not inherit the slowness and the failures of its
/// previous incarnation, and outcomes of attempts at the old one must not count
/// against the new one.
#[test]
fn a_new_incarnation_starts_afresh() {
    let mut service = service(&view(3));
    let old = pick(&mut service, 1);
    let number = old.target.0 as usize;
    let mut snapshot = view(3);
    snapshot.targets[number].incarnation = Some(NEW_INCARNATION);
    service.update(Arc::new(snapshot), Millis(20_000));
    service.finish(&old, &ended(AttemptEnd::Unreachable), Millis(20_001));
    assert_eq!(service.ejected_targets(), 0);
    assert_eq!(service.in_flight(old.target), 0);
    let share = run(&mut service, 20_002, 1_000, |_| SUCCESS)[number];
    assert!(
        (1..=60).contains(&share),
        "{share} of 1000 calls when cold again"
    );
}

/// The view lags behind: it names the old incarnation after an answer came from
/// the new one. If the VM's clock was set back, the later incarnation has a
/// lower number and is accepted once view and answer agree.
#[test]
fn the_incarnation_that_answers_is_current() {
    let mut service = service(&view(3));
    let restarted = LoadReport {
        incarnation: NEW_INCARNATION,
        ..report(0, 0, 5)
    };
    answer_with_load(&mut service, &restarted, 1);
    service.update(Arc::new(view(3)), Millis(2));
    assert_eq!(service.table.at(0).incarnation, Some(NEW_INCARNATION));
    answer_with_load(&mut service, &report(0, 0, 5), 3);
    assert_eq!(service.table.at(0).incarnation, Some(incarnation_of(0)));
}

/// Sends a call every two milliseconds for four seconds. Target 0 takes
/// `slow_ms` and the others 20 ms. Returns the calls per target.
fn run_with_slow_target(slow_ms: u64, reported: bool) -> [u32; 3] {
    send_evenly(&mut service(&view(3)), 0, slow_ms, reported)
}

fn send_evenly(service: &mut EntryService, from: u64, slow_ms: u64, reported: bool) -> [u32; 3] {
    let mut open: Vec<(u64, Pick)> = Vec::new();
    let mut counts = [0_u32; 3];
    for now in from..from + 4_000 {
        let (due, rest): (Vec<_>, Vec<_>) = open.into_iter().partition(|(at, _)| *at <= now);
        open = rest;
        for (_, pick) in due {
            let mut outcome = ended(SUCCESS);
            outcome.latency_us = (now - pick.started_at.0) as u32 * 1_000;
            outcome.load = reported.then(|| report(pick.target.0 as usize, 1, now));
            service.finish(&pick, &outcome, Millis(now));
        }
        if now % 2 == 0 {
            let pick = pick(service, now);
            counts[pick.target.0 as usize] += 1;
            let took_ms = if pick.target.0 == 0 { slow_ms } else { 20 };
            open.push((now + took_ms, pick));
        }
    }
    counts
}

/// A target that never fails but answers ten times slower than the others
/// delays its callers. It must get few calls, also if its gate does not see the
/// slowness because it lies between entry and gate.
#[test]
fn a_slow_target_gets_little_by_score_alone() {
    for reported in [false, true] {
        let counts = run_with_slow_target(200, reported);
        assert!(counts[0] * 10 < counts[1], "{counts:?}");
        assert!(counts[0] > 0, "{counts:?}");
    }
}

#[test]
fn a_target_that_was_slow_gets_its_share_back() {
    let mut service = service(&view(3));
    send_evenly(&mut service, 0, 200, true);
    send_evenly(&mut service, 10_000, 20, true);
    let counts = send_evenly(&mut service, 20_000, 20, true);
    assert!(counts[0] > 500, "{counts:?}");
}

/// A paused process keeps its connections and answers nothing, so no error or
/// latency is seen until the first deadline passes.
#[test]
fn a_target_that_stalls_gets_little_before_anything_times_out() {
    let counts = run_with_slow_target(60_000, true);
    assert!(counts[0] <= 20, "{counts:?}");
}

/// A noisy neighbour freezes a VM. Nothing fails, and the last report from
/// before continues to look harmless. If this entry's own attempts pile up
/// there, so do those of others, and the target must be avoided at once.
#[test]
fn own_unanswered_attempts_raise_the_estimated_load() {
    let mut service = service(&view(3));
    for now in 0..200 {
        for number in 0..3 {
            answer_with_load(&mut service, &report(number, 5, now), now);
        }
    }
    for _ in 0..3 {
        service.pick_fixed(TargetIndex(0), Millis(200));
    }
    for _ in 0..4 {
        pick(&mut service, 260);
    }
    assert_eq!(service.in_flight(TargetIndex(0)), 3);
    let stats = &service.table.at(0).stats;
    assert!(stats.load_ratio(&service.averages, 12, Millis(260)) > 1.0);
}

/// Half of the slots of the near target are free, so a call there does not
/// wait. Sending it to another data centre would cost 3 ms for nothing.
#[test]
fn a_half_loaded_near_target_is_preferred() {
    let mut snapshot = view(2);
    snapshot.targets[1].distance_us = 1_500;
    let mut service = service(&snapshot);
    for now in 0..200 {
        answer_with_load(&mut service, &report(0, 6, now), now);
        answer_with_load(&mut service, &report(1, 2, now), now);
    }
    let counts = run(&mut service, 200, 200, |_| SUCCESS);
    assert!(counts[0] >= 190, "{:?}", &counts[..2]);
}

/// Reports that arrive at a constant rate must count as fresh even if this
/// node's clock runs ahead of the gate's by 100 ppm for a day.
#[test]
fn drifting_clocks_do_not_make_reports_look_old() {
    let mut service = service(&view(1));
    for minute in 0..1_440 {
        let gate_clock_ms = minute * 60_000;
        let now = gate_clock_ms + gate_clock_ms / 10_000;
        answer_with_load(&mut service, &report(0, 12, gate_clock_ms), now);
        let stats = &service.table.at(0).stats;
        assert!(stats.load_ratio(&service.averages, 12, Millis(now)) > 0.95);
    }
}

/// A report that shows the target as it was 400 ms ago is delayed on the way
/// and looks fresh on arrival. It must be trusted less.
#[test]
fn a_report_delayed_on_its_way_is_believed_less() {
    let load_by = |delay_ms: u64| {
        let mut service = service(&view(3));
        answer_with_load(&mut service, &report(0, 0, 1_000), 1_000);
        let late = report(0, 12, 2_000 - delay_ms);
        answer_with_load(&mut service, &late, 2_000);
        let stats = &service.table.at(0).stats;
        stats.load_ratio(&service.averages, 12, Millis(2_000))
    };
    assert!(load_by(0) > 0.95);
    assert!(load_by(400) < 0.1);
}

/// A report in an answer includes this entry's own attempts. If they were
/// counted twice, the entry would avoid the target that it uses most.
#[test]
fn own_attempts_are_not_counted_twice() {
    let mut service = service(&view(3));
    for _ in 0..4 {
        service.pick_fixed(TargetIndex(0), Millis(1));
    }
    answer_with_load(&mut service, &report(0, 10, 2), 2);
    let ratio = service.table.at(0).stats.others_ratio();
    assert_eq!(ratio, Some(6.0 / 12.0));
}

/// A gate that refuses for overload gets fewer calls, but its target is not
/// ejected.
#[test]
fn a_refusal_for_overload_raises_the_load_and_is_no_failure() {
    let mut service = service(&view(3));
    run(&mut service, 0, 50, |_| SUCCESS);
    let first = pick(&mut service, 50);
    service.finish(&first, &ended(refused(ResultCode::Overloaded)), Millis(50));
    let mut counts = [0; 3];
    for _ in 0..20 {
        let pick = pick(&mut service, 51);
        counts[pick.target.0 as usize] += 1;
        service.finish(&pick, &ended(SUCCESS), Millis(51));
    }
    assert_eq!(counts[first.target.0 as usize], 0, "{counts:?}");
    for now in 52..100 {
        end_at(
            &mut service,
            first.target.0,
            refused(ResultCode::Overloaded),
            now,
        );
    }
    assert_eq!(service.ejected_targets(), 0);
}

#[test]
fn a_near_target_is_preferred_until_it_is_busy() {
    let mut snapshot = view(2);
    snapshot.targets[1].distance_us = 5_000;
    let mut service = service(&snapshot);
    let mut counts = [0; 2];
    for _ in 0..40 {
        counts[pick(&mut service, 1).target.0 as usize] += 1;
    }
    assert!(counts[0] > counts[1] && counts[1] > 0, "{counts:?}");
}

/// With more than a few targets, two are drawn at random. No target is starved,
/// and excluded and leaving targets are never drawn.
#[test]
fn many_targets_share_evenly() {
    let mut snapshot = view(500);
    snapshot.targets[17].leaving = true;
    let mut service = service(&snapshot);
    let counts = run(&mut service, 0, 50_000, |_| SUCCESS);
    assert_eq!(counts[17], 0);
    let (least, most) = (counts[..500].iter().filter(|count| **count > 0))
        .fold((u32::MAX, 0), |(least, most), count| {
            (least.min(*count), most.max(*count))
        });
    assert!(
        least >= 50 && most <= 170,
        "{least} to {most} calls per target"
    );
    let tried = [TargetIndex(0), TargetIndex(1)];
    for _ in 0..2_000 {
        let pick = pick_excluding(&mut service, &tried, 60_000).expect("other targets are usable");
        assert!(!tried.contains(&pick.target));
    }
}

#[test]
fn an_index_stays_with_its_vm_and_is_reused_only_when_nothing_is_open() {
    let mut service = service(&view(2));
    let (index, _) = service.target_on(&VmId::new("vm-001")).expect("known");
    let open = service.pick_fixed(index, Millis(1));
    let mut snapshot = view(3);
    snapshot.targets.remove(1);
    service.update(Arc::new(snapshot.clone()), Millis(2));
    assert!(service.target(index).is_none());
    let (other, _) = service.target_on(&VmId::new("vm-002")).expect("known");
    assert_ne!(other, index);
    service.finish(&open, &ended(SUCCESS), Millis(3));
    snapshot.targets.push(target_view(3));
    service.update(Arc::new(snapshot), Millis(4));
    let (reused, found) = service.target_on(&VmId::new("vm-003")).expect("known");
    assert_eq!((reused, found.vm.as_str()), (index, "vm-003"));
}

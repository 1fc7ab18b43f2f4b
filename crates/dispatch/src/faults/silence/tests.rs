//! Tests of the confirmation timeout and of what is known of silent VMs.

use super::*;

mod fleet;

const OWN: u8 = 1;

fn vm(number: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, number])
}

fn known() -> SilentVms {
    SilentVms::new(vm(OWN))
}

fn report(observations: &[(u8, u8, u64)]) -> SilenceReport {
    let mut vms = Vec::new();
    for &(silent, observer, age_ms) in observations {
        vms.push(SilentVm {
            vm: vm(silent),
            observer: vm(observer),
            age_ms: Millis(age_ms),
        });
    }
    SilenceReport { vms }
}

fn merge(known: &mut SilentVms, observations: &[(u8, u8, u64)], now: Millis) -> Vec<IpAddr> {
    known.merge(&report(observations), |_| None, now)
}

fn targets(vms: std::ops::Range<u8>) -> Vec<Arc<Member>> {
    let mut targets = Vec::new();
    for number in vms {
        targets.push(Arc::new(Member {
            id: TargetId::new(&format!("i-{number}")),
            service: ServiceName::new("s"),
            address: std::net::SocketAddr::new(vm(number), 80),
            data_centre: DataCentre::new("here"),
            slots: 8,
            draining: false,
            listing_order: Revision::new(0, 1),
            started_at_ms: None,
        }));
    }
    targets
}

#[test]
fn the_timeout_is_three_round_trips_and_60_ms_within_its_bounds() {
    assert_eq!(confirmation_timeout_ms(None), Millis(150));
    for (round_trip_us, timeout_ms) in [
        (100, 80),
        (1_000, 80),
        (6_800, 81),
        (20_000, 120),
        (40_000, 150),
        (u64::MAX, 150),
    ] {
        assert_eq!(
            confirmation_timeout_ms(Some(round_trip_us)),
            Millis(timeout_ms),
            "{round_trip_us} us"
        );
    }
}

#[test]
fn an_attempt_is_overdue_at_the_end_of_its_timeout() {
    let mut confirmation = Confirmation::expect(Millis(80), Millis(1_000));
    assert_eq!(confirmation.due_at(), Millis(1_080));
    assert!(!confirmation.is_overdue(Millis(1_079)));
    assert!(confirmation.is_overdue(Millis(1_080)));
}

/// Guards against withdrawing all attempts of an entry that was paused for 300 ms itself.
/// Their confirmations have arrived and are read just after the timers.
#[test]
fn a_paused_entry_reads_what_has_arrived_before_it_withdraws() {
    let mut confirmation = Confirmation::expect(Millis(80), Millis(1_000));
    assert!(!confirmation.is_overdue(Millis(1_300)));
    assert_eq!(confirmation.due_at(), Millis(1_320));
    assert!(confirmation.is_overdue(Millis(1_900)), "extended twice");
}

#[test]
fn a_vm_is_silent_by_own_observation_until_something_is_received() {
    let mut known = known();
    assert!(known.note_silent(vm(2), Millis(1_000)));
    assert!(!known.note_silent(vm(2), Millis(1_010)), "not a new state");
    assert!(known.is_silent(vm(2), Millis(1_010)));
    assert!(!known.is_silent(vm(3), Millis(1_010)));
    assert!(known.note_received(vm(2)));
    assert!(!known.is_silent(vm(2), Millis(1_011)));
    assert!(known.is_empty());
    assert!(!known.note_received(vm(2)), "it was not silent");
}

/// Guards against a VM that is back and never tried again, because nothing is sent to it.
#[test]
fn an_own_observation_expires() {
    let mut known = known();
    known.note_silent(vm(2), Millis(1_000));
    assert!(known.is_silent(vm(2), Millis(2_499)));
    assert!(!known.is_silent(vm(2), Millis(2_500)));
    known.note_silent(vm(2), Millis(2_600));
    assert!(known.is_silent(vm(2), Millis(2_600)), "observed again");
}

/// Guards against a node that avoids a VM because one observer has a bad connection to it.
#[test]
fn two_distinct_observers_demote_a_vm() {
    let targets = targets(2..8);
    let mut known = known();
    let now = Millis(5_000);
    assert!(merge(&mut known, &[(2, 11, 0), (2, 11, 900)], now).is_empty());
    assert!(known.demoted(&targets, now).is_empty());
    assert_eq!(merge(&mut known, &[(2, 12, 100)], now), [vm(2)]);
    assert_eq!(known.demoted(&targets, now), [&targets[0].id]);
    assert_eq!(known.count(now), 1);
    assert!(!known.is_silent(vm(2), now), "it was not observed here");
}

/// Guards against counting this node's own observation, which other nodes return to it.
#[test]
fn an_own_observation_that_returns_is_no_second_observer() {
    let mut known = known();
    let now = Millis(5_000);
    known.note_silent(vm(2), now);
    merge(&mut known, &[(2, 11, 0), (2, OWN, 0), (2, 2, 0)], now);
    assert!(!known.is_reported(vm(2), now));
}

#[test]
fn a_node_does_not_believe_that_it_is_silent_itself() {
    let mut known = known();
    merge(&mut known, &[(OWN, 11, 0), (OWN, 12, 0)], Millis(5_000));
    assert!(known.is_empty());
}

/// Guards against demoting a VM that responded here after others found it silent.
#[test]
fn a_later_receipt_contradicts_a_report() {
    let now = Millis(5_000);
    let observations = report(&[(2, 11, 100), (2, 12, 100)]);
    let mut known = known();
    known.merge(&observations, |_| Some(Millis(4_950)), now);
    assert!(!known.is_reported(vm(2), now));
    known.merge(&observations, |_| Some(Millis(4_850)), now);
    assert!(known.is_reported(vm(2), now));
    known.note_received(vm(2));
    assert!(!known.is_reported(vm(2), now));
}

#[test]
fn reports_count_for_1500_ms_from_the_observation() {
    let mut known = known();
    let now = Millis(5_000);
    merge(
        &mut known,
        &[(2, 11, 1_400), (2, 12, 0), (3, 11, 1_500), (3, 12, 0)],
        now,
    );
    assert!(known.is_reported(vm(2), Millis(5_099)));
    assert!(!known.is_reported(vm(2), Millis(5_100)));
    assert!(!known.is_reported(vm(3), now), "one report was too old");
    known.forget_expired(Millis(6_500));
    assert!(known.is_empty());
}

/// Guards against a faulty observer that leaves a service without targets.
#[test]
fn at_most_a_third_of_the_targets_is_demoted() {
    for count in 1..=12_u8 {
        let targets = targets(2..2 + count);
        let mut known = known();
        for target in 2..2 + count {
            merge(&mut known, &[(target, 31, 0), (target, 32, 0)], Millis(9));
        }
        let demoted = known.demoted(&targets, Millis(9)).len();
        assert_eq!(demoted, usize::from(count) / 3, "of {count}");
    }
}

#[test]
fn the_vms_with_the_most_observers_are_demoted() {
    let targets = targets(2..5);
    let mut known = known();
    merge(&mut known, &[(2, 11, 0), (2, 12, 0)], Millis(9));
    merge(&mut known, &[(4, 11, 0), (4, 12, 0), (4, 13, 0)], Millis(9));
    assert_eq!(known.demoted(&targets, Millis(9)), [&targets[2].id]);
}

/// Guards against unlimited memory and reports that fill a slow network.
#[test]
fn observers_vms_and_lengths_are_limited() {
    let mut known = known();
    let now = Millis(100);
    for observer in 100..110 {
        merge(&mut known, &[(2, observer, 0)], now);
    }
    assert_eq!(known.observers(vm(2), now), 3);
    for silent in 3..=99 {
        merge(&mut known, &[(silent, 100, 0)], now);
    }
    assert_eq!(known.vms.len(), 64);
    let first = known.report(&mut ReportCursor::default(), now);
    assert_eq!(first.expect("a report").vms.len(), 16);
    known.note_silent(vm(200), now);
    assert!(known.is_silent(vm(200), now), "own ones are not limited");
}

#[test]
fn a_link_gets_each_observation_once_with_its_age_and_not_too_often() {
    let mut known = known();
    let mut cursor = ReportCursor::default();
    assert_eq!(known.report(&mut cursor, Millis(900)), None);
    known.note_silent(vm(2), Millis(1_000));
    merge(&mut known, &[(3, 11, 300)], Millis(1_000));
    assert_eq!(
        known.report(&mut cursor, Millis(1_010)),
        Some(report(&[(2, OWN, 10), (3, 11, 310)]))
    );
    assert_eq!(known.report(&mut cursor, Millis(1_200)), None);
    known.note_silent(vm(4), Millis(1_210));
    let expected = Some(report(&[(4, OWN, 10)]));
    assert_eq!(known.report(&mut cursor, Millis(1_220)), expected);
    known.note_silent(vm(5), Millis(1_230));
    assert_eq!(known.report(&mut cursor, Millis(1_269)), None, "too early");
    assert!(known.report(&mut cursor, Millis(1_270)).is_some());
    let mut other = ReportCursor::default();
    let all = known.report(&mut other, Millis(1_300)).expect("a report");
    assert_eq!(all.vms.len(), 4, "another link gets all of them");
}

#[test]
fn a_long_report_continues_with_the_next_one() {
    let mut known = known();
    for silent in 10..40 {
        known.note_silent(vm(silent), Millis(100));
    }
    let mut cursor = ReportCursor::default();
    let mut reported = Vec::new();
    for now in [100, 150, 200] {
        let report = known.report(&mut cursor, Millis(now));
        reported.extend(report.unwrap_or_default().vms);
    }
    let mut vms: Vec<IpAddr> = reported.iter().map(|silent| silent.vm).collect();
    vms.sort_unstable();
    vms.dedup();
    assert_eq!((reported.len(), vms.len()), (30, 30));
}

/// Guards against two nodes that return an observation to each other for ever: each transfer
/// makes it look younger by the delay of the network.
#[test]
fn an_observation_that_two_nodes_return_to_each_other_ends() {
    const DELAY_MS: Millis = Millis(40);
    let mut nodes = [SilentVms::new(vm(1)), SilentVms::new(vm(3))];
    let mut cursors = [ReportCursor::default(); 2];
    let mut now = Millis(1_000);
    merge(&mut nodes[0], &[(2, 11, 0)], now);
    let mut sent = 0;
    for turn in 0..100 {
        let from = turn % 2;
        let report = nodes[from].report(&mut cursors[from], now);
        now = now + DELAY_MS;
        let Some(report) = report else { continue };
        sent += report.vms.len();
        nodes[1 - from].merge(&report, |_| None, now);
    }
    assert!(sent <= 2, "sent {sent} times");
}

#[test]
fn an_observation_is_renewed_while_the_vm_stays_silent() {
    let mut known = known();
    merge(&mut known, &[(2, 11, 0), (2, 12, 0)], Millis(1_000));
    merge(&mut known, &[(2, 11, 0), (2, 12, 0)], Millis(2_000));
    assert!(known.is_reported(vm(2), Millis(3_400)));
}

#[test]
fn nothing_is_known_after_the_state_was_cleared() {
    let mut known = known();
    known.note_silent(vm(2), Millis(1_000));
    known.clear();
    assert!(known.is_empty());
    assert_eq!(
        known.report(&mut ReportCursor::default(), Millis(1_001)),
        None
    );
}

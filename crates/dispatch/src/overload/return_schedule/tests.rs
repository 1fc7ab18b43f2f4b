//! Tests of scheduling retries, in virtual time.

use super::*;

mod overload;

const WORK_MS: Millis = Millis(80);
/// One run each 50 ms: 4 slots are set aside.
const RATE_PER_S: f64 = 20.0;
const SPAN_MS: u64 = 50;

fn first_class() -> LoadClass {
    LoadClass::of_priority(0)
}

fn last_class() -> LoadClass {
    LoadClass::of_priority(2)
}

fn key(fingerprint: u64, deadline_at: u64) -> RequestKey {
    RequestKey {
        fingerprint,
        deadline_at: Millis(deadline_at),
    }
}

/// A schedule for one service, with what most tests leave unchanged.
struct Scheduler {
    schedule: ReturnSchedule,
    service: ServiceName,
    rate_per_s: f64,
}

impl Scheduler {
    fn new() -> Self {
        Self {
            schedule: ReturnSchedule::default(),
            service: ServiceName::new("actas"),
            rate_per_s: RATE_PER_S,
        }
    }

    fn reserve_in(&mut self, class: LoadClass, key: RequestKey, now: u64) -> RetryTime {
        let wish = RetryWish {
            key,
            service: &self.service,
            class,
            work_ms: WORK_MS,
            rate_per_s: self.rate_per_s,
        };
        self.schedule.reserve(&wish, Millis(now))
    }

    fn reserve(&mut self, key: RequestKey, now: u64) -> RetryTime {
        self.reserve_in(first_class(), key, now)
    }

    /// Reserves a time for a caller that has so much time left that it gets one.
    fn must_reserve(&mut self, key: RequestKey, now: u64) -> u64 {
        reserved(self.reserve(key, now))
    }

    fn arrive(&mut self, key: RequestKey, now: u64) -> Arrival {
        self.schedule.arrive(&self.service, key, Millis(now))
    }

    fn open(&self) -> usize {
        self.schedule.open(&self.service)
    }
}

fn reserved(time: RetryTime) -> u64 {
    match time {
        RetryTime::Reserved(at) => at.0,
        RetryTime::Unreserved(at) => panic!("no reservation, capacity expected at {at}"),
    }
}

/// Asserts that in no span of time more retries are reserved than the rate allows.
fn assert_spaced(times: &mut [u64], span_ms: u64) {
    times.sort_unstable();
    for pair in times.windows(2) {
        assert!(pair[0] + span_ms <= pair[1], "{pair:?} are too close");
    }
}

/// Guards against more retries at one instant than capacity is set aside for.
#[test]
fn reservations_are_spaced_by_the_rate() {
    let mut scheduler = Scheduler::new();
    let mut times = Vec::new();
    for number in 0..100 {
        // Callers are refused in bursts of ten.
        let now = number / 10 * 40;
        if let RetryTime::Reserved(at) = scheduler.reserve(key(number, now + 1_200), now) {
            times.push(at.0);
        }
    }
    assert!(times.len() >= 10, "only {} reservations", times.len());
    assert_spaced(&mut times, SPAN_MS);
}

/// Guards against retry times that callers do not honour, or that leave no time for the
/// run.
#[test]
fn a_reservation_fits_into_the_callers_remaining_time() {
    for left_ms in 0..2_000 {
        let mut scheduler = Scheduler::new();
        for number in 0..8 {
            let now = 5_000;
            match scheduler.reserve(key(number, now + left_ms), now) {
                RetryTime::Reserved(at) => {
                    assert!(at.since(Millis(now)).0 * 3 <= left_ms, "{at} of {left_ms}");
                    assert!(at.0 + WORK_MS.0 <= now + left_ms, "{at} of {left_ms}");
                }
                RetryTime::Unreserved(at) => assert!(at.0 > now, "{at}"),
            }
        }
    }
}

/// Guards against telling callers without a reservation a time at which there is no
/// capacity, or the same time to all of them.
#[test]
fn callers_without_a_reservation_are_told_when_capacity_is_expected() {
    let mut scheduler = Scheduler::new();
    let mut last = 0;
    while let RetryTime::Reserved(at) = scheduler.reserve(key(last, 1_000), 0) {
        last = at.0;
    }
    let mut times = Vec::new();
    for number in 0..10 {
        let RetryTime::Unreserved(at) = scheduler.reserve(key(10_000 + number, 1_000), 0) else {
            panic!("a reservation beyond the honoured time");
        };
        assert!(at.0 >= last + SPAN_MS, "{at} while busy until {last}");
        times.push(at.0);
    }
    assert_spaced(&mut times, SPAN_MS);
}

/// Guards against promises of an entry that has no capacity, or does not know it.
#[test]
fn nothing_is_reserved_without_a_rate() {
    for rate_per_s in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        let mut scheduler = Scheduler::new();
        scheduler.rate_per_s = rate_per_s;
        let time = scheduler.reserve(key(1, 2_000), 100);
        assert_eq!(
            time,
            RetryTime::Unreserved(Millis(100) + NO_CAPACITY_WAIT_MS)
        );
    }
    let mut scheduler = Scheduler::new();
    scheduler.rate_per_s = f64::MIN_POSITIVE;
    scheduler.must_reserve(key(1, 2_000), 100);
    let time = scheduler.reserve(key(2, 2_000), 100);
    assert_eq!(time, RetryTime::Unreserved(Millis(100) + MAX_WAIT_MS));
}

/// Guards against taking a retry for a new caller, or another caller for a retry.
#[test]
fn a_retry_is_recognised_by_content_and_deadline() {
    let at = Scheduler::new().must_reserve(key(7, 1_200), 0);
    let arrive = |key, now| {
        let mut scheduler = Scheduler::new();
        scheduler.must_reserve(self::key(7, 1_200), 0);
        scheduler.arrive(key, now)
    };
    assert_eq!(arrive(key(7, 1_220), at), Arrival::OnTime);
    assert_eq!(arrive(key(7, 1_180), at), Arrival::OnTime);
    assert_eq!(arrive(key(7, 1_221), at), Arrival::New);
    assert_eq!(arrive(key(7, 1_179), at), Arrival::New);
    assert_eq!(arrive(key(8, 1_200), at), Arrival::New);
    assert_eq!(arrive(key(7, 1_200), at - 11), Arrival::Early(Millis(at)));
    assert_eq!(arrive(key(7, 1_200), at - 10), Arrival::OnTime);
    assert_eq!(arrive(key(7, 1_200), at + 100), Arrival::OnTime);
    assert_eq!(arrive(key(7, 1_200), at + 101), Arrival::New);
}

/// Guards against a reservation that admits a call to another service of a split route.
#[test]
fn a_reservation_is_valid_for_its_service_only() {
    let mut scheduler = Scheduler::new();
    let at = scheduler.must_reserve(key(7, 1_200), 0);
    let other = ServiceName::new("portal");
    let arrival = scheduler.schedule.arrive(&other, key(7, 1_200), Millis(at));
    assert_eq!(arrival, Arrival::New);
    assert_eq!(scheduler.arrive(key(7, 1_200), at), Arrival::OnTime);
}

/// Guards against callers that gain an advantage by retrying early and often, or lose
/// their reservation by it.
#[test]
fn early_retries_change_nothing() {
    let mut patient = Scheduler::new();
    let mut hasty = Scheduler::new();
    let at = patient.must_reserve(key(1, 1_200), 0);
    assert_eq!(hasty.must_reserve(key(1, 1_200), 0), at);
    for now in 0..at - EARLY_TOLERANCE_MS.0 {
        assert_eq!(hasty.arrive(key(1, 1_200), now), Arrival::Early(Millis(at)));
        // Its other attempts were sent before the first was refused.
        assert_eq!(hasty.must_reserve(key(1, 1_200), now), at);
    }
    assert_eq!(hasty.open(), 1);
    let next = patient.must_reserve(key(2, 1_200), 0);
    assert_eq!(hasty.must_reserve(key(2, 1_200), 0), next);
    assert_eq!(hasty.arrive(key(1, 1_200), at), Arrival::OnTime);
    assert_eq!(hasty.arrive(key(1, 1_200), at), Arrival::New);
}

/// Guards against a less urgent caller that gets the capacity of a more urgent one.
#[test]
fn less_urgent_classes_come_behind_more_urgent_ones() {
    let mut scheduler = Scheduler::new();
    let urgent = scheduler.must_reserve(key(1, 2_000), 0);
    let second = reserved(scheduler.reserve_in(last_class(), key(2, 2_000), 0));
    assert!(second >= urgent + SPAN_MS, "{second} before {urgent}");
    let third = reserved(scheduler.reserve_in(last_class(), key(3, 2_000), 0));
    assert!(third >= second + 2 * SPAN_MS, "no gap after {second}");
    // More urgent callers use the gaps that were left.
    let next = scheduler.must_reserve(key(4, 2_000), 0);
    assert_eq!(next, second + SPAN_MS);
}

/// Guards against a less urgent caller that goes first through a gap that a rising rate has
/// opened before a more urgent one.
#[test]
fn less_urgent_classes_use_no_gap_before_more_urgent_ones() {
    let mut scheduler = Scheduler::new();
    scheduler.rate_per_s = RATE_PER_S / 2.0;
    scheduler.must_reserve(key(1, 4_000), 0);
    let urgent = scheduler.must_reserve(key(2, 4_000), 0);
    scheduler.rate_per_s = RATE_PER_S * 2.0;
    let last = reserved(scheduler.reserve_in(last_class(), key(3, 4_000), 0));
    assert!(last > urgent, "{last} before {urgent}");
    let next = scheduler.must_reserve(key(4, 4_000), 0);
    assert!(next < urgent, "the gap is left unused");
}

/// Guards against promises of more than the rate when classes and run times are mixed,
/// callers are refused at random times, and retries use their reservations meanwhile.
#[test]
fn spans_of_all_classes_and_run_times_never_overlap() {
    const SLOTS: u64 = 2;
    let mut state = 7_u64;
    let mut scheduler = Scheduler::new();
    let mut spans = Vec::new();
    let mut now = 0;
    for number in 0..3_000 {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let draw = state >> 33;
        now += draw % 40;
        let work_ms = 10 + draw / 40 % 400;
        let wish = RetryWish {
            key: key(number, now + 2_000),
            service: &scheduler.service,
            class: LoadClass::of_priority((draw / 7 % 3) as u8),
            work_ms: Millis(work_ms),
            rate_per_s: SLOTS as f64 * 1_000.0 / work_ms as f64,
        };
        if let RetryTime::Reserved(at) = scheduler.schedule.reserve(&wish, Millis(now)) {
            spans.push((at.0, at.0 + work_ms / SLOTS));
            if number % 3 == 0 {
                let _ = scheduler.arrive(key(number, now + 2_000), at.0);
            }
        }
    }
    assert!(spans.len() > 100, "only {} reservations", spans.len());
    spans.sort_unstable();
    for pair in spans.windows(2) {
        assert!(pair[0].1 <= pair[1].0, "{pair:?} overlap");
    }
}

/// Guards against reservations for less urgent callers while more urgent ones claim all of
/// the capacity that is set aside.
#[test]
fn less_urgent_classes_get_nothing_while_more_urgent_ones_claim_all() {
    let mut scheduler = Scheduler::new();
    for number in 0..400 {
        let now = number * 5;
        let _ = scheduler.reserve(key(number, now + 1_200), now);
    }
    let time = scheduler.reserve_in(last_class(), key(1_000, 8_000), 2_000);
    assert!(matches!(time, RetryTime::Unreserved(_)), "{time:?}");
    let time = scheduler.reserve_in(last_class(), key(1_000, 12_000), 6_000);
    assert!(matches!(time, RetryTime::Reserved(_)), "{time:?}");
}

/// Guards against a retry that uses its span early, so that a further one is promised
/// within the same span.
#[test]
fn a_used_reservation_still_takes_its_span() {
    let mut scheduler = Scheduler::new();
    scheduler.rate_per_s = 10.0;
    let at = scheduler.must_reserve(key(1, 2_000), 0);
    assert_eq!(scheduler.arrive(key(1, 2_000), at), Arrival::OnTime);
    assert_eq!(scheduler.open(), 0);
    let next = scheduler.must_reserve(key(2, 2_000), at);
    assert!(next >= at + 100, "{next} within the span from {at}");
    // A span that is longer than a reservation is remembered.
    scheduler.rate_per_s = 1.0;
    let next = scheduler.must_reserve(key(3, 9_000), at + 100);
    let last = scheduler.must_reserve(key(4, 9_000), next + 200);
    assert!(last >= next + 1_000, "{last} within the span from {next}");
}

/// Guards against a rate that falls and revokes what was promised, or promises more
/// without regard to it.
#[test]
fn a_falling_rate_delays_further_promises_and_keeps_given_ones() {
    let mut scheduler = Scheduler::new();
    let mut given = Vec::new();
    for number in 0..5 {
        given.push(scheduler.must_reserve(key(number, 1_200), 0));
    }
    scheduler.rate_per_s = RATE_PER_S / 2.0;
    let next = scheduler.must_reserve(key(10, 4_000), 0);
    // Five runs of twice the span end before the next begins.
    assert_eq!(next, given[0] + 5 * 2 * SPAN_MS);
    for (number, at) in given.into_iter().enumerate() {
        let arrival = scheduler.arrive(key(number as u64, 1_200), at);
        assert_eq!(arrival, Arrival::OnTime, "the promise at {at}");
    }
}

/// Guards against a rate that rises and makes retries at their times look like a burst.
#[test]
fn a_rising_rate_keeps_given_promises() {
    let mut scheduler = Scheduler::new();
    let mut given = Vec::new();
    for number in 0..20 {
        scheduler.rate_per_s = if number < 10 { 20.0 } else { 60.0 };
        given.push((scheduler.must_reserve(key(number, 4_000), 0), number));
    }
    given.sort_unstable();
    for (at, number) in given {
        let arrival = scheduler.arrive(key(number, 4_000), at);
        assert_eq!(arrival, Arrival::OnTime, "the promise at {at}");
    }
}

/// Guards against a burst after a pause of the process, when all retries whose times fell
/// into the pause arrive at once.
#[test]
fn a_pause_of_the_process_releases_no_burst() {
    let mut scheduler = Scheduler::new();
    scheduler.rate_per_s = 100.0;
    let mut last = 0;
    for number in 0..30 {
        last = scheduler.must_reserve(key(number, 2_000), 0);
    }
    let mut released = 0;
    for number in 0..30 {
        let arrival = scheduler.arrive(key(number, 2_000), last);
        released += u32::from(arrival == Arrival::OnTime);
    }
    // The tolerance of 50 ms at 100 retries a second, and the ends of that span.
    assert!((1..=7).contains(&released), "{released} at once");
    let mut scheduler = Scheduler::new();
    scheduler.must_reserve(key(1, 2_000), 0);
    assert_eq!(scheduler.arrive(key(1, 2_000), 900), Arrival::New);
    let next = scheduler.must_reserve(key(2, 3_000), 900);
    assert!(next > 900, "{next} is in the pause");
}

/// Guards against a further reservation after which the run would not end in time, for a
/// caller that came at its time and found no room.
#[test]
fn a_further_reservation_needs_time_before_the_deadline() {
    let mut scheduler = Scheduler::new();
    let at = scheduler.must_reserve(key(1, 1_200), 0);
    assert_eq!(scheduler.arrive(key(1, 1_200), at), Arrival::OnTime);
    let second = scheduler.must_reserve(key(1, 1_200), at + 60);
    assert!(second > at + 60, "{second}");
    assert_eq!(scheduler.arrive(key(1, 1_200), second), Arrival::OnTime);
    let time = scheduler.reserve(key(1, 1_200), 1_200 - WORK_MS.0);
    assert!(matches!(time, RetryTime::Unreserved(_)), "{time:?}");
}

/// Guards against memory that grows with the number of refused callers.
#[test]
fn reservations_are_bounded_and_expire() {
    let mut scheduler = Scheduler::new();
    scheduler.rate_per_s = 1_000.0;
    for number in 0..MAX_RESERVATIONS as u64 + 100 {
        let time = scheduler.reserve(key(number, 100_000), 0);
        let is_reserved = matches!(time, RetryTime::Reserved(_));
        assert_eq!(is_reserved, number < MAX_RESERVATIONS as u64, "{number}");
    }
    assert_eq!(scheduler.open(), MAX_RESERVATIONS);
    scheduler.schedule.forget_expired(Millis(50_000));
    assert_eq!(scheduler.open(), 0);
    assert!(scheduler.schedule.by_service.is_empty());
}

/// Guards against times of another clock: only the time that a caller has left counts, so
/// that the waits are the same whatever time the clock shows.
#[test]
fn waits_do_not_depend_on_what_the_clock_shows() {
    let waits_from = |start: u64| {
        let mut scheduler = Scheduler::new();
        let mut waits = Vec::new();
        for number in 0..60 {
            let now = start + number * 7;
            let wait = match scheduler.reserve(key(number, now + 1_200), now) {
                RetryTime::Reserved(at) => (true, at.0 - now),
                RetryTime::Unreserved(at) => (false, at.0 - now),
            };
            waits.push(wait);
        }
        waits
    };
    assert_eq!(waits_from(0), waits_from(86_400_000));
    assert_eq!(waits_from(0), waits_from(1_700_000_000_000));
}

//! Tests of equal shares.

mod content;
mod overload;

use super::*;

const WORK_MS: Millis = Millis(100);

fn offer(service: &ServiceName, caller: u64, has_turn: bool) -> Offer<'_> {
    Offer {
        service,
        class: LoadClass::of_priority(1),
        caller: CallerId(caller),
        work_ms: WORK_MS,
        is_contended: true,
        has_turn,
    }
}

/// Lets `callers` offer one call each in every 100 ms until `until`, with a turn for every
/// second one.
fn compete(shares: &mut CallerShares, service: &ServiceName, callers: u64, until: u64) {
    for now in 0..until {
        let (round, caller) = (now / 100, now % 100);
        if caller < callers {
            let offer = offer(service, caller, (round + caller).is_multiple_of(2));
            shares.decide(&offer, Millis(now));
        }
    }
}

/// Guards against refusals by a sketch that has seen too little, after the entry has
/// restarted: the first callers would exceed a share that is counted from nothing.
#[test]
fn a_restarted_entry_refuses_nobody_by_share_in_its_first_second() {
    let service = ServiceName::new("books");
    let mut shares = CallerShares::default();
    let mut has_refused_later = false;
    for now in 0..3_000 {
        // One caller in ten sends half of all calls.
        let caller = match now % 20 {
            0..10 => 0,
            other => other,
        };
        let verdict = shares.decide(&offer(&service, caller, now % 4 == 0), Millis(now));
        match now {
            0..1_000 => assert_ne!(verdict, ShareVerdict::ExceedsShare, "at {now} ms"),
            _ => has_refused_later |= verdict == ShareVerdict::ExceedsShare,
        }
    }
    assert!(has_refused_later);
}

/// Guards against a limit on callers while there is capacity for all of them.
#[test]
fn without_contention_no_caller_is_limited() {
    let service = ServiceName::new("books");
    let mut shares = CallerShares::default();
    for now in 0..5_000 {
        let offer = Offer {
            is_contended: false,
            ..offer(&service, if now % 50 == 0 { now } else { 0 }, true)
        };
        let verdict = shares.decide(&offer, Millis(now));
        assert_eq!(verdict, ShareVerdict::Admitted);
    }
}

/// Guards against refusing by share a caller that competes with nobody.
#[test]
fn a_caller_alone_is_refused_by_the_level_only() {
    let service = ServiceName::new("books");
    let mut shares = CallerShares::default();
    for now in 0..5_000 {
        let has_turn = now % 5 == 0;
        let verdict = shares.decide(&offer(&service, 1, has_turn), Millis(now));
        assert_eq!(verdict, ShareVerdict::by_level(has_turn), "at {now} ms");
    }
}

/// Guards against capacity that stays unused: a caller above its share is refused although
/// the others, who have small needs, are all served.
#[test]
fn a_share_that_is_not_used_is_free_for_others() {
    let service = ServiceName::new("books");
    let mut shares = CallerShares::default();
    let (mut turns, mut admitted, mut small_refused) = (0, 0, 0);
    for now in 0..10_000 {
        // Nine small callers send one call a second each, the large one sends 500.
        let is_small = now % 111 == 0;
        if !is_small && now % 2 == 0 {
            continue;
        }
        let caller = if is_small { 1 + now / 111 % 9 } else { 0 };
        let has_turn = now % 4 == 1;
        let verdict = shares.decide(&offer(&service, caller, has_turn), Millis(now));
        if now < 1_000 {
            continue;
        }
        turns += u32::from(has_turn);
        admitted += u32::from(verdict == ShareVerdict::Admitted);
        small_refused += u32::from(is_small && verdict != ShareVerdict::Admitted);
    }
    // At most the turns that wait for another caller are unused.
    assert!(admitted + 4 >= turns, "{admitted} of {turns}");
    assert!(admitted <= turns, "{admitted} of {turns}");
    assert!(small_refused <= 1, "{small_refused}");
}

/// Guards against a heavy caller that is not found among a thousand others, which is many
/// more than there are counters.
#[test]
fn a_heavy_caller_is_found_among_more_callers_than_counters() {
    let service = ServiceName::new("books");
    let mut shares = CallerShares::default();
    let mut heavy_refused = 0;
    for now in 0..20_000_u64 {
        // A thousand callers with one call in two seconds each, and one with 100 a second.
        let caller = match now % 10 {
            0 => 0,
            _ if now % 2 == 0 => continue,
            _ => 1 + now / 2 % 1_000,
        };
        let verdict = shares.decide(&offer(&service, caller, now % 4 == 1), Millis(now));
        let is_refused = verdict == ShareVerdict::ExceedsShare;
        assert!(!is_refused || caller == 0, "caller {caller} at {now} ms");
        heavy_refused += u32::from(is_refused);
    }
    // Of its 2,000 calls nearly all are beyond the share of one in a thousand callers.
    assert!(heavy_refused > 1_500, "{heavy_refused}");
}

/// Guards against charging a caller for the work of others, which its counter inherits
/// where there are more callers than counters.
#[test]
fn the_error_of_a_counter_is_not_charged_to_its_caller() {
    let service = ServiceName::new("books");
    let mut shares = CallerShares::default();
    // Two hundred callers send two, three or four calls in a row, one caller after the
    // other. Nine tenths of the calls are admitted, so that nobody offers twice the share.
    let mut calls = 0_u64;
    for burst in 0..3_000_u64 {
        for call in 0..2 + burst % 3 {
            calls += 1;
            let now = burst * 7 + call;
            let offer = offer(&service, burst % 200, !calls.is_multiple_of(10));
            let verdict = shares.decide(&offer, Millis(now));
            assert_ne!(verdict, ShareVerdict::ExceedsShare, "at {now} ms");
        }
    }
}

/// Guards against memory that grows with the number of services, and against refusals for
/// a service that is not tracked.
#[test]
fn the_number_of_services_is_bounded() {
    let mut shares = CallerShares::default();
    for number in 0..200 {
        let service = ServiceName::new(&format!("service-{number}"));
        compete(&mut shares, &service, 10, 100);
        assert!(shares.by_service.len() <= MAX_SERVICES);
    }
    let untracked = ServiceName::new("service-199");
    let verdict = shares.decide(&offer(&untracked, 1, true), Millis(5_000));
    assert_eq!(verdict, ShareVerdict::Admitted);
    // Services without calls make room.
    shares.decide(&offer(&untracked, 1, true), Millis(20_000));
    assert!(shares.by_service.contains_key(&untracked));
    assert_eq!(shares.by_service.len(), 1);
}

/// Guards against weights that overflow on a node that runs for long, and against callers
/// that are charged for work of long ago.
#[test]
fn work_of_long_ago_has_no_weight() {
    let service = ServiceName::new("books");
    let mut shares = CallerShares::default();
    let day = 86_400_000;
    for start in [0, day, 30 * day] {
        for now in start..start + 3_000 {
            let verdict = shares.decide(&offer(&service, now % 20, now % 2 == 0), Millis(now));
            assert_ne!(verdict, ShareVerdict::ExceedsShare, "at {now} ms");
        }
    }
}

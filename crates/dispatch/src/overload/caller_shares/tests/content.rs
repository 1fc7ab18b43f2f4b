//! Requests that only their content identifies.

use super::*;

const DEADLINE_MS: u64 = 1_200;

fn key(fingerprint: u64, arrived: u64) -> RequestKey {
    RequestKey {
        fingerprint,
        deadline_at: Millis(arrived + DEADLINE_MS),
    }
}

/// Guards against a caller that sends one request three times at once and counts as three
/// callers.
#[test]
fn immediate_repeats_of_one_request_have_one_caller() {
    let mut shares = CallerShares::default();
    let first = shares.caller_by_content(key(7, 1_000), Millis(1_000));
    for arrived in [1_000, 1_002, 1_005] {
        let repeat = shares.caller_by_content(key(7, arrived), Millis(arrived));
        assert_eq!(repeat, first, "at {arrived} ms");
    }
    let other = shares.caller_by_content(key(8, 1_002), Millis(1_002));
    assert_ne!(other, first);
}

/// Guards against refusing by share a caller that was refused and returns later, as it was
/// told to.
#[test]
fn a_caller_that_returns_later_is_a_new_one() {
    let mut shares = CallerShares::default();
    let first = shares.caller_by_content(key(7, 1_000), Millis(1_000));
    let returned = shares.caller_by_content(key(7, 1_000), Millis(1_060));
    assert_ne!(returned, first);
    // It may still not repeat its request three times at once.
    for arrived in [1_061, 1_063] {
        let repeat = shares.caller_by_content(key(7, 1_000), Millis(arrived));
        assert_eq!(repeat, returned, "at {arrived} ms");
    }
}

/// Guards against treating many callers that fetch the same page as one greedy caller.
#[test]
fn requests_with_the_same_content_and_other_deadlines_have_different_callers() {
    let mut shares = CallerShares::default();
    let mut last = None;
    for number in 0..100 {
        // Arrivals of a popular page are between 0 and 60 ms apart.
        let now = 1_000 + number * 30 + number * 17 % 30;
        let caller = shares.caller_by_content(key(7, now), Millis(now));
        if number > 2 {
            assert_ne!(Some(caller), last, "number {number}");
        }
        last = Some(caller);
    }
}

/// Guards against refusals by share for callers that fetch the same page in an overload.
#[test]
fn callers_of_a_popular_page_are_not_refused_by_share() {
    let service = ServiceName::new("books");
    let mut shares = CallerShares::default();
    let mut refused = 0;
    for now in 0..10_000_u64 {
        // 143 requests a second, two of seven of them for the page.
        if now % 7 != 0 {
            continue;
        }
        let content = if now / 7 % 7 < 2 { 1 } else { 1_000 + now };
        let caller = shares.caller_by_content(key(content, now), Millis(now));
        let verdict = shares.decide(&offer(&service, caller.0, now % 14 == 0), Millis(now));
        refused += u32::from(verdict == ShareVerdict::ExceedsShare);
    }
    assert_eq!(refused, 0);
}

/// Guards against memory that grows with the number of contents.
#[test]
fn the_number_of_contents_is_bounded() {
    let mut contents = ContentCallers::default();
    for number in 0..20_000 {
        contents.caller(key(number, 10), Millis(10));
    }
    assert!(contents.by_fingerprint.len() <= 4_096);
    contents.caller(key(1, 5_000), Millis(5_000));
    contents.caller(key(90_000, 5_000), Millis(5_000));
    assert!(contents.by_fingerprint.len() <= 2);
}

//! Tests of the account.

use super::*;

const MAX_BYTES: u64 = 80 * ORDINARY_REQUEST_BYTES;

fn account() -> Account {
    Account::new(&ResourceLimits::of_account(MAX_BYTES))
}

/// Guards against long bodies that leave no memory for ordinary requests.
#[test]
fn ordinary_requests_find_room_beside_long_bodies() {
    let mut account = account();
    while account.hold_body(ORDINARY_REQUEST_BYTES) {}
    assert_eq!(account.held_bytes(), 70 * ORDINARY_REQUEST_BYTES);
    let mut requests = 0;
    while account.hold_request().is_some() {
        requests += 1;
    }
    assert_eq!(requests, 10);
    assert_eq!(account.held_bytes(), MAX_BYTES);
}

/// Guards against a share of ordinary requests that also limits them.
#[test]
fn ordinary_requests_may_use_the_whole_account() {
    let mut account = account();
    let mut shares = Vec::new();
    while let Some(share) = account.hold_request() {
        shares.push(share);
    }
    assert_eq!(shares.len(), 80);
    for share in shares {
        account.release(share, ORDINARY_REQUEST_BYTES);
    }
    assert_eq!(account.held_bytes(), 0);
    assert!(account.hold_body(70 * ORDINARY_REQUEST_BYTES));
}

/// Guards against waiting for room that there never is.
#[test]
fn a_body_beyond_the_account_never_fits() {
    let mut account = account();
    assert!(account.may_ever_hold(70 * ORDINARY_REQUEST_BYTES));
    assert!(!account.may_ever_hold(70 * ORDINARY_REQUEST_BYTES + 1));
    assert!(!account.hold_body(u64::MAX));
    assert!(!account.may_ever_hold(u64::MAX));
}

use bytes::Bytes;

use super::*;

const NAMES: HeaderNames = HeaderNames {
    request_id: "T-Id",
    deadline_ms: "T-Left",
    digest: None,
    expected_target: "T-Life",
    load: "T-Load",
    not_run: "T-Not-Run",
    caller_service: "T-From",
    client_account: Some("T-Account"),
    warm_up_left_ms: &[],
    max_requests_per_s: &[],
    leaving: &[],
};

const OWN_IP: &str = "10.0.0.1";

fn caller(account: Option<&str>, peer: &str, names: &HeaderNames) -> Option<CallerId> {
    let mut fields = Vec::new();
    if let Some(account) = account {
        fields.push(HeaderField {
            name: "t-account".to_owned(),
            value: Bytes::copy_from_slice(account.as_bytes()),
        });
    }
    let own_ip = OWN_IP.parse().expect("an address");
    stated(&fields, peer.parse().expect("an address"), names, own_ip)
}

/// Guards against one caller for all requests of a proxy that sends on behalf of many
/// accounts, and against several callers for one account.
#[test]
fn the_account_goes_before_the_address() {
    let first = caller(Some("first"), "10.0.0.7", &NAMES);
    assert!(first.is_some());
    assert_eq!(first, caller(Some(" first "), OWN_IP, &NAMES));
    assert_ne!(first, caller(Some("second"), "10.0.0.7", &NAMES));
    assert_ne!(first, caller(None, "10.0.0.7", &NAMES));
}

/// Guards against an account header that the deployment does not name.
#[test]
fn without_an_account_the_address_counts() {
    let names = HeaderNames {
        client_account: None,
        ..NAMES
    };
    let address = caller(None, "10.0.0.7", &names);
    assert!(address.is_some());
    assert_eq!(address, caller(Some("first"), "10.0.0.7", &names));
    assert_eq!(address, caller(Some(""), "10.0.0.7", &NAMES));
    assert_eq!(address, caller(None, "::ffff:10.0.0.7", &names));
    assert_ne!(address, caller(None, "10.0.0.8", &names));
}

/// Guards against one caller for all callers of this VM.
#[test]
fn callers_on_this_vm_are_told_apart_by_content_alone() {
    for peer in [OWN_IP, "127.0.0.1", "::1", "::ffff:10.0.0.1"] {
        assert_eq!(caller(None, peer, &NAMES), None, "{peer}");
    }
}

//! Tests of decoding what a target reports.

use bytes::Bytes;

use super::*;
use crate::dialect::HeaderNames;

#[derive(Debug)]
struct TestDialect;

const NAMES: HeaderNames = HeaderNames {
    request_id: "T-Id",
    deadline_ms: "T-Left",
    digest: None,
    expected_target: "T-Life",
    load: "T-Load",
    not_run: "T-Not-Run",
    caller_service: "T-From",
    client_account: None,
    warm_up_left_ms: &["T-Cold"],
    max_requests_per_s: &["T-Limit", "T-Old-Limit"],
    leaving: &["T-Leaving"],
};

impl Dialect for TestDialect {
    fn names(&self) -> &HeaderNames {
        &NAMES
    }

    fn load(&self, _value: &str) -> Option<TargetLoad> {
        None
    }
}

fn decode(fields: &[(&str, &str)]) -> TargetReport {
    let mut encoded = Vec::new();
    for (name, value) in fields {
        encoded.push(HeaderField {
            name: (*name).to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        });
    }
    TargetReport::decode(&encoded, &TestDialect)
}

#[test]
fn a_limit_is_a_decimal_number_of_requests_per_second() {
    for (value, per_1000_s) in [("6.8", 6_800), ("0", 0), (" 13 ", 13_000), ("0.25", 250)] {
        let report = decode(&[("T-Limit", value)]);
        assert_eq!(report.notice.max_requests_per_1000_s, Some(per_1000_s));
    }
}

/// Guards against a limit of 0, or of billions, because of a header that is no number.
#[test]
fn malformed_statements_count_as_absent() {
    for value in ["", "-1", "NaN", "inf", "6,8", "many"] {
        let report = decode(&[("T-Limit", value), ("T-Cold", value), ("T-Leaving", value)]);
        assert_eq!(report, TargetReport::default(), "{value}");
    }
}

#[test]
fn a_field_is_found_under_each_of_its_names_without_regard_to_case() {
    for name in ["T-Limit", "t-limit", "T-OLD-LIMIT"] {
        let report = decode(&[(name, "2")]);
        assert_eq!(report.notice.max_requests_per_1000_s, Some(2_000));
    }
}

#[test]
fn only_the_value_1_states_that_a_target_leaves() {
    assert!(decode(&[("T-Leaving", "1")]).notice.is_leaving);
    assert!(!decode(&[("T-Leaving", "0")]).notice.is_leaving);
    assert!(!decode(&[]).notice.is_leaving);
}

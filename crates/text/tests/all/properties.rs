//! Property tests: the policies of every accepted text are in the ranges that the
//! core relies on, and checking the same text again gives the same result.

use hornbeamhitch_text::{CheckedText, Setting, check, diff, explain};
use hornbeamhitch_types::policy::ServicePolicy;
use proptest::prelude::*;
use strum::VariantArray;

use crate::support::fixed_seed;

/// Generates numbers, some of which are out of range.
fn number() -> impl Strategy<Value = String> {
    prop_oneof![
        (0_u32..200).prop_map(|n| n.to_string()),
        (0_u32..100_000).prop_map(|n| n.to_string()),
        (0.0..1.2_f64).prop_map(|n| format!("{n:.4}")),
        Just("-1".to_owned()),
        Just("1e9".to_owned()),
    ]
}

/// Generates numbers in the range of a setting.
fn allowed_number(setting: Setting) -> BoxedStrategy<String> {
    let range = setting.range();
    if range.whole {
        let (min, max) = (range.min as u64, range.max as u64);
        return (min..=max).prop_map(|n| n.to_string()).boxed();
    }
    (range.min..=range.max).prop_map(|n| format!("{n}")).boxed()
}

fn setting_with(number: fn(Setting) -> BoxedStrategy<String>) -> impl Strategy<Value = String> {
    prop::sample::select(Setting::VARIANTS)
        .prop_flat_map(move |setting| (Just(setting), number(setting)))
        .prop_map(|(setting, number)| {
            let group: &'static str = setting.group().into();
            match group {
                "service" => format!("\"{setting}\": {number}"),
                group => format!("\"{group}\": {{ \"{setting}\": {number} }}"),
            }
        })
}

fn service(
    setting: BoxedStrategy<String>,
    deadline_ms: BoxedStrategy<String>,
) -> impl Strategy<Value = String> {
    let dependencies = prop::collection::vec("[a-f]", 0..2);
    let calls = prop::collection::vec(
        (
            "[a-c]",
            "(GET|POST|\\*)",
            "/[a-b]{0,2}",
            any::<bool>(),
            deadline_ms,
        ),
        0..3,
    );
    (setting, dependencies, calls).prop_map(|(setting, dependencies, calls)| {
        let dependencies: Vec<String> = dependencies.iter().map(|d| format!("\"{d}\"")).collect();
        let mut written = Vec::new();
        for (name, method, path, idempotent, deadline_ms) in calls {
            written.push(format!(
                "{{ \"name\": \"{name}\", \"match\": \"{method} {path}\", \
                 \"idempotent\": {idempotent}, \"deadline_ms\": {deadline_ms} }}"
            ));
        }
        format!(
            "{{ {setting}, \"depends_on\": [{}], \"calls\": [{}] }}",
            dependencies.join(", "),
            written.join(", ")
        )
    })
}

fn text_of(setting: fn(Setting) -> BoxedStrategy<String>) -> impl Strategy<Value = String> {
    let services = prop::collection::btree_map(
        "[a-f]",
        service(setting_with(setting).boxed(), setting(Setting::DeadlineMs)),
        1..6,
    );
    (setting_with(setting), services).prop_map(|(default, services)| {
        let mut written = Vec::new();
        for (name, service) in services {
            written.push(format!("\"{name}\": {service}"));
        }
        format!(
            "{{ \"deployment\": \"d\", \"defaults\": {{ {default} }}, \"services\": {{ {} }} }}",
            written.join(",\n")
        )
    })
}

fn assert_in_range(policy: &ServicePolicy) {
    for setting in Setting::VARIANTS {
        let (value, range) = (setting.value_in(policy), setting.range());
        assert!(
            value >= range.min && value <= range.max,
            "{setting} is {value}"
        );
        assert!(!range.whole || value.fract() == 0.0, "{setting} is {value}");
    }
    assert!(policy.ejection.base_ejection_ms <= policy.ejection.max_ejection_ms);
    assert_policy_ranges(policy);
    for call in &policy.calls {
        assert!(call.path_prefix.starts_with('/'));
        assert!((1..=600_000).contains(&call.deadline_ms.0));
    }
}

/// Checks the ranges documented at the fields of the policy, independently of the
/// ranges of the settings.
fn assert_policy_ranges(policy: &ServicePolicy) {
    assert!((1..=10_000).contains(&policy.slots));
    assert!((1..=100_000).contains(&policy.connections));
    assert!(policy.queue_limit <= 10_000);
    let budgets = &policy.budgets;
    assert!((0.0..=100.0).contains(&budgets.probes_per_s));
    assert!((1..=100).contains(&budgets.probe_burst));
    assert!((0.0..=1.0).contains(&budgets.retry_share));
    assert!((0.0..=1.0).contains(&budgets.hedge_share));
    assert!((0.5..=0.999).contains(&budgets.hedge_quantile));
    assert!((1..=100).contains(&policy.ejection.consecutive_failures));
    assert!((0.0..=0.9).contains(&policy.ejection.max_ejected_share));
}

fn assert_dependencies_known(text: &CheckedText) {
    for policy in &text.services {
        for dependency in &policy.depends_on {
            assert!(text.service(dependency.as_str()).is_some(), "{dependency}");
        }
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn an_accepted_text_is_in_range(text in text_of(|_| number().boxed())) {
        let Ok(checked) = check(&text) else {
            return Ok(());
        };
        for policy in &checked.services {
            assert_in_range(policy);
        }
        assert_dependencies_known(&checked);
    }

    #[test]
    fn numbers_in_range_are_never_out_of_range(text in text_of(allowed_number)) {
        match check(&text) {
            Ok(checked) => {
                for policy in &checked.services {
                    assert_in_range(policy);
                    explain(&checked, policy.service.as_str()).expect("the service is listed");
                }
            }
            Err(faults) => {
                for fault in faults.faults {
                    prop_assert_ne!(fault.kind.name(), "out-of-range", "{}", fault);
                }
            }
        }
    }

    #[test]
    fn the_same_text_gives_the_same_result(text in text_of(|_| number().boxed())) {
        match (check(&text), check(&text)) {
            (Ok(one), Ok(other)) => {
                prop_assert_eq!(diff(&one, &other), vec![]);
                prop_assert_eq!(one, other);
            }
            (Err(one), Err(other)) => prop_assert_eq!(one, other),
            _ => prop_assert!(false, "accepted once and refused once"),
        }
    }
}

#[test]
fn built_in_values_are_in_range() {
    let checked = check(r#"{ "deployment": "d", "services": { "a": {} } }"#)
        .expect("a service needs no settings");
    assert_in_range(&checked.services[0]);
    assert_eq!(checked.services[0].queue_limit, checked.services[0].slots);
}

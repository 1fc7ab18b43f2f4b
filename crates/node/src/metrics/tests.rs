//! Recorded values are exported, and the number of label sets is limited.

use std::collections::BTreeSet;

use super::*;

fn metrics() -> Metrics {
    let metrics = Metrics::new(
        &VmId::new("cashier-1"),
        &ServiceName::new("cashier"),
        &DataCentre::new("bkk-a"),
    )
    .expect("the metrics library accepts its set-up");
    metrics.set_names(
        &[ServiceName::new("cashier"), ServiceName::new("ledger")],
        &[TenantName::new("district-7")],
    );
    metrics
}

fn sample(tenant: &str) -> CallSample<'_> {
    CallSample {
        service: "cashier",
        class: CallClass::Payment,
        tenant,
        code: ResultCode::Answered,
        latency_us: 7_000,
    }
}

/// Returns the value of the only line that begins with `series`.
fn value_of(text: &str, series: &str) -> f64 {
    let mut found = None;
    for line in text.lines() {
        let Some(rest) = line.strip_prefix(series) else {
            continue;
        };
        let Some(value) = rest.strip_prefix(' ') else {
            continue;
        };
        assert!(found.is_none(), "{series} appears twice in\n{text}");
        found = value.parse().ok();
    }
    found.unwrap_or_else(|| panic!("{series} is missing in\n{text}"))
}

fn render(metrics: &Metrics) -> String {
    metrics.render().expect("metrics can be written")
}

#[test]
fn recorded_values_are_exported() {
    let metrics = metrics();
    metrics.call_ended(&sample("district-7"));
    metrics.call_ended(&CallSample {
        code: ResultCode::Overloaded,
        latency_us: 90,
        ..sample("district-7")
    });
    metrics.latency_added(Side::Entry, 980);
    metrics.latency_added(Side::Gate, 120);
    metrics.answer_held("read", 12_000);
    metrics.attempt_sent("cashier", AttemptKind::First);
    metrics.attempt_sent("cashier", AttemptKind::Retry);
    metrics.attempt_sent("cashier", AttemptKind::Hedge);
    metrics.loser_cancelled("cashier");
    metrics.return_ended("cashier", ReturnResult::Kept);
    metrics.return_ended("cashier", ReturnResult::Missed);
    metrics.promised_returns("cashier", 3);
    metrics.ask_withdrawn("cashier");
    metrics.silent_vms(6);
    metrics.gate_ran(CallClass::Payment, 6_000);
    metrics.gate_waited(CallClass::Payment, 400);
    metrics.gate_refused(ResultCode::RecordsFull);
    metrics.gate_levels(&GateLevels {
        in_flight: 11,
        queued: 3,
        limit: 12,
        records: 40,
        stored_bytes: 8_192,
    });
    metrics.probe_sent("ledger");
    metrics.datagram_sent(300);
    metrics.datagram_received(200);
    metrics.bulk_pulled(5_000);
    metrics.bulk_served(6_000);
    metrics.platform_read(PlatformRead::Stale);
    metrics.control_busy(1_234);
    metrics.known_age(640);
    metrics.routes_lag(90);
    metrics.evacuated_data_centres(1);
    metrics.target_warming_up(true);
    metrics.target_request_limit(Some(6_800));
    metrics.config_in_force(ConfigVersion(41));
    metrics.config_refused(ConfigVersion(42));
    metrics.members(&MemberLevels {
        live: 9,
        leaving: 1,
        doubtful: 2,
    });
    metrics.targets("ledger", TargetState::Ejected, 1);
    metrics.suspects(SuspectState::Convicted, 1);
    metrics.entry_refused("cashier", "level");
    metrics.service_level(
        "ledger",
        &ServiceLevel {
            room_slots: 95.5,
            demand_slots: 180.25,
            admitted: [1.0, 1.0, 0.25, 0.0],
        },
    );

    insta::assert_snapshot!(without_varying_lines(&render(&metrics)));
}

/// Removes lines that vary between runs: ratios to the elapsed time, and the
/// log's counters, which are global to the process.
fn without_varying_lines(text: &str) -> String {
    let mut stable = String::new();
    for line in text.lines() {
        let varies = line.starts_with("hitch_control_core_share ")
            || line.starts_with("hitch_control_bytes_per_s ")
            || line.starts_with("hitch_log_lines_");
        if varies {
            continue;
        }
        stable.push_str(line);
        stable.push('\n');
    }
    stable
}

#[test]
fn callers_cannot_add_label_values() {
    // Guards against a faulty caller that invents a tenant and a service for
    // each call. If each became a label value, memory and the exported text
    // would grow with every call until the VM had no memory left. All of them
    // must count as `other`.
    let metrics = metrics();
    for number in 0..5_000 {
        let tenant = format!("made-up-{number}");
        let service = format!("made-up-too-{number}");
        metrics.call_ended(&CallSample {
            service: &service,
            ..sample(&tenant)
        });
    }
    let text = render(&metrics);
    assert!(!text.contains("made-up"));
    let others =
        "hitch_tenant_call_latency_milliseconds_count{certainty=\"answered\",tenant=\"other\"}";
    assert!((value_of(&text, others) - 5_000.0).abs() < f64::EPSILON);
}

#[test]
fn configuration_edits_cannot_add_unlimited_tenants() {
    // Guards against configuration edits that keep renaming a tenant while the
    // process runs. Old names stay in the metrics library, so without a limit
    // for the lifetime of the process they would accumulate.
    let metrics = metrics();
    for number in 0..3 * labels::MAX_TENANTS {
        let tenant = format!("district-{number}");
        metrics.set_names(&[ServiceName::new("cashier")], &[TenantName::new(&tenant)]);
        metrics.call_ended(&sample(&tenant));
    }
    let text = render(&metrics);
    let mut tenants = BTreeSet::new();
    for line in text.lines() {
        let Some((_, rest)) = line.split_once("tenant=\"") else {
            continue;
        };
        tenants.insert(rest.split('"').next());
    }
    assert_eq!(tenants.len(), labels::MAX_TENANTS + 1);
    assert!(tenants.contains(&Some(labels::OTHER)));
}

/// Guards against configuration edits that keep renaming routes while the process runs:
/// only the first ones are counted by name, and requests without a route as `other`.
#[test]
fn the_number_of_routes_that_are_counted_by_name_is_limited() {
    let metrics = metrics();
    for number in 0..3 * labels::MAX_ROUTES {
        metrics.answer_held(&format!("route-{number}"), 1_000);
    }
    metrics.answer_held("", 1_000);
    metrics.answer_held("route-0", 1_000);
    let text = render(&metrics);
    let series = "hitch_answer_held_milliseconds_count";
    let counted = text.lines().filter(|line| line.starts_with(series));
    assert_eq!(counted.count(), labels::MAX_ROUTES + 1);
    let first = value_of(&text, &format!("{series}{{route=\"route-0\"}}"));
    let others = value_of(&text, &format!("{series}{{route=\"other\"}}"));
    assert!((first - 2.0).abs() < f64::EPSILON);
    let expected = u32::try_from(2 * labels::MAX_ROUTES + 1).expect("few");
    assert!((others - f64::from(expected)).abs() < f64::EPSILON);
}

#[test]
fn a_tenant_removed_from_the_configuration_counts_as_other() {
    let metrics = metrics();
    metrics.set_names(&[ServiceName::new("cashier")], &[]);
    metrics.call_ended(&sample("district-7"));
    assert!(!render(&metrics).contains("district-7"));
}

#[test]
fn hostile_names_are_escaped_in_labels() {
    let metrics = metrics();
    let hostile = "a\"} 1\nforged{b=\"\\";
    metrics.set_names(&[ServiceName::new("cashier")], &[TenantName::new(hostile)]);
    metrics.call_ended(&sample(hostile));
    let text = render(&metrics);
    assert!(text.contains(r#"tenant="a\"} 1\nforged{b=\"\\""#), "{text}");
    assert!(!text.lines().any(|line| line.starts_with("forged")));
}

#[test]
fn the_measuring_cost_is_exported() {
    let metrics = metrics();
    assert_eq!(metrics.measuring_cost().messages_per_call(), None);
    assert!(!render(&metrics).contains("hitch_measuring_messages_per_call "));
    for _ in 0..100 {
        metrics.call_ended(&sample("district-7"));
    }
    metrics.probe_sent("ledger");
    metrics.datagram_sent(300);
    metrics.datagram_sent(300);
    metrics.datagram_received(70);
    metrics.bulk_pulled(1_000);
    metrics.platform_read(PlatformRead::Unchanged);

    let cost = metrics.measuring_cost();
    assert_eq!(cost.messages_per_call(), Some(0.05));
    assert_eq!(cost.sent_bytes, 600);
    let text = render(&metrics);
    assert!((value_of(&text, "hitch_measuring_messages_per_call") - 0.05).abs() < 1e-9);
    let counters = metrics.control_counters();
    assert_eq!(counters.datagrams_sent, 2);
    assert_eq!(counters.received_bytes, 70);
    assert_eq!(counters.bulk_bytes, 1_000);
}

#[test]
fn all_threads_count_into_the_same_series() {
    const THREADS: u32 = 4;
    const CALLS: u32 = 1_000;
    let metrics = metrics();
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                for _ in 0..CALLS {
                    metrics.call_ended(&sample("district-7"));
                }
            });
        }
    });
    let series = "hitch_calls_total{class=\"payment\",code=\"1000\",result=\"answered\",service=\"cashier\"}";
    let counted = value_of(&render(&metrics), series);
    assert!((counted - f64::from(THREADS * CALLS)).abs() < f64::EPSILON);
}

/// Returns the names that the registry declares, without the common prefix.
fn declared() -> BTreeSet<&'static str> {
    let snapshot = include_str!(
        "snapshots/hornbeamhitch_node__metrics__tests__recorded_values_are_exported.snap"
    );
    let mut names = BTreeSet::new();
    for line in snapshot.lines() {
        let Some(declared) = line.strip_prefix("# TYPE hitch_") else {
            continue;
        };
        names.extend(declared.split(' ').next());
    }
    assert!(names.len() > 30, "{names:?}");
    names
}

fn operators_page(name: &str) -> String {
    let page = std::path::Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs/operators")
        .join(name);
    std::fs::read_to_string(page).expect("the page is part of the repository")
}

#[test]
fn the_documentation_has_every_metric() {
    let page = operators_page("logs-and-metrics.md");
    for name in declared() {
        assert!(page.contains(&format!("`hitch_{name}`")), "hitch_{name}");
    }
}

#[test]
fn the_documentation_names_no_other_metric() {
    // An alert on a name that does not exist never fires, and this goes
    // unnoticed.
    let declared = declared();
    for (page, at_least) in [
        ("logs-and-metrics.md", 30),
        ("alarms.md", 30),
        ("limits.md", 15),
        ("day-to-day.md", 1),
    ] {
        let text = operators_page(page);
        let mut found = 0;
        for part in text.split("hitch_").skip(1) {
            let is_name = |letter: char| letter.is_ascii_alphanumeric() || letter == '_';
            let end = part.find(|letter| !is_name(letter)).unwrap_or(part.len());
            let name = &part[..end];
            let series_of = name
                .strip_suffix("_bucket")
                .or(name.strip_suffix("_sum"))
                .or(name.strip_suffix("_count"));
            let is_declared =
                declared.contains(name) || series_of.is_some_and(|name| declared.contains(name));
            // Module paths in log examples have the same prefix.
            let is_module = name.starts_with("node");
            assert!(is_declared || is_module, "{page}: hitch_{name}");
            found += usize::from(is_declared);
        }
        assert!(found >= at_least, "{page}: only {found} names");
    }
}

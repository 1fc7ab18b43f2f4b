//! Tests of the evaluation in `hornbeamhitch-overhead`.

use std::collections::BTreeMap;
use std::time::Duration;

use hornbeamhitch_standins::overhead::report::{Report, SeriesReport};
use hornbeamhitch_standins::overhead::{OfferedLoad, Plan, Quantiles, Series, bounds};

fn quantiles(p50_us: f64) -> Quantiles {
    Quantiles {
        p50_us,
        p99_us: 2.0 * p50_us,
        p999_us: 3.0 * p50_us,
    }
}

/// Creates a report in which `p50_us` determines the p50 of each round of a series.
fn report(p50_us: impl Fn(Series, u32) -> f64) -> Report {
    let plan = Plan::default();
    let mut all = Vec::new();
    for series in Series::all() {
        let rounds = (0..plan.rounds).map(|round| quantiles(p50_us(series, round)));
        all.push(SeriesReport {
            rounds: rounds.collect(),
            ..SeriesReport::new(series)
        });
    }
    Report {
        plan,
        load_average_before: 0.0,
        load_average_after: 0.0,
        idle: Vec::new(),
        series: all,
        doublings: Vec::new(),
        resident_bytes_after: BTreeMap::new(),
    }
}

#[test]
fn differences_are_taken_within_a_round() {
    // The machine gets slower from round to round; the latency added by nodes stays
    // the same.
    let report = report(|series, round| {
        let slow_us = 100.0 * f64::from(round + 1);
        match series.is_through_nodes() {
            true => slow_us + 50.0,
            false => slow_us,
        }
    });
    for series in Series::all() {
        let added = report.added(series).expect("the series is in the report");
        let expected_us = if series.is_through_nodes() { 50.0 } else { 0.0 };
        assert!((added.median.p50_us - expected_us).abs() < 1e-9, "{series}");
        assert!((added.best.p50_us - expected_us).abs() < 1e-9, "{series}");
    }
    assert!(bounds::violations(&report).is_empty());
}

#[test]
fn a_ratio_above_its_bound_and_failed_calls_are_named() {
    let mut report = report(|series, _| match series.is_through_nodes() {
        true => 10_000.0,
        false => 100.0,
    });
    report.series[0]
        .failures
        .insert("503, code 1101".to_owned(), 3);
    let violations = bounds::violations(&report);
    assert_eq!(violations.len(), 5, "{violations:?}");
    assert!(violations[0].contains("3 calls failed"), "{violations:?}");
}

#[test]
fn a_plan_outside_its_bounds_is_refused() {
    assert!(Plan::default().check().is_ok());
    let plans = [
        Plan {
            rate_per_s: 20_001.0,
            ..Plan::default()
        },
        Plan {
            seconds: 61.0,
            ..Plan::default()
        },
        Plan {
            rounds: 0,
            ..Plan::default()
        },
        Plan {
            connections: 129,
            ..Plan::default()
        },
    ];
    for plan in plans {
        assert!(plan.check().is_err(), "{plan:?}");
    }
}

#[test]
fn max_calls_of_an_offered_load_exceed_its_mean() {
    let offered = OfferedLoad {
        rate_per_s: 1_000.0,
        span: Duration::from_secs(2),
        seed: 1,
    };
    assert!((2_200..2_400).contains(&offered.max_calls()));
}

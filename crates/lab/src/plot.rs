//! Plots tail latencies with one row per case and one dot per policy.

use std::fmt::Write;

use strum::VariantArray;

use crate::policy::PolicyKind;
use crate::prelude::*;
use crate::report::tail_us;
use crate::world::RunReport;

const ROW_HEIGHT: usize = 18;
const LEFT: f64 = 220.0;
const PLOT_WIDTH: f64 = 700.0;
const TOP: usize = 60;
const LOWEST_MS: f64 = 10.0;
const HIGHEST_MS: f64 = 2_000.0;
const TICKS_MS: [u32; 7] = [10, 20, 50, 100, 200, 500, 1_000];

/// Draws the compared tail latencies on a logarithmic scale as SVG.
#[must_use]
pub fn svg(cases: &[Case], runs: &[RunReport]) -> String {
    let height = TOP + ROW_HEIGHT * (cases.len() + 1);
    let mut text = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n",
        LEFT + PLOT_WIDTH + 20.0,
    );
    push_key(&mut text);
    push_scale(&mut text, height);
    for (row, case) in cases.iter().enumerate() {
        push_row(&mut text, row, case, runs);
    }
    text.push_str("</svg>\n");
    text
}

fn push_key(text: &mut String) {
    for (index, kind) in PolicyKind::VARIANTS.iter().enumerate() {
        let x = 10 + (index % 5) * 180;
        let y = 14 + (index / 5) * 14;
        push(
            text,
            format_args!(
                "<circle cx=\"{x}\" cy=\"{y}\" r=\"4\" fill=\"{}\"/>\
                 <text x=\"{}\" y=\"{}\">{}</text>",
                colour(*kind),
                x + 8,
                y + 4,
                kind.name(),
            ),
        );
    }
}

fn push_scale(text: &mut String, height: usize) {
    for tick in TICKS_MS {
        let x = x_of(f64::from(tick));
        push(
            text,
            format_args!(
                "<line x1=\"{x:.1}\" y1=\"{TOP}\" x2=\"{x:.1}\" y2=\"{height}\" \
                 stroke=\"#ddd\"/><text x=\"{x:.1}\" y=\"{}\">{tick} ms</text>",
                TOP - 6,
            ),
        );
    }
}

fn push_row(text: &mut String, row: usize, case: &Case, runs: &[RunReport]) {
    let y = TOP + ROW_HEIGHT * (row + 1);
    push(
        text,
        format_args!("<text x=\"4\" y=\"{}\">{}</text>", y + 4, case.name),
    );
    for run in runs {
        if run.case != case.name {
            continue;
        }
        let x = x_of(tail_us(case, run) as f64 / 1e3);
        push(
            text,
            format_args!(
                "<circle cx=\"{x:.1}\" cy=\"{y}\" r=\"4\" fill=\"{}\" fill-opacity=\"0.8\"/>",
                colour(run.policy),
            ),
        );
    }
}

fn push(text: &mut String, line: std::fmt::Arguments<'_>) {
    writeln!(text, "{line}").expect("writing to a string cannot fail");
}

fn x_of(millis: f64) -> f64 {
    let share = (millis.clamp(LOWEST_MS, HIGHEST_MS) / LOWEST_MS).ln();
    LEFT + PLOT_WIDTH * share / (HIGHEST_MS / LOWEST_MS).ln()
}

const fn colour(kind: PolicyKind) -> &'static str {
    match kind {
        PolicyKind::Ours => "#d62728",
        PolicyKind::Oracle => "#000000",
        PolicyKind::Random => "#1f77b4",
        PolicyKind::RoundRobin => "#2ca02c",
        PolicyKind::LeastInFlight => "#ff7f0e",
        PolicyKind::TwoChoices => "#9467bd",
        PolicyKind::RandomNoGate => "#aec7e8",
        PolicyKind::RoundRobinNoGate => "#98df8a",
        PolicyKind::LeastInFlightNoGate => "#ffbb78",
        PolicyKind::TwoChoicesNoGate => "#c5b0d5",
    }
}

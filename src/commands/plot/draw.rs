//! Draws the plot: calls per second in the upper half, latencies in the lower.

use eyre::{Result, eyre};
use plotters::coord::Shift;
use plotters::coord::ranged1d::ValueFormatter;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;
use strum::VariantArray;

use super::series::{Outcome, Step};

/// Width and height of the plot, in points.
const SIZE: (u32, u32) = (1_000, 640);
/// Names and colours of the latency curves, in the order of
/// [`Step::latencies_ms`].
const LATENCIES: [(&str, RGBColor); 2] = [("p50", BLUE), ("p99", MAGENTA)];

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Chart<'a, Y> = ChartContext<'a, SVGBackend<'a>, Cartesian2d<RangedCoordf64, Y>>;
type DrawFault = DrawingAreaErrorKind<std::io::Error>;

/// One curve over time in seconds.
struct Curve {
    name: &'static str,
    colour: RGBColor,
    points: Vec<(f64, f64)>,
}

/// Draws the steps as SVG.
pub(super) fn svg(steps: &[Step], suppressed_lines: u64) -> Result<String> {
    let mut text = String::new();
    {
        let root = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        draw(&root, steps, suppressed_lines)
            .map_err(|error| eyre!("cannot draw the plot: {error}"))?;
    }
    Ok(text)
}

fn draw(root: &Area<'_>, steps: &[Step], suppressed_lines: u64) -> Result<(), DrawFault> {
    root.fill(&WHITE)?;
    let (rates, latencies) = root.split_vertically(SIZE.1 / 2);
    draw_rates(&rates, steps, suppressed_lines)?;
    draw_latencies(&latencies, steps)?;
    root.present()
}

const fn colour_of(outcome: Outcome) -> RGBColor {
    match outcome {
        Outcome::Answered => GREEN,
        Outcome::Failed => BLACK,
        Outcome::NotRun => BLUE,
        Outcome::Unknown => RED,
    }
}

fn last_s(steps: &[Step]) -> f64 {
    steps.last().map_or(1.0, |step| step.at_s.max(1.0))
}

fn draw_rates(area: &Area<'_>, steps: &[Step], suppressed_lines: u64) -> Result<(), DrawFault> {
    let mut highest = 1.0_f64;
    for rate in steps.iter().flat_map(|step| step.rates) {
        highest = highest.max(rate);
    }
    let caption = match suppressed_lines {
        0 => "calls a second".to_owned(),
        lines => format!("calls a second, without {lines} lines that nodes left out"),
    };
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..last_s(steps), 0.0..highest * 1.05)?;
    let mut curves = Vec::new();
    for outcome in Outcome::VARIANTS {
        let rates = steps
            .iter()
            .map(|step| (step.at_s, step.rates[*outcome as usize]));
        curves.push(Curve {
            name: outcome.into(),
            colour: colour_of(*outcome),
            points: rates.collect(),
        });
    }
    draw_curves(&mut chart, curves)
}

fn draw_latencies(area: &Area<'_>, steps: &[Step]) -> Result<(), DrawFault> {
    let mut highest = 10;
    for [_, p99] in steps.iter().filter_map(|step| step.latencies_ms) {
        highest = highest.max(p99);
    }
    let mut chart = ChartBuilder::on(area)
        .caption("latency of answered calls, ms", ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..last_s(steps), (1.0..highest as f64 * 1.2).log_scale())?;
    let mut curves = Vec::new();
    for (index, (name, colour)) in LATENCIES.into_iter().enumerate() {
        let mut points = Vec::new();
        for step in steps {
            let Some(latencies_ms) = step.latencies_ms else {
                continue;
            };
            points.push((step.at_s, latencies_ms[index].max(1) as f64));
        }
        curves.push(Curve {
            name,
            colour,
            points,
        });
    }
    draw_curves(&mut chart, curves)
}

/// Draws the axes, the curves and the legend.
fn draw_curves<Y>(chart: &mut Chart<'_, Y>, curves: Vec<Curve>) -> Result<(), DrawFault>
where
    Y: Ranged<ValueType = f64> + ValueFormatter<f64>,
{
    chart.configure_mesh().x_desc("seconds").draw()?;
    for curve in curves {
        let colour = curve.colour;
        chart
            .draw_series(LineSeries::new(curve.points, colour))?
            .label(curve.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()
}

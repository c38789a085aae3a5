//! Draws the report as one SVG image. For the first seed of each pattern, it plots over time the waits of short
//! tasks, the free processors by how much is free on a worker, and the preempted runs.

use plotters::coord::Shift;
use plotters::prelude::{
    ChartBuilder, Circle, DrawingArea, IntoDrawingArea, LineSeries, RGBColor, SVGBackend, WHITE,
};
use plotters::style::Color;

use super::lines::Line;
use super::load::{Class, BEGIN_MS, CLASSES, TRAFFIC_MS};
use super::table;
use super::tally::Timeline;

/// The size of one plot, in pixels.
const WIDTH: u32 = 460;
const HEIGHT: u32 = 230;

/// The length of the time spans for which waits and preempted runs are aggregated, in milliseconds.
const SPAN_MS: u64 = 2_000;

/// Colours that people with red-green colour blindness can tell apart too.
const COLOURS: [RGBColor; 3] =
    [RGBColor(0, 114, 178), RGBColor(230, 159, 0), RGBColor(120, 120, 120)];

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// One line of a plot: its name, and its points in seconds and units.
type Series = (&'static str, Vec<(f64, f64)>);

/// Draws the report.
///
/// # Errors
/// Returns the drawing library's error as text.
pub fn page(lines: &[Line]) -> Result<String, String> {
    let names = table::patterns(lines);
    let mut svg = String::new();
    {
        let size = (3 * WIDTH, HEIGHT * names.len().max(1) as u32);
        let area = SVGBackend::with_string(&mut svg, size).into_drawing_area();
        area.fill(&WHITE).map_err(|e| e.to_string())?;
        let cells = area.split_evenly((names.len().max(1), 3));
        for (name, cells) in names.iter().zip(cells.chunks(3)) {
            let first = lines.iter().find(|l| l.pattern == *name);
            let Some(line) = first else { continue };
            let timeline = &line.outcome.timeline;
            let title = |what: &str| format!("{name}, seed {}: {what}", line.seed);
            plot(&cells[0], &title("waits of short tasks, ms"), &waits(timeline))?;
            plot(&cells[1], &title("free cores by piece of a worker"), &free_cores(timeline))?;
            plot(&cells[2], &title("runs that gave way"), &preempted(timeline))?;
        }
        area.present().map_err(|e| e.to_string())?;
    }
    Ok(svg)
}

fn seconds(at: u64) -> f64 {
    at.saturating_sub(BEGIN_MS) as f64 / 1e3
}

/// Returns the start time of each span in which jobs arrive.
fn spans() -> impl Iterator<Item = u64> {
    (BEGIN_MS..BEGIN_MS + TRAFFIC_MS).step_by(SPAN_MS as usize)
}

fn waits(timeline: &Timeline) -> Vec<Series> {
    let quantile = |q: f64| {
        let point = |from: u64| {
            let within =
                timeline.waits.iter().filter(|(at, _)| (from..from + SPAN_MS).contains(at));
            let mut waits: Vec<u64> = within.map(|(_, wait)| *wait).collect();
            waits.sort_unstable();
            let at = ((waits.len() as f64 * q) as usize).min(waits.len().saturating_sub(1));
            waits.get(at).map(|&wait| (seconds(from), wait as f64))
        };
        spans().filter_map(point).collect()
    };
    vec![("median", quantile(0.5)), ("9 of 10", quantile(0.9)), ("longest", quantile(1.0))]
}

fn free_cores(timeline: &Timeline) -> Vec<Series> {
    let free_on =
        |n: usize| timeline.free.iter().map(|(at, free)| (seconds(*at), free[n])).collect();
    vec![("half or more", free_on(2)), ("a quarter to a half", free_on(1)), ("less", free_on(0))]
}

fn preempted(timeline: &Timeline) -> Vec<Series> {
    let of = |class: Class| {
        let count = |from: u64| {
            let within =
                |(at, of): &&(u64, Class)| *of == class && (from..from + SPAN_MS).contains(at);
            (seconds(from), timeline.preempted.iter().filter(within).count() as f64)
        };
        spans().map(count).collect()
    };
    CLASSES.into_iter().map(|class| (class.name(), of(class))).collect()
}

fn plot(area: &Area<'_>, title: &str, all: &[Series]) -> Result<(), String> {
    let points = || all.iter().flat_map(|(_, points)| points);
    let top = points().map(|(_, y)| *y).fold(1.0, f64::max) * 1.05;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 13))
        .margin(8)
        .x_label_area_size(22)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..seconds(BEGIN_MS + TRAFFIC_MS), 0.0..top)
        .map_err(|e| e.to_string())?;
    chart.configure_mesh().x_desc("seconds").draw().map_err(|e| e.to_string())?;
    for ((name, points), colour) in all.iter().zip(COLOURS) {
        let line = LineSeries::new(points.iter().copied(), &colour);
        let series = chart.draw_series(line).map_err(|e| e.to_string())?;
        series.label(*name).legend(move |at| Circle::new(at, 4, colour.filled()));
    }
    let mut labels = chart.configure_series_labels();
    labels.background_style(WHITE.mix(0.8)).draw().map_err(|e| e.to_string())
}

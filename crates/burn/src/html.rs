//! Formats the report as one self-contained HTML page with SVG plots.

use std::fmt::Write as _;

use plotters::prelude::{ChartBuilder, IntoDrawingArea, LineSeries, SVGBackend, BLUE, RED, WHITE};

use crate::burn::{Row, FAST_BURN};

const WIDTH: u32 = 640;
const HEIGHT: u32 = 180;

/// Draws the burn over time as SVG. Returns `None` if there are fewer than two points in time.
///
/// # Errors
/// Returns the drawing library's error as text.
pub fn plot(row: &Row) -> Result<Option<String>, String> {
    let (Some(first), Some(last)) = (row.course.first(), row.course.last()) else {
        return Ok(None);
    };
    if first.0 == last.0 {
        return Ok(None);
    }
    let seconds = |at: u64| (at - first.0) as f64 / 1000.0;
    let top = row.course.iter().map(|(_, burn)| *burn).fold(FAST_BURN * 1.2, f64::max);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH, HEIGHT)).into_drawing_area();
        area.fill(&WHITE).map_err(|e| e.to_string())?;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(40)
            .build_cartesian_2d(0.0..seconds(last.0), 0.0..top)
            .map_err(|e| e.to_string())?;
        chart
            .configure_mesh()
            .x_desc("seconds")
            .y_desc("burn")
            .draw()
            .map_err(|e| e.to_string())?;
        let points = row.course.iter().map(|(at, burn)| (seconds(*at), *burn));
        chart.draw_series(LineSeries::new(points, &BLUE)).map_err(|e| e.to_string())?;
        let limit = [(0.0, FAST_BURN), (seconds(last.0), FAST_BURN)];
        chart.draw_series(LineSeries::new(limit, &RED)).map_err(|e| e.to_string())?;
        area.present().map_err(|e| e.to_string())?;
    }
    Ok(Some(svg))
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Builds the HTML page of the report.
///
/// # Errors
/// Returns the drawing library's error as text.
pub fn page(rows: &[Row]) -> Result<String, String> {
    let mut out = String::from(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Service-level burn</title>\
         <style>body{font-family:sans-serif;margin:2em}td,th{padding:.2em .8em;text-align:right}\
         .fast{color:#b00}</style><h1>Service-level burn</h1>",
    );
    if rows.is_empty() {
        out.push_str("<p>No service with an objective has been asked yet.</p>");
    }
    for row in rows {
        let title = format!("{} for {}", row.key.service, row.key.partner);
        let _ = write!(
            out,
            "<h2>{}</h2><p>Objective: {}% within {} ms.{}{}</p>",
            escape(&title),
            row.objective.good_percent,
            row.objective.latency_ms,
            if row.fast { " <b class=\"fast\">Fast burn.</b>" } else { "" },
            if row.slow { " <b>Slow burn.</b>" } else { "" },
        );
        out.push_str("<table><tr><th>window</th><th>requests</th><th>bad</th><th>burn</th>");
        out.push_str("<th>burnt by</th></tr>");
        for w in &row.windows {
            let causes: Vec<String> =
                w.causes.iter().map(|(cause, n)| format!("{cause:?} {n:.0}")).collect();
            let _ = write!(
                out,
                "<tr><td>{} s</td><td>{:.0}</td><td>{:.0}</td><td>{:.2}</td><td>{}</td></tr>",
                w.seconds,
                w.requests,
                w.bad,
                w.burn,
                causes.join(", ")
            );
        }
        out.push_str("</table>");
        out.push_str(&plot(row)?.unwrap_or_default());
    }
    out.push_str("</html>\n");
    Ok(out)
}

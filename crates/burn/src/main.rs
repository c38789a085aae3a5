//! `gaplock-burn`: reports on service-level burn as text, JSON or an HTML page.

use std::io::Write as _;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use async_std::task;
use gaplock_burn::burn::{self, Objective, Row};
use gaplock_burn::html;
use gaplock_burn::sample::{self, Sample};
use gaplock_settings::{setting, Kind, Setting, Values};

const ABOUT: &str = "reports how fast services use up their error budgets

Takes samples of the entries' counters for a while, adds those kept in --samples, and reports.
Example: gaplock-burn --health 127.0.0.1:9090 --objective coldtrace=40:99 --html burn.html";

const TABLE: &[Setting] = &[
    setting("health", Kind::List, "ADDRS", None, "Health addresses of entries."),
    setting("objective", Kind::List, "SERVICE=MS:PERCENT", None, "What each service promises."),
    setting("for", Kind::Number { min: 1, max: 86_400 }, "S", Some("10"), "How long to sample."),
    setting("every", Kind::Number { min: 1, max: 3_600 }, "S", Some("2"), "Time between samples."),
    setting(
        "windows",
        Kind::List,
        "SECONDS",
        Some("300,3600,21600"),
        "Windows of the report, shortest first.",
    ),
    setting(
        "samples",
        Kind::Text,
        "FILE",
        Some(""),
        "Keeps samples as JSON lines, for long windows.",
    ),
    setting("html", Kind::Text, "FILE", Some(""), "Writes the report as one page."),
    setting("json", Kind::Switch, "", None, "Prints JSON instead of text."),
];

fn main() -> ExitCode {
    let values = gaplock_settings::read_or_exit("gaplock-burn", ABOUT, TABLE);
    match task::block_on(run(&values)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("error: {why}");
            ExitCode::FAILURE
        }
    }
}

fn objective(text: &str) -> Result<Objective, String> {
    let fail = || format!("invalid --objective `{text}`: expected SERVICE=MS:PERCENT");
    let (service, rest) = text.split_once('=').ok_or_else(fail)?;
    let (latency, percent) = rest.split_once(':').ok_or_else(fail)?;
    Ok(Objective {
        service: service.to_string(),
        latency_ms: latency.parse().map_err(|_| fail())?,
        good_percent: percent.parse().map_err(|_| fail())?,
    })
}

async fn run(values: &Values) -> Result<(), String> {
    let health: Vec<String> = values.list("health").map_err(|e| e.to_string())?;
    let texts: Vec<String> = values.list("objective").map_err(|e| e.to_string())?;
    let objectives = texts.iter().map(|t| objective(t)).collect::<Result<Vec<_>, _>>()?;
    let windows: Vec<u64> = values.list("windows").map_err(|e| e.to_string())?;
    let mut samples = read_samples(values.text("samples"))?;
    let began = Instant::now();
    let span = Duration::from_secs(values.number("for"));
    loop {
        let taken = sample::take(&health).await;
        append_samples(values.text("samples"), &taken)?;
        samples.extend(taken);
        if began.elapsed() >= span {
            break;
        }
        task::sleep(Duration::from_secs(values.number("every"))).await;
    }
    let rows = burn::rows(&samples, &objectives, &windows);
    if values.switch("json") {
        println!("{}", serde_json::to_string_pretty(&rows).map_err(|e| e.to_string())?);
    } else {
        rows.iter().for_each(print_row);
        if rows.is_empty() {
            println!("no service with an objective has been asked yet");
        }
    }
    let file = values.text("html");
    if !file.is_empty() {
        std::fs::write(file, html::page(&rows)?).map_err(|e| format!("{file}: {e}"))?;
    }
    Ok(())
}

fn read_samples(file: &str) -> Result<Vec<Sample>, String> {
    if file.is_empty() || !std::path::Path::new(file).exists() {
        return Ok(Vec::new());
    }
    let text = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
    text.lines()
        .map(|line| serde_json::from_str(line).map_err(|e| format!("{file}: {e}")))
        .collect()
}

fn append_samples(file: &str, samples: &[Sample]) -> Result<(), String> {
    if file.is_empty() {
        return Ok(());
    }
    let open = std::fs::OpenOptions::new().append(true).create(true).open(file);
    let mut f = open.map_err(|e| format!("{file}: {e}"))?;
    for s in samples {
        let line = serde_json::to_string(s).map_err(|e| e.to_string())?;
        writeln!(f, "{line}").map_err(|e| format!("{file}: {e}"))?;
    }
    Ok(())
}

fn print_row(row: &Row) {
    let flags = match (row.fast, row.slow) {
        (true, _) => "FAST BURN",
        (false, true) => "slow burn",
        (false, false) => "ok",
    };
    println!(
        "{} for {}: {}% within {} ms: {flags}",
        row.key.service, row.key.partner, row.objective.good_percent, row.objective.latency_ms
    );
    for w in &row.windows {
        let causes: Vec<String> =
            w.causes.iter().map(|(cause, n)| format!("{cause:?} {n:.0}")).collect();
        println!(
            "  {:>6} s: {:.0} requests, {:.0} bad, burn {:.2} {}",
            w.seconds,
            w.requests,
            w.bad,
            w.burn,
            causes.join(", ")
        );
    }
}

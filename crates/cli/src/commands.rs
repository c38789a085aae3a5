//! Implements the commands of `gaplock`: each calls an entry and prints its answer.

use std::path::Path;
use std::time::Duration;

use gaplock_remote::http::{Call, Client};
use gaplock_settings::Values;
use gaplock_types::{api, config, ids, wire};
use http_types::Method;
use serde::Serialize;
use serde_json::{json, Value};

use crate::server::{Result, Server};
use crate::{table, Exit};

/// Runs the command that the positional arguments name.
pub async fn run(values: &Values) -> Exit {
    let command: Vec<&str> = values.positional.iter().map(String::as_str).collect();
    let server = match Server::open(values) {
        Ok(server) => server,
        Err(ended) => return ended,
    };
    let json = values.switch("json");
    let result = match command.as_slice() {
        ["plan", file] => plan(&server, values, file).await,
        ["confirm", file] => confirm(&server, file, json).await,
        ["undo"] => undo(&server, values).await,
        ["status"] => status(&server, json).await,
        ["config", "get"] => config_get(&server).await,
        ["config", "history"] => history(&server, json).await,
        ["workers"] => workers(&server, json).await,
        ["jobs"] => jobs(&server, json).await,
        ["why", job] => why(&server, job, json).await,
        ["cancel", job] => cancel(&server, job).await,
        ["confirm-dead", worker] => confirm_dead(&server, worker).await,
        ["report"] => report(values).await,
        [] => Err(Exit::Usage("name a command; --help lists them".to_string())),
        other => {
            let message = format!("`{}` is no command; --help lists them", other.join(" "));
            Err(Exit::Usage(message))
        }
    };
    result.err().unwrap_or(Exit::Done)
}

fn print_json(value: &impl Serialize) {
    println!(
        "{}",
        serde_json::to_string_pretty(value).expect("a server's answer always serializes to JSON")
    );
}

fn read_intent(file: &str) -> Result<Value> {
    let text = std::fs::read_to_string(file).map_err(|e| Exit::Usage(format!("{file}: {e}")))?;
    let is_json = Path::new(file).extension().is_some_and(|e| e == "json");
    if is_json {
        return serde_json::from_str(&text).map_err(|e| Exit::Usage(format!("{file}: {e}")));
    }
    toml::from_str(&text).map_err(|e| Exit::Usage(format!("{file}: {e}")))
}

async fn plan(server: &Server, values: &Values, file: &str) -> Result<()> {
    let intent = read_intent(file)?;
    show_plan(server, values, &intent).await
}

async fn undo(server: &Server, values: &Values) -> Result<()> {
    let before: config::Config =
        server.call(Method::Get, "/v1/config/previous", Vec::new()).await?;
    let intent = json!({
        "placements": before.placements,
        "partners": before.partners,
        "operators": before.operators,
    });
    show_plan(server, values, &intent).await
}

async fn show_plan(server: &Server, values: &Values, intent: &Value) -> Result<()> {
    let body = intent.to_string().into_bytes();
    let plan: api::Plan = server.call(Method::Post, "/v1/intents", body).await?;
    if values.switch("json") {
        print_json(&plan);
    } else {
        println!("plan {} against {}", plan.id, plan.base);
        for change in &plan.changes {
            println!("  + {change}");
        }
        for refusal in &plan.refused {
            println!("  ! {refusal}");
        }
    }
    let out = values.text("out");
    if !out.is_empty() {
        let text = serde_json::to_string_pretty(&plan).expect("a plan always serializes to JSON");
        std::fs::write(out, text).map_err(|e| Exit::Usage(format!("{out}: {e}")))?;
    }
    if !plan.refused.is_empty() {
        return Err(Exit::Refused("the plan cannot be confirmed; mend the intent".to_string()));
    }
    if out.is_empty() && !values.switch("json") {
        println!("nothing has moved; keep the plan with --out FILE to confirm it");
    }
    Ok(())
}

async fn confirm(server: &Server, file: &str, json: bool) -> Result<()> {
    let text = std::fs::read_to_string(file).map_err(|e| Exit::Usage(format!("{file}: {e}")))?;
    let plan: api::Plan =
        serde_json::from_str(&text).map_err(|e| Exit::Usage(format!("{file}: {e}")))?;
    let body = serde_json::to_vec(&plan).expect("a plan always serializes to JSON");
    let done: Value = server.call(Method::Post, "/v1/plans/confirm", body).await?;
    let status: Option<api::ConfigStatus> = serde_json::from_value(done["status"].clone()).ok();
    match &status {
        _ if json => print_json(&done),
        Some(status) => print_status(status),
        None => println!("confirmed"),
    }
    match status.filter(|status| status.plan != plan.id) {
        Some(newer) => Err(superseded_plan(newer.generation)),
        None => Ok(()),
    }
}

/// Builds the error for a repeated confirmation of a plan that a newer generation has replaced.
fn superseded_plan(generation: ids::Generation) -> Exit {
    Exit::Stale(format!(
        "the plan was confirmed before, and {generation} has taken its place since"
    ))
}

fn print_status(status: &api::ConfigStatus) {
    let names = |entries: &[gaplock_types::ids::EntryId]| {
        entries.iter().map(|e| e.to_string()).collect::<Vec<_>>().join(", ")
    };
    println!("{} in force at: {}", status.generation, names(&status.in_force));
    if !status.waiting.is_empty() {
        println!("not yet at: {}; look again with `gaplock status`", names(&status.waiting));
    }
}

async fn status(server: &Server, json: bool) -> Result<()> {
    let status: api::ConfigStatus =
        server.call(Method::Get, "/v1/config/status", Vec::new()).await?;
    if json {
        print_json(&status);
    } else {
        print_status(&status);
    }
    Ok(())
}

async fn config_get(server: &Server) -> Result<()> {
    let config: Value = server.call(Method::Get, "/v1/config", Vec::new()).await?;
    print_json(&config);
    Ok(())
}

async fn history(server: &Server, json: bool) -> Result<()> {
    let rows: Vec<api::HistoryRow> =
        server.call(Method::Get, "/v1/config/history", Vec::new()).await?;
    if json {
        print_json(&rows);
        return Ok(());
    }
    let cells = |r: &api::HistoryRow| {
        vec![r.generation.to_string(), r.by.clone(), r.at_unix_ms.to_string(), r.changes.join("; ")]
    };
    let rows: Vec<Vec<String>> = rows.iter().map(cells).collect();
    table::print(&["GENERATION", "BY", "UNIX MS", "CHANGES"], &rows);
    Ok(())
}

async fn workers(server: &Server, json: bool) -> Result<()> {
    let mut rows: Vec<api::WorkerRow> = server.call(Method::Get, "/v1/workers", Vec::new()).await?;
    rows.sort_by(|a, b| a.worker.cmp(&b.worker));
    if json {
        print_json(&rows);
        return Ok(());
    }
    let cells = |r: &api::WorkerRow| {
        vec![
            r.worker.to_string(),
            r.domain.to_string(),
            r.partition.to_string(),
            r.owner.to_string(),
            r.state.clone(),
            r.tasks.to_string(),
            format!("{} of {}", r.used, r.capacity),
        ]
    };
    let rows: Vec<Vec<String>> = rows.iter().map(cells).collect();
    table::print(&["WORKER", "DOMAIN", "PART", "OWNER", "STATE", "TASKS", "RESERVED"], &rows);
    Ok(())
}

fn task_kind_text(kind: &wire::TaskKind) -> String {
    match kind {
        wire::TaskKind::Service(service) => format!("service {service}"),
        wire::TaskKind::Batch(class) => format!("batch {class}"),
    }
}

async fn jobs(server: &Server, json: bool) -> Result<()> {
    let rows: Vec<api::JobRow> = server.call(Method::Get, "/v1/jobs", Vec::new()).await?;
    if json {
        print_json(&rows);
        return Ok(());
    }
    let cells = |r: &api::JobRow| {
        vec![
            r.job.to_string(),
            r.partner.to_string(),
            task_kind_text(&r.kind),
            r.queued.to_string(),
            r.running.to_string(),
            r.done.to_string(),
            r.lost.to_string(),
        ]
    };
    let rows: Vec<Vec<String>> = rows.iter().map(cells).collect();
    table::print(&["JOB", "PARTNER", "KIND", "WAITING", "RUNNING", "DONE", "LOST"], &rows);
    Ok(())
}

async fn why(server: &Server, job: &str, json: bool) -> Result<()> {
    let path = format!("/v1/jobs/{job}");
    let status: api::JobStatus = server.call(Method::Get, &path, Vec::new()).await?;
    if json {
        print_json(&status);
        return Ok(());
    }
    println!("{} of {}: {}", status.job, status.partner, task_kind_text(&status.kind));
    let cells = |t: &api::TaskStatus| {
        vec![
            t.task.to_string(),
            t.state.clone(),
            t.worker.as_ref().map(|w| w.to_string()).unwrap_or_default(),
            t.attempts.to_string(),
            t.evictions.to_string(),
            t.why.clone(),
        ]
    };
    let rows: Vec<Vec<String>> = status.tasks.iter().map(cells).collect();
    table::print(&["TASK", "STATE", "WORKER", "ATTEMPTS", "EVICTIONS", "WHY"], &rows);
    println!("decisions by its present owner, oldest first (unix ms):");
    for line in &status.history {
        println!("  {line}");
    }
    Ok(())
}

async fn cancel(server: &Server, job: &str) -> Result<()> {
    let path = format!("/v1/jobs/{job}");
    let _done: Value = server.call(Method::Delete, &path, Vec::new()).await?;
    println!("{job} is cancelled; running tasks are being stopped");
    Ok(())
}

async fn confirm_dead(server: &Server, worker: &str) -> Result<()> {
    let path = format!("/v1/workers/{worker}/confirm-dead");
    let _done: Value = server.call(Method::Post, &path, Vec::new()).await?;
    println!("{worker} counts as switched off; its tasks run elsewhere now");
    Ok(())
}

/// Prints the service request counters in the entries' metrics.
///
/// `gaplock-burn` produces the full report.
async fn report(values: &Values) -> Result<()> {
    let health: Vec<String> = values.list("health").map_err(|e| Exit::Usage(e.to_string()))?;
    if health.is_empty() {
        return Err(Exit::Usage("`report` needs --health or GAPLOCK_HEALTH".to_string()));
    }
    let mut rows = Vec::new();
    for addr in &health {
        let client = Client::open(addr, 0);
        let timeout = Duration::from_secs(3);
        let (method, path) = (Method::Get, "/metrics");
        let call = Call { method, path, headers: &[], body: Vec::new(), timeout };
        let Ok(answer) = client.call(call).await else {
            rows.push(vec![addr.clone(), "cannot be reached".to_string(), String::new()]);
            continue;
        };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let lines = text.lines().filter(|l| l.starts_with("gaplock_service_requests_total{"));
        for (labels, value) in lines.filter_map(|l| l.rsplit_once(' ')) {
            let labels = labels.trim_start_matches("gaplock_service_requests_total");
            rows.push(vec![addr.clone(), labels.to_string(), value.to_string()]);
        }
    }
    table::print(&["ENTRY", "SERVICE, PARTNER, CODE", "REQUESTS"], &rows);
    Ok(())
}

//! Checks what must hold at the end of a run.

use std::collections::BTreeMap;

use gaplock_coord::state;
use gaplock_standin::checker::{CheckerReport, Findings};
use gaplock_types::{ids, wire};

use crate::clients::Clients;
use crate::simulation::Simulation;

/// Returns a description of each violation.
pub fn violations(w: &mut Simulation, clients: &Clients) -> Vec<String> {
    let mut found = w.violations.clone();
    let mut verdicts = collect_verdicts(w);
    attribute_borrowed_runs(w, &mut verdicts);
    let findings = Findings::of(&verdicts, w.now);
    found.extend(findings.violations.iter().cloned());
    found.extend(
        clients
            .once
            .iter()
            .filter(|o| o.runs > 1)
            .map(|o| format!("request {} ran {} times", o.key, o.runs)),
    );
    found.extend(configuration(w, clients));
    found.extend(unfinished(w, clients, &findings));
    found
}

fn collect_verdicts(w: &mut Simulation) -> Vec<CheckerReport> {
    (0..w.workers.len())
        .flat_map(|i| {
            let now = w.worker_clock(i);
            w.workers[i].model.advance(now);
            let stretches = w.stretches(i);
            let host = &w.workers[i];
            let ops = BTreeMap::new;
            let past = host.past_counts.iter().map(move |counts| CheckerReport {
                counts: counts.clone(),
                stretches: Vec::new(),
                ops: ops(),
            });
            let current = CheckerReport {
                counts: host.model.counts.clone(),
                stretches,
                ops: BTreeMap::new(),
            };
            past.chain([current]).collect::<Vec<_>>()
        })
        .collect()
}

/// Attributes the time that a borrowed run ran to the lender's run, so that a task that runs at both
/// is detected.
fn attribute_borrowed_runs(w: &Simulation, verdicts: &mut [CheckerReport]) {
    let mut lenders: BTreeMap<ids::TaskId, wire::Run> = BTreeMap::new();
    for e in &w.entries {
        let Some(node) = &e.node else { continue };
        for (id, _) in node.owned() {
            let Some(p) = node.partition(id) else { continue };
            for (number, job) in p.committed().jobs.iter().filter(|(_, job)| job.is_borrowed()) {
                let borrowed = state::task_id(id, *number, 0);
                let mut parts = job.key.as_str().split(':').skip(1);
                let task = parts.next().and_then(|t| t.parse().ok());
                let attempt = parts.next().and_then(|a| a.parse().ok());
                if let (Some(task), Some(attempt)) = (task, attempt) {
                    lenders.insert(borrowed, wire::Run { task, attempt });
                }
            }
        }
    }
    for s in verdicts.iter_mut().flat_map(|j| j.stretches.iter_mut()) {
        if let Some(run) = lenders.get(&s.run.task) {
            s.run = *run;
        }
    }
}

/// Checks that an accepted generation has the same content everywhere, and that no process returns
/// to an older one.
fn configuration(w: &Simulation, clients: &Clients) -> Vec<String> {
    let mut found = Vec::new();
    let mut by_generation: BTreeMap<ids::Generation, ids::PlanId> = BTreeMap::new();
    let mut conflict = |generation: ids::Generation, plan: &ids::PlanId, who: &str| {
        let known = by_generation.entry(generation).or_insert_with(|| plan.clone());
        (known != plan).then(|| format!("{generation} is {known} and, for {who}, {plan}"))
    };
    for (i, e) in w.entries.iter().enumerate() {
        for (generation, plan) in &e.in_force {
            found.extend(conflict(*generation, plan, &format!("e{i}")));
        }
        let rises = e.in_force.windows(2).all(|pair| pair[0].0 < pair[1].0);
        if !rises {
            found.push(format!("e{i} went back in generations"));
        }
    }
    let mut newest = ids::Generation(0);
    for (number, outcome) in &w.confirmations {
        if let (Ok(generation), Some(plan)) = (outcome, clients.confirmations.get(number)) {
            found.extend(conflict(*generation, &plan.id, "its operator"));
            newest = newest.max(*generation);
        }
    }
    for (i, e) in w.entries.iter().enumerate() {
        let Some(node) = &e.node else { continue };
        if node.generations.generation() < newest {
            let has = node.generations.generation();
            found.push(format!("e{i} has {has} at the end, {newest} was accepted"));
        }
    }
    found
}

/// Describes what is wrong with a stored task that should have ended; `None` if nothing is.
fn unfinished_task(
    task: ids::TaskId,
    state: &str,
    cancelled: bool,
    findings: &Findings,
) -> Option<String> {
    let runs = findings.by_task.get(&task);
    let done = runs.map_or(0, |s| s.iter().filter(|s| s.done).count());
    let unsure = runs.is_some_and(|s| s.iter().any(|s| s.unsure));
    let as_expected = match state {
        "done" => done == 1 || (done == 0 && unsure),
        "cancelled" => cancelled,
        _ => false,
    };
    if as_expected {
        return None;
    }
    let each = runs.into_iter().flatten().map(|s| {
        let (from, to, resume) = (s.from_ms, s.to_ms, s.resume_ms);
        format!("{} {from}..{to:?} from {resume} done={}", s.run.attempt, s.done)
    });
    let each: Vec<String> = each.collect();
    Some(format!("finished {done} times: {}", each.join("; ")))
}

/// Checks that every stored job has ended: each task is done once, unless the job was cancelled.
fn unfinished(w: &Simulation, clients: &Clients, findings: &Findings) -> Vec<String> {
    let mut found = Vec::new();
    let mut jobs = BTreeMap::new();
    let mut whys = BTreeMap::new();
    let mut workers = Vec::new();
    for e in &w.entries {
        let Some(node) = &e.node else { continue };
        for (id, _) in node.owned() {
            let Some(p) = node.partition(id) else { continue };
            for row in p.summary().workers {
                let (state, tasks) = (row.state, row.tasks);
                workers
                    .push(format!("{} {state} {}/{} {tasks}", row.worker, row.used, row.capacity));
            }
            for (number, job) in &p.committed().jobs {
                for (i, t) in job.tasks.iter().enumerate() {
                    let task = state::task_id(id, *number, i as u32);
                    whys.insert(task, p.explain_task(task, t));
                }
            }
            for (number, job) in &p.committed().jobs {
                jobs.insert(ids::JobId { home: id, number: *number }, job.clone());
            }
        }
    }
    for request in &clients.jobs {
        let Some(id) = request.job else {
            found.push("a job could not be stored in the quiet time".to_string());
            continue;
        };
        let Some(job) = jobs.get(&id) else {
            found.push(format!("job {id} was stored and is lost"));
            continue;
        };
        for (i, t) in job.tasks.iter().enumerate() {
            let task = ids::TaskId { job: id, index: i as u32 };
            let fault = unfinished_task(task, t.is.name(), request.cancelled, findings);
            found.extend(
                fault.map(|what| format!("{task} is {} ({}), {what}", t.is.name(), whys[&task])),
            );
        }
    }
    if !found.is_empty() {
        found.push(format!("workers: {}", workers.join(", ")));
    }
    found
}

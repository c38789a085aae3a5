//! One proof for each promise of the brief, with real processes, faults and checks.
//!
//! Each proof starts its own installation, injects faults, and counts faults and checks. The
//! workers' checkers count violations of invariants. `docs/PROOFS.md` has a row for each proof.

mod batch;
mod configuration;
mod requests;
mod stops;

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use gaplock_standin::checker::Findings;
use serde_json::json;

use crate::cluster::{Cluster, Plan};
use crate::load::{Balancer, Tally};
use crate::site;

/// The result of a proof.
#[derive(Debug, Default)]
pub struct ProofResult {
    /// How many faults were injected.
    pub faults: u64,
    /// How many checks were made.
    pub checks: u64,
    /// Descriptions of the checks that failed.
    pub violations: Vec<String>,
    /// Measured figures, for `docs/PROOFS.md`.
    pub figures: Vec<String>,
}

impl ProofResult {
    /// Counts a check, and records a violation with the text of `what` unless `holds`.
    pub fn check(&mut self, holds: bool, what: impl FnOnce() -> String) {
        self.checks += 1;
        if !holds {
            self.violations.push(what());
        }
    }

    /// Adds the findings of the workers' checkers.
    pub fn add_findings(&mut self, findings: Findings) {
        self.checks += findings.checks;
        self.violations.extend(findings.violations);
    }

    /// Checks that no caller received another request's answer or a part of an answer, and that
    /// requests refused as "not run" did not run.
    pub fn check_tally(&mut self, tally: &Tally, findings: &Findings) {
        self.check(tally.wrong.is_empty(), || format!("wrong answers: {:?}", tally.wrong));
        self.checks += tally.answered.len() as u64;
        for op in &tally.not_run {
            let ran = findings.ops.get(op).copied().unwrap_or(0);
            self.check(ran == 0, || format!("{op} was refused as not run and ran {ran} times"));
        }
    }

    /// Adds a measured figure.
    pub fn add_figure(&mut self, text: String) {
        self.figures.push(text);
    }
}

/// How long each step of a proof may take before the proof fails.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(25);

/// A running installation with the first configuration in force, and a load balancer for callers.
pub struct Site {
    /// The installation's processes.
    pub cluster: Cluster,
    /// The load balancer.
    pub balancer: Balancer,
    stop: Arc<AtomicBool>,
}

impl Site {
    /// Starts an installation and waits until every entry serves requests.
    ///
    /// # Errors
    /// Returns an error if something does not start or happen in time.
    pub async fn open(plan: Plan) -> io::Result<Self> {
        let (entries, workers) = (plan.entries, plan.workers);
        let cluster = Cluster::start(plan).await?;
        for i in 0..entries {
            cluster.wait_ready(i, STEP_TIMEOUT).await?;
        }
        let intent = site::first_intent(workers as u32);
        cluster.apply_intent(0, site::BOOTSTRAP_KEY, intent).await?;
        cluster.wait_usable(0, workers, STEP_TIMEOUT).await?;
        for i in 0..entries {
            cluster.wait_serving(i, STEP_TIMEOUT).await?;
        }
        let stop = Arc::new(AtomicBool::new(false));
        let site = Self { cluster, balancer: Balancer::default(), stop };
        site.update_balancer();
        site.balancer.spawn(Arc::clone(&site.stop));
        async_std::task::sleep(Duration::from_millis(200)).await;
        Ok(site)
    }

    /// Sets the balancer's entries to those of the installation.
    pub fn update_balancer(&self) {
        let entries = self.cluster.entries.iter();
        let addrs = entries.map(|e| (e.callers.clone(), e.health.clone())).collect();
        self.balancer.set_entries(addrs);
    }

    /// Returns an entry other than `asked` that owns workers, by the list of workers at `asked`.
    ///
    /// # Errors
    /// Returns an error if no other entry owns a worker.
    pub async fn owner_other_than(&self, asked: usize) -> io::Result<usize> {
        let rows = self.cluster.worker_rows(asked).await?;
        let found = self
            .cluster
            .entries
            .iter()
            .enumerate()
            .find(|(i, e)| *i != asked && rows.iter().any(|r| r.owner.as_str() == e.name));
        found.map(|(i, _)| i).ok_or_else(|| io::Error::other("no other entry owns a worker"))
    }

    /// Submits a job and returns its id.
    ///
    /// # Errors
    /// Returns the text of the refusal if the job is not accepted within [`STEP_TIMEOUT`].
    pub async fn submit(
        &self,
        entry: usize,
        key: &str,
        work_ms: u64,
        tasks: u32,
        cpu: u32,
    ) -> io::Result<String> {
        let spec = json!({
            "class": "bundle", "demand": {"cpu": cpu, "mem": 512},
            "work_ms": work_ms, "tasks": tasks,
        });
        let partner = site::PARTNER_KEYS[0].1;
        let headers = [("idempotency-key", key)];
        let began = Instant::now();
        loop {
            let method = http_types::Method::Post;
            let answer = self
                .cluster
                .ask(entry, method, "/v1/jobs", partner, &headers, spec.clone())
                .await?;
            let job = answer
                .json::<serde_json::Value>()
                .and_then(|v| v["job"].as_str().map(String::from));
            match job {
                Some(job) => return Ok(job),
                None if began.elapsed() > STEP_TIMEOUT => {
                    let text = String::from_utf8_lossy(&answer.body).into_owned();
                    return Err(io::Error::other(text));
                }
                // The job has an idempotency key, so sending it again does not store it twice.
                None => async_std::task::sleep(Duration::from_millis(200)).await,
            }
        }
    }

    /// Waits until `entry` reports that every job has ended, and returns the jobs' statuses.
    ///
    /// # Errors
    /// Returns an error if that takes longer than `timeout`.
    pub async fn wait_ended(
        &self,
        entry: usize,
        jobs: &[String],
        timeout: Duration,
    ) -> io::Result<Vec<gaplock_types::api::JobStatus>> {
        let mut ended = Vec::new();
        let began = Instant::now();
        for job in jobs {
            loop {
                let path = format!("/v1/jobs/{job}");
                let method = http_types::Method::Get;
                let key = site::PARTNER_KEYS[0].1;
                let none = serde_json::Value::Null;
                let answer = self.cluster.ask(entry, method, &path, key, &[], none).await;
                let status = answer.ok().and_then(|a| a.json::<gaplock_types::api::JobStatus>());
                match status.filter(|s| s.ended) {
                    Some(status) => {
                        ended.push(status);
                        break;
                    }
                    None if began.elapsed() > timeout => {
                        return Err(io::Error::other(format!(
                            "job {job} has not ended within {timeout:?}"
                        )));
                    }
                    None => async_std::task::sleep(Duration::from_millis(50)).await,
                }
            }
        }
        Ok(ended)
    }

    /// Checks that the entries in `alive` have counted no invariant violations themselves.
    ///
    /// # Errors
    /// Returns an error if an entry's metrics cannot be read.
    pub async fn check_entries(&self, result: &mut ProofResult, alive: &[usize]) -> io::Result<()> {
        for i in alive {
            let name = "gaplock_invariant_violations_total";
            let count = self.cluster.metric(*i, name).await?;
            result
                .check(count == 0.0, || format!("entry {i} counted {count} invariant violations"));
        }
        Ok(())
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

/// Runs the proof of promise `number`, 1 to 9, and returns its result.
///
/// # Errors
/// Returns an error if something did not start or happen in time; the promise then counts as not
/// held.
pub async fn prove(number: u32) -> io::Result<ProofResult> {
    match number {
        1 => batch::capacity().await,
        2 => batch::no_concurrent_runs().await,
        3 => batch::resume_once().await,
        4 => requests::complete_answers().await,
        5 => requests::not_run().await,
        6 => requests::at_most_once().await,
        7 => stops::leaving_upstream().await,
        8 => stops::planned_stop().await,
        9 => configuration::configuration_in_force().await,
        other => Err(io::Error::other(format!("there is no promise {other}"))),
    }
}

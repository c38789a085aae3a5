//! Evaluates the reports of the worker stand-ins' checkers and finds violations of invariants.

use std::collections::BTreeMap;

use gaplock_types::ids;
use serde::{Deserialize, Serialize};

use crate::worker::{Counts, RunInterval};

/// What one worker's checker reports.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CheckerReport {
    /// The checker's counters.
    pub counts: Counts,
    /// The intervals in which runs were active.
    pub stretches: Vec<RunInterval>,
    /// How often each request ran, by the `op` of its body.
    pub ops: BTreeMap<String, u32>,
}

/// How far two run intervals may overlap without a violation, in milliseconds. It covers the step
/// in which the checker itself advances time.
const OVERLAP_TOLERANCE_MS: u64 = 25;

/// The combined reports of all workers' checkers.
#[derive(Debug, Default)]
pub struct Findings {
    /// How many checks were made.
    pub checks: u64,
    /// Descriptions of the violated invariants.
    pub violations: Vec<String>,
    /// Run intervals by task, sorted by start time.
    pub by_task: BTreeMap<ids::TaskId, Vec<RunInterval>>,
    /// How often each request ran on all workers together.
    pub ops: BTreeMap<String, u32>,
    /// How many starts all workers carried out together.
    pub starts: u64,
}

impl Findings {
    /// Combines the reports of all workers' checkers and checks them. `now_ms` is the time on the
    /// machine's clock; intervals of active runs extend to it.
    pub fn of(all: &[CheckerReport], now_ms: u64) -> Self {
        let mut f = Self::default();
        for (i, v) in all.iter().enumerate() {
            f.add_counts(i, &v.counts);
            for (op, count) in &v.ops {
                *f.ops.entry(op.clone()).or_default() += count;
            }
            for s in &v.stretches {
                f.by_task.entry(s.run.task).or_default().push(s.clone());
            }
        }
        for intervals in f.by_task.values_mut() {
            intervals.sort_by_key(|s| (s.from_ms, s.run.attempt));
        }
        f.check_runs(now_ms);
        f
    }

    fn add_counts(&mut self, worker: usize, c: &Counts) {
        self.starts += c.starts;
        for (what, count) in [
            ("starts over capacity", c.over_capacity),
            ("requests over the slots", c.over_slots),
            ("connections over the limit", c.over_connections),
            ("starts of a task that ran there already", c.doubled),
            ("pieces of new work while leaving", c.leaving_work),
        ] {
            self.checks += 1;
            if count > 0 {
                self.violations.push(format!("worker {worker}: {count} {what}"));
            }
        }
    }

    /// Checks that the runs of each task do not overlap, never resume from before an earlier run's
    /// checkpoint, and finish at most once.
    fn check_runs(&mut self, now_ms: u64) {
        let mut found = Vec::new();
        for (task, intervals) in &self.by_task {
            for pair in intervals.windows(2) {
                self.checks += 1;
                let end = pair[0].to_ms.unwrap_or(now_ms);
                if end > pair[1].from_ms + OVERLAP_TOLERANCE_MS {
                    let (a, b) = (pair[0].run.attempt, pair[1].run.attempt);
                    found.push(format!(
                        "{task}: {a} and {b} overlap by {} ms",
                        end - pair[1].from_ms
                    ));
                }
                if pair[1].resume_ms < pair[0].resume_ms {
                    found.push(format!("{task}: resumed from before its checkpoint"));
                }
            }
            self.checks += 1;
            let done = intervals.iter().filter(|s| s.done).count();
            if done > 1 {
                found.push(format!("{task}: finished {done} times"));
            }
        }
        self.violations.extend(found);
    }

    /// Checks that each of these requests ran at most once.
    pub fn check_at_most_once(&mut self, ops: impl Iterator<Item = String>) {
        for op in ops {
            self.checks += 1;
            let count = self.ops.get(&op).copied().unwrap_or(0);
            if count > 1 {
                self.violations.push(format!("request {op} ran {count} times"));
            }
        }
    }
}

//! Reads the worker stand-ins' judge and finds what must never have happened.

use std::collections::BTreeMap;

use gaplock_types::ids;
use serde::{Deserialize, Serialize};

use crate::worker::{Counts, Stretch};

/// What one worker's judge says.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Verdicts {
    /// Its counters.
    pub counts: Counts,
    /// What ran when.
    pub stretches: Vec<Stretch>,
    /// How often each request ran, by its body's `op`.
    pub ops: BTreeMap<String, u32>,
}

/// Two stretches may touch within this many milliseconds, the judge's own step.
const TOUCH_MS: u64 = 25;

/// Everything that the judges of all workers say together.
#[derive(Debug, Default)]
pub struct Findings {
    /// Checks made.
    pub checks: u64,
    /// What must never have happened, a sentence each.
    pub violations: Vec<String>,
    /// Runs by task, sorted by time.
    pub by_task: BTreeMap<ids::TaskId, Vec<Stretch>>,
    /// How often each request ran.
    pub ops: BTreeMap<String, u32>,
    /// Starts, over all workers.
    pub starts: u64,
}

impl Findings {
    /// Joins the judges of all workers, `now_ms` being the machine's clock.
    pub fn of(all: &[Verdicts], now_ms: u64) -> Self {
        let mut f = Self::default();
        for (i, v) in all.iter().enumerate() {
            f.take_in_counts(i, &v.counts);
            for (op, count) in &v.ops {
                *f.ops.entry(op.clone()).or_default() += count;
            }
            for s in &v.stretches {
                f.by_task.entry(s.run.task).or_default().push(s.clone());
            }
        }
        for stretches in f.by_task.values_mut() {
            stretches.sort_by_key(|s| (s.from_ms, s.run.attempt));
        }
        f.check_places(now_ms);
        f
    }

    fn take_in_counts(&mut self, worker: usize, c: &Counts) {
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

    fn check_places(&mut self, now_ms: u64) {
        let mut found = Vec::new();
        for (task, stretches) in &self.by_task {
            for pair in stretches.windows(2) {
                self.checks += 1;
                let end = pair[0].to_ms.unwrap_or(now_ms);
                if end > pair[1].from_ms + TOUCH_MS {
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
            let done = stretches.iter().filter(|s| s.done).count();
            if done > 1 {
                found.push(format!("{task}: finished {done} times"));
            }
        }
        self.violations.extend(found);
    }

    /// Counts requests that ran more than once although they must not.
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

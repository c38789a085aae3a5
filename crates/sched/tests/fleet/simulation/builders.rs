//! Builders of the configuration and the jobs that tests use.

use std::sync::Arc;

use gaplock_jobs::config::{Advice, CallerLimits, Config, Index, Pool, Queue};
use gaplock_jobs::{Job, JobKey, Step};
use gaplock_types::sizes::Resources;
use gaplock_types::time::Millis;

use super::{MAX_ATTEMPTS, QUEUE, SERVICE, UNIX_BASE};

/// Builds a configuration with one queue.
pub fn config(advice: Option<Advice>) -> Arc<Config> {
    Arc::new(Config {
        version: 1,
        queues: vec![Queue {
            name: QUEUE.into(),
            host: "h".into(),
            prefix: "/q/".into(),
            service: SERVICE.into(),
            priority: 0,
            max_attempts: MAX_ATTEMPTS,
            stretch: 1.5,
            slack: Millis(250),
            advice,
        }],
        pools: vec![Pool { service: SERVICE.into(), guards_capacity: true, headroom: false }],
        limits: CallerLimits {
            header_bytes: 1 << 14,
            body_bytes: 1 << 18,
            header: Millis(3_000),
            idle: Millis(15_000),
        },
        index: Index::default(),
    })
}

/// Builds a step of `count` tasks of one core each, which may start when the steps `after` are done.
pub fn step(count: u32, after: &[u16]) -> Step {
    Step {
        count,
        demand: Resources::new(1_000, 512, 0),
        estimate: Millis(500),
        after: after.to_vec(),
        ..Step::default()
    }
}

/// Builds a step of `count` long-running tasks, which run until their job is cancelled.
pub fn long_running_step(count: u32) -> Step {
    Step { lasting: true, ..step(count, &[]) }
}

/// Builds a job of the given steps with the key `key`.
pub fn job(key: u64, steps: Vec<Step>) -> Job {
    Job {
        key: JobKey(key),
        queue: QUEUE.into(),
        spec: "spec".into(),
        steps,
        repeat: None,
        accepted_unix_ms: UNIX_BASE,
        accepting_queue: None,
    }
}

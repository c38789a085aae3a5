//! The operators' configuration: queues, and the pools of workers that run their tasks.

use gaplock_types::{ids, time};

/// A queue that accepts jobs.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Queue {
    /// The queue's name.
    pub name: String,
    /// The host name by which callers address it.
    pub host: String,
    /// The path prefix by which callers address it.
    pub prefix: String,
    /// The pool of workers that runs its tasks.
    pub service: ids::ServiceId,
    /// The priority; 0 is the highest and may preempt others.
    pub priority: u32,
    /// How many failed runs a task may have.
    pub max_attempts: u32,
    /// The time objective of a job allows this many times the duration of its longest chain of
    /// steps.
    pub stretch: f64,
    /// The time objective of a job allows this much in addition.
    pub slack: time::Millis,
    /// Time limits of the service that says which workers may run a step, if it is to be asked.
    pub advice: Option<Advice>,
}

/// The upper bound of the time allowed to a job: ten years. Longer estimates by callers mean
/// nothing, and sums of times must not overflow.
pub const MAX_OBJECTIVE: time::Millis = time::Millis(315_360_000_000);

impl Queue {
    /// Returns the time objective of a job whose longest chain of steps takes `chain`.
    pub fn objective(&self, chain: time::Millis) -> time::Millis {
        let stretched = (chain.0 as f64 * self.stretch) as u64;
        time::Millis(stretched.saturating_add(self.slack.0)).min(MAX_OBJECTIVE)
    }
}

/// Time limits of the service that says which workers may run a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Advice {
    /// The time limit of a call, without the time for the named workers.
    pub decide: time::Millis,
    /// The additional time for each worker that the call names.
    pub each: time::Millis,
    /// How long an answer is valid.
    pub valid: time::Millis,
}

/// A pool of workers.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Pool {
    /// The pool's name.
    pub service: ids::ServiceId,
    /// Whether its workers refuse tasks that do not fit their capacity.
    pub guards_capacity: bool,
    /// Whether its hosts are switched off and kept in reserve.
    pub headroom: bool,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CallerLimits {
    /// The largest body in bytes.
    pub body_bytes: usize,
    /// The longest time for receiving a header.
    pub header: time::Millis,
    /// The longest time for which a connection may be idle.
    pub idle: time::Millis,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Config {
    /// The version number, which increases with each change.
    pub version: u64,
    /// All queues.
    pub queues: Vec<Queue>,
    /// All pools.
    pub pools: Vec<Pool>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

impl Config {
    /// Finds a queue by name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|q| q.name == name)
    }

    /// Finds the queue that a caller addresses: the host must match, and among the matching path
    /// prefixes the longest one wins.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .filter(|q| q.host.eq_ignore_ascii_case(host) && path.starts_with(&q.prefix))
            .max_by_key(|q| q.prefix.len())
    }
}

//! The operators' configuration in force: queues and the pools of workers that serve them.

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
    /// 0 goes first and may preempt others.
    pub priority: u32,
    /// How many failed runs a task may have.
    pub max_attempts: u32,
    /// The objective allows this many times the longest chain of work.
    pub stretch: f64,
    /// The objective allows this much on top.
    pub slack: time::Millis,
    /// How the service that decides where tasks may run is asked, if one is to be asked.
    pub advice: Option<Advice>,
}

/// Bounds of the service that says which workers may run a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Advice {
    /// The fixed time of a call.
    pub decide: time::Millis,
    /// The time for each named worker.
    pub each: time::Millis,
    /// How long an answer holds.
    pub valid: time::Millis,
}

/// A pool of workers.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Pool {
    /// The pool's name.
    pub service: ids::ServiceId,
    /// Whether its workers refuse what does not fit.
    pub guards_capacity: bool,
    /// Whether its hosts are switched off and held back.
    pub headroom: bool,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CallerLimits {
    /// The largest body in bytes.
    pub body_bytes: usize,
    /// How long a header may take.
    pub header: time::Millis,
    /// How long a connection may be idle.
    pub idle: time::Millis,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Config {
    /// The rising version.
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

    /// Finds the queue that a caller addresses: its host, and the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .filter(|q| q.host.eq_ignore_ascii_case(host) && path.starts_with(&q.prefix))
            .max_by_key(|q| q.prefix.len())
    }
}

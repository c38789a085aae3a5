//! The operators' configuration: queues, and the pools of workers that run their tasks.

use std::collections::{BTreeSet, HashMap};
use std::sync::OnceLock;

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

/// Returns the largest size of a request's headers where the configuration does not state it.
pub fn default_header_bytes() -> usize {
    16 << 10
}

/// Limits on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CallerLimits {
    /// The largest size of a request's headers in bytes. A host of an earlier version does not send
    /// it.
    #[serde(default = "default_header_bytes")]
    pub header_bytes: usize,
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
    /// Finds queues; built on first use.
    #[serde(skip)]
    pub index: Index,
}

/// The positions of a configuration's queues, by name and by host.
#[derive(Debug, Default)]
pub struct Index(OnceLock<Positions>);

#[derive(Debug, Default)]
struct Positions {
    by_name: HashMap<String, usize>,
    by_host: HashMap<String, Vec<usize>>,
}

/// An index follows from the queues, so all are equal.
impl PartialEq for Index {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

/// A clone may get other queues, and builds its own index.
impl Clone for Index {
    fn clone(&self) -> Self {
        Self::default()
    }
}

impl Config {
    fn positions(&self) -> &Positions {
        self.index.0.get_or_init(|| {
            let mut positions = Positions::default();
            for (at, queue) in self.queues.iter().enumerate() {
                positions.by_name.entry(queue.name.clone()).or_insert(at);
                positions.by_host.entry(queue.host.to_ascii_lowercase()).or_default().push(at);
            }
            positions
        })
    }

    /// Finds a queue by name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.positions().by_name.get(name).map(|&at| &self.queues[at])
    }

    /// Finds the queue that a caller addresses: the host must match, and among the matching path
    /// prefixes the longest one wins.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let at = self.positions().by_host.get(&host.to_ascii_lowercase())?;
        at.iter()
            .map(|&at| &self.queues[at])
            .filter(|q| path.starts_with(&q.prefix))
            .max_by_key(|q| q.prefix.len())
    }
}

/// What turns one version of the configuration into another.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Change {
    /// The version that it changes; `None` if it holds the whole configuration.
    pub base: Option<u64>,
    /// The version that results.
    pub version: u64,
    /// The names of queues that are removed.
    pub removed: Vec<String>,
    /// Queues that are new or differ.
    pub queues: Vec<Queue>,
    /// All pools.
    pub pools: Vec<Pool>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

/// Returns what turns `base` into `target`. It holds the whole configuration if there is no base, or
/// if a change could not keep the order of the queues.
pub fn change(base: Option<&Config>, target: &Config) -> Change {
    let whole = Change {
        base: None,
        version: target.version,
        removed: Vec::new(),
        queues: target.queues.clone(),
        pools: target.pools.clone(),
        limits: target.limits,
    };
    let Some(base) = base else { return whole };
    let names: BTreeSet<&str> = target.queues.iter().map(|q| q.name.as_str()).collect();
    let removed = base.queues.iter().filter(|q| !names.contains(q.name.as_str()));
    let differs = |q: &&Queue| base.queue(&q.name) != Some(*q);
    let change = Change {
        base: Some(base.version),
        removed: removed.map(|q| q.name.clone()).collect(),
        queues: target.queues.iter().filter(differs).cloned().collect(),
        ..whole.clone()
    };
    match apply(Some(base), change.clone()) {
        Some(applied) if applied == *target => change,
        _ => whole,
    }
}

/// Applies a change to a configuration; `None` if it changes another version.
pub fn apply(base: Option<&Config>, change: Change) -> Option<Config> {
    let Change { base: from, version, removed, queues, pools, limits } = change;
    let Some(from) = from else {
        return Some(Config { version, queues, pools, limits, index: Index::default() });
    };
    let base = base.filter(|base| base.version == from)?;
    let removed: BTreeSet<String> = removed.into_iter().collect();
    let changed: HashMap<&str, &Queue> = queues.iter().map(|q| (q.name.as_str(), q)).collect();
    let kept = base.queues.iter().filter(|q| !removed.contains(&q.name));
    let kept = kept.map(|q| changed.get(q.name.as_str()).copied().unwrap_or(q).clone());
    let added = queues.iter().filter(|q| base.queue(&q.name).is_none()).cloned();
    let queues = kept.chain(added).collect();
    Some(Config { version, queues, pools, limits, index: Index::default() })
}

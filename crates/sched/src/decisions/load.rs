//! The load of all queues and pools, as the leader shares it with the other hosts.

use std::collections::BTreeMap;

use gaplock_overload::summary::{LoadSummary, PoolLoad};
use gaplock_types::ids;
use gaplock_types::sizes::Resources;
use gaplock_types::time::Millis;

use crate::state::State;

/// Returns the present load.
pub fn summary(cx: &State, sequence: u64) -> LoadSummary {
    LoadSummary {
        term: cx.term.number,
        sequence,
        age: Millis(0),
        queues: Vec::new(),
        pools: pools(cx),
    }
}

/// Returns the capacity of all pools.
fn pools(cx: &State) -> Vec<PoolLoad> {
    let mut pools: BTreeMap<&ids::ServiceId, PoolLoad> = BTreeMap::new();
    for worker in &cx.workers {
        let pool = &worker.info.service;
        let load = pools.entry(pool).or_insert_with(|| PoolLoad {
            pool: pool.clone(),
            capacity_millicores: 0,
            largest: Resources::default(),
        });
        let capacity = worker.info.capacity;
        if worker.accepts_tasks(cx.now) {
            load.capacity_millicores += u64::from(capacity.cpu.0);
        }
        load.largest = Resources {
            cpu: load.largest.cpu.max(capacity.cpu),
            mem: load.largest.mem.max(capacity.mem),
            acc: load.largest.acc.max(capacity.acc),
        };
    }
    pools.into_values().collect()
}

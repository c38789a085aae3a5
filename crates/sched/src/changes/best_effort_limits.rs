//! Adjusts the limit on the best-effort demand that is at work in each pool.

use gaplock_types::time::Millis;

use crate::changes::trace;
use crate::decisions::concurrency_limit;
use crate::state::State;

/// How often pools are observed: readings of a shared worker arrive several times a second.
const OBSERVE_INTERVAL: Millis = Millis(300);

/// Observes all pools and adjusts their limits.
pub fn check(cx: &mut State) {
    if !cx.settings.limit_best_effort {
        cx.best_effort_limits.clear();
        return;
    }
    if cx.now.since(cx.pools_observed_at) < OBSERVE_INTERVAL {
        return;
    }
    cx.pools_observed_at = cx.now;
    let pools = concurrency_limit::observe_pools(cx);
    cx.best_effort_limits.retain(|pool, _| pools.contains_key(pool));
    for (pool, seen) in pools {
        let (limit, last) = cx.best_effort_limits.entry(pool.clone()).or_default();
        let change = limit.observe(cx.now, &seen);
        *last = seen;
        if let Some(change) = change {
            trace::best_effort_limit_changed(&pool, change, limit.millicores(), &seen);
        }
    }
}

//! Ranks racks for a gang.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use gaplock_types::ids;

use crate::state::State;

/// How many racks are tried for a gang that would be slower across several racks. Those with the
/// most free processors are tried first.
const MAX_RACKS_TRIED: usize = 4;

/// Lists the racks of a pool that have the most free processors, in descending order.
pub fn by_free_cpu(cx: &State, service: &ids::ServiceId) -> Vec<String> {
    let mut racks: BTreeMap<&str, u64> = BTreeMap::new();
    let pool = cx.workers.iter().filter(|w| w.info.service == *service && w.accepts_tasks(cx.now));
    for worker in pool {
        let Some(rack) = worker.info.rack() else { continue };
        let free = worker.info.capacity.minus(&worker.used).cpu.0;
        *racks.entry(rack).or_default() += u64::from(free);
    }
    let mut racks: Vec<(&str, u64)> = racks.into_iter().collect();
    racks.sort_by_key(|(_, free)| Reverse(*free));
    racks.into_iter().take(MAX_RACKS_TRIED).map(|(rack, _)| rack.to_string()).collect()
}

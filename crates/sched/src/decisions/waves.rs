//! Which hosts of a wave of upkeep may go down, and which are emptied next.

use gaplock_jobs::TaskKey;
use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};

use crate::interface::message::{HostState, WaveNumber, WorkerIx};
use crate::state::maintenance::Wave;
use crate::state::State;

/// How long short tasks may go on at a host that is to go down.
const MAX_SHORT_TASK_WAIT: Millis = Millis(2_500);

/// The time that one host takes from the first stop to its return, for the choice between waiting
/// for short tasks and being in time.
const HOST_MAINTENANCE_TIME: Millis = Millis(5_000);

/// Lists the hosts of a wave that are empty, or empty enough, with their workers.
pub fn emptied_hosts(
    cx: &State,
    number: WaveNumber,
) -> Vec<(ids::HostId, Option<ids::WorkerName>)> {
    let Some(wave) = cx.maintenance.waves.get(&number) else { return Vec::new() };
    let late = is_late(wave, cx.now);
    let ready = |host: &ids::HostId, since: Instant| match worker_on(cx, host) {
        Some(ix) => is_empty_enough(cx, ix, late || cx.now.since(since) >= MAX_SHORT_TASK_WAIT),
        None => true,
    };
    let emptied = wave.emptying.iter().filter(|(host, since)| ready(host, **since));
    let worker_of =
        |host: &ids::HostId| cx.maintenance.hosts.get(host).and_then(|h| h.worker.clone());
    emptied.map(|(host, _)| (host.clone(), worker_of(host))).collect()
}

/// Tells whether a worker's host may go down: nothing lasting runs there, and nothing else, unless
/// that has been waited for long enough.
fn is_empty_enough(cx: &State, ix: WorkerIx, waited: bool) -> bool {
    let mut running = cx.worker(ix).slots.keys();
    let lasting = |key: &TaskKey| cx.step(*key).is_some_and(|s| s.lasting);
    running.all(|key| waited && !lasting(key))
}

/// Tells whether what is left of a wave takes as long as there is time.
fn is_late(wave: &Wave, now: Instant) -> bool {
    let at_once = wave.request.at_once.max(1) as usize;
    let rounds = remaining_hosts(wave).count().div_ceil(at_once) as u64;
    now + Millis(rounds * HOST_MAINTENANCE_TIME.0) >= wave.until
}

/// Lists the hosts whose upkeep has not begun.
pub(crate) fn remaining_hosts(wave: &Wave) -> impl Iterator<Item = &ids::HostId> {
    let over = |h: &ids::HostId| wave.progress.begun.contains(h) || wave.excluded.contains(h);
    wave.request.hosts.iter().filter(move |h| !over(h))
}

/// Lists as many hosts as may be emptied next, those with fewest tasks first.
pub fn next_hosts(cx: &State, number: WaveNumber) -> Vec<ids::HostId> {
    let Some(wave) = cx.maintenance.waves.get(&number) else { return Vec::new() };
    let away = |h: &&ids::HostId| {
        let up = cx.maintenance.hosts.get(*h).is_some_and(|host| host.state == HostState::Up);
        wave.down.contains_key(*h) || wave.emptying.contains_key(*h) || !up
    };
    let taken = wave.request.hosts.iter().filter(away).count();
    let room = (wave.request.at_once as usize).saturating_sub(taken);
    let mut next: Vec<(usize, ids::HostId)> = remaining_hosts(wave)
        .filter(|h| !away(h))
        .map(|h| (worker_on(cx, h).map_or(0, |ix| cx.worker(ix).slots.len()), h.clone()))
        .collect();
    next.sort();
    next.into_iter().take(room).map(|(_, host)| host).collect()
}

/// Finds the worker on a host.
pub fn worker_on(cx: &State, host: &ids::HostId) -> Option<WorkerIx> {
    let name = cx.maintenance.hosts.get(host)?.worker.as_ref()?;
    cx.by_name.get(name).copied().filter(|ix| !cx.worker(*ix).terminated)
}

//! Decides which hosts of a maintenance wave may go down, and which are emptied next.

use gaplock_jobs::TaskKey;
use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};

use crate::interface::message::{HostState, WaveNumber, WorkerIx};
use crate::state::maintenance::Wave;
use crate::state::State;

/// How long short tasks may continue on a host that is to go down.
const MAX_SHORT_TASK_WAIT: Millis = Millis(2_500);

/// The time that one host takes from the first stop to its return. It decides between waiting for
/// short tasks and finishing the wave in time.
const HOST_MAINTENANCE_TIME: Millis = Millis(5_000);

/// Lists the hosts of a wave that are empty, or empty enough, with their workers.
pub fn emptied_hosts(
    cx: &State,
    number: WaveNumber,
) -> Vec<(ids::HostId, Option<ids::WorkerName>)> {
    let Some(wave) = cx.maintenance.waves.get(&number) else { return Vec::new() };
    let late = is_late(wave, cx.now);
    let is_ready = |host: &ids::HostId, since: Instant| match worker_on(cx, host) {
        Some(ix) => is_empty_enough(cx, ix, late || cx.now.since(since) >= MAX_SHORT_TASK_WAIT),
        None => true,
    };
    let emptied = wave.emptying.iter().filter(|(host, since)| is_ready(host, **since));
    let worker_of =
        |host: &ids::HostId| cx.maintenance.hosts.get(host).and_then(|h| h.worker.clone());
    emptied.map(|(host, _)| (host.clone(), worker_of(host))).collect()
}

/// Returns whether a worker's host may go down: no long-running task runs there, and no other task
/// either unless it has been waited for long enough.
fn is_empty_enough(cx: &State, ix: WorkerIx, waited_enough: bool) -> bool {
    let mut running = cx.worker(ix).slots.keys();
    let long_running = |key: &TaskKey| cx.step(*key).is_some_and(|s| s.lasting);
    running.all(|key| waited_enough && !long_running(key))
}

/// Returns whether the rest of a wave takes at least as long as there is time.
fn is_late(wave: &Wave, now: Instant) -> bool {
    let at_once = wave.request.at_once.max(1) as usize;
    let rounds = remaining_hosts(wave).count().div_ceil(at_once) as u64;
    now + Millis(rounds * HOST_MAINTENANCE_TIME.0) >= wave.deadline
}

/// Lists the hosts of a wave whose maintenance has not begun, without the excluded ones.
pub(crate) fn remaining_hosts(wave: &Wave) -> impl Iterator<Item = &ids::HostId> {
    let is_done = |h: &ids::HostId| wave.progress.begun.contains(h) || wave.excluded.contains(h);
    wave.request.hosts.iter().filter(move |h| !is_done(h))
}

/// Lists as many hosts as may be emptied next, those with the fewest tasks first.
pub fn next_hosts(cx: &State, number: WaveNumber) -> Vec<ids::HostId> {
    let Some(wave) = cx.maintenance.waves.get(&number) else { return Vec::new() };
    let unavailable = |h: &&ids::HostId| {
        let up = cx.maintenance.hosts.get(*h).is_some_and(|host| host.state == HostState::Up);
        wave.down.contains_key(*h) || wave.emptying.contains_key(*h) || !up
    };
    let unavailable_count = wave.request.hosts.iter().filter(unavailable).count();
    let allowance = (wave.request.at_once as usize).saturating_sub(unavailable_count);
    let mut next: Vec<(usize, ids::HostId)> = remaining_hosts(wave)
        .filter(|h| !unavailable(h))
        .map(|h| (worker_on(cx, h).map_or(0, |ix| cx.worker(ix).slots.len()), h.clone()))
        .collect();
    next.sort();
    next.into_iter().take(allowance).map(|(_, host)| host).collect()
}

/// Finds the worker on a host.
pub fn worker_on(cx: &State, host: &ids::HostId) -> Option<WorkerIx> {
    let name = cx.maintenance.hosts.get(host)?.worker.as_ref()?;
    cx.by_name.get(name).copied().filter(|ix| !cx.worker(*ix).terminated)
}

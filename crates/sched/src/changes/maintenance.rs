//! Maintenance waves: the operators ask that every host of a list goes down once, within a given
//! time, and that never more than a given number of hosts are down at once.
//!
//! A host is emptied first: it gets no new tasks, long-running tasks and tasks that can resume
//! leave it as fast as their callers allow, and short tasks may end. Only then is it ordered down.
//! A host whose maintenance has begun counts only once that is stored, so that a successor neither
//! repeats the host nor reports the wave as completed too early.
//!
//! An order without an answer may still be carried out after its repetition was refused, and after
//! the end of the leader that sent it. So an order is stored before it is sent, and a host with an
//! order of unknown outcome counts as down until the platform says that its maintenance has begun.
//! From then on no order takes the host down again: the platform answers an order that is already
//! done as done.
//!
//! Orders of two leaders for one host must not take turns: the last one holds the host for a time
//! that the installation states. A new leader sends none until the orders of the former one have
//! lapsed.

use std::collections::{BTreeMap, BTreeSet};

use gaplock_policy::attempts::Execution;
use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};

use crate::changes::{commits, trace};
use crate::decisions::waves;
use crate::interface::message::{
    Action, HostInfo, HostState, MaintenanceAnswer, Record, WaveNumber, WaveProgress, WaveRequest,
};
use crate::state::maintenance::{DownHost, Wave};
use crate::state::State;

/// How often the hosts are listed while a wave is under way: a host is away for about 2 s, and all
/// hosts together may ask 60 times a second.
const HOST_LIST_INTERVAL: Millis = Millis(500);

/// The pause before an order that was not carried out is sent again.
const ORDER_RETRY_PAUSE: Millis = Millis(400);

/// The pause before an order is sent again that was refused for good while an earlier one may still
/// be carried out. It is long, since only that earlier order can change the answer.
const REFUSED_ORDER_RETRY_PAUSE: Millis = Millis(2_000);

/// Restores what a previous leader stored about waves.
pub fn restore(cx: &mut State, waves: Vec<WaveProgress>) {
    cx.maintenance.stored = waves.into_iter().map(|w| (w.number, w)).collect();
}

/// Holds back all orders until those have lapsed that a former leader sent before it stopped.
pub fn hold_orders(cx: &mut State, former_stopped_by: Instant) {
    cx.maintenance.held_until =
        former_stopped_by + cx.settings.order_lease + cx.settings.takeover_margin;
}

/// Returns whether the host of a worker that has just become known may go down by an order of a
/// previous leader. Such a worker gets no tasks, even before the first list of the hosts and before
/// the wave is known again.
pub fn is_expected_down(cx: &State, name: &ids::WorkerName) -> bool {
    let known = cx.maintenance.waves.values().map(|w| &w.progress);
    let mut unfinished = cx.maintenance.stored.values().chain(known).filter(|w| !w.completed);
    unfinished.any(|w| w.ordered.values().flatten().any(|worker| worker == name))
}

/// Handles a wave that the operators ask for. A wave that is already known changes nothing.
pub fn handle_wave_request(cx: &mut State, request: WaveRequest) {
    let number = request.number;
    if cx.maintenance.waves.contains_key(&number) {
        return;
    }
    let now = cx.now;
    let fresh = WaveProgress::new(number, cx.unix_ms);
    let known = cx.maintenance.stored.remove(&number);
    let is_new = known.is_none();
    let progress = known.unwrap_or(fresh);
    let age = Millis(cx.unix_ms.saturating_sub(progress.began_unix_ms));
    let deadline = now + Millis(request.within.0.saturating_sub(age.0));
    trace::wave_known(&request, progress.begun.len());
    if is_new {
        commits::add(cx, Record::Wave(progress.clone()));
    }
    let inherited: BTreeSet<ids::HostId> = progress.ordered.keys().cloned().collect();
    let wave = Wave {
        request,
        deadline,
        ordered: progress.ordered.clone(),
        progress,
        operators_notified: !is_new,
        excluded: BTreeSet::new(),
        emptying: inherited.iter().map(|host| (host.clone(), now)).collect(),
        inherited,
        down: BTreeMap::new(),
    };
    cx.maintenance.waves.insert(number, wave);
    cx.maintenance.list_due = Some(now);
}

/// Handles a list of all hosts that was requested at `sent`, or that none came.
pub fn handle_host_list(cx: &mut State, sent: Instant, hosts: Option<Vec<HostInfo>>) {
    cx.maintenance.list_due = Some(cx.now + HOST_LIST_INTERVAL);
    let Some(hosts) = hosts else { return };
    cx.maintenance.hosts = hosts.into_iter().map(|h| (h.id.clone(), h)).collect();
    cx.maintenance.hosts_listed_at = Some(sent);
    let (mut returned, mut awaited) = (Vec::new(), Vec::new());
    let maintenance = &mut cx.maintenance;
    for wave in maintenance.waves.values_mut() {
        let is_up =
            |h: &ids::HostId| maintenance.hosts.get(h).is_some_and(|h| h.state == HostState::Up);
        // A list that was requested before the answer may show the host as it was before its
        // maintenance.
        let is_back =
            |h: &ids::HostId, d: &DownHost| is_up(h) && d.begun.is_some_and(|at| sent > at);
        let back = wave.down.iter().filter(|(h, d)| is_back(h, d)).map(|(h, _)| h.clone());
        let back: Vec<ids::HostId> = back.collect();
        wave.down.retain(|h, _| !back.contains(h));
        returned.extend(back);
        if !wave.progress.completed {
            let expected = wave.down.iter().filter(|(_, d)| d.begun.is_none()).map(|(h, _)| h);
            awaited.extend(expected.chain(wave.emptying.keys()).cloned());
        }
        let unlisted = wave.request.hosts.iter().filter(|h| !maintenance.hosts.contains_key(*h));
        wave.excluded.extend(unlisted.cloned());
    }
    for host in returned {
        set_emptying(cx, &host, false);
    }
    // A host that has yet to go down may have another worker by now, which a late order would
    // terminate.
    for host in awaited {
        set_emptying(cx, &host, true);
    }
}

/// Handles the answer to an order that a host goes down.
pub fn handle_order_answer(
    cx: &mut State,
    number: WaveNumber,
    host: &ids::HostId,
    answer: MaintenanceAnswer,
) {
    let now = cx.now;
    let Some(wave) = cx.maintenance.waves.get_mut(&number) else { return };
    let Some(down) = wave.down.get_mut(host) else { return };
    trace::upkeep_answered(number, host, answer, down.attempts);
    match answer {
        MaintenanceAnswer::Begun => record_begun(cx, number, host),
        MaintenanceAnswer::NotOfWave => {
            if down.record_outcome(Execution::NotDone, now + REFUSED_ORDER_RETRY_PAUSE)
                == Execution::NotDone
            {
                exclude_host(cx, number, host);
            }
        }
        MaintenanceAnswer::Fenced => {
            down.record_outcome(Execution::NotDone, now + ORDER_RETRY_PAUSE);
            cx.actions.push(Action::ConfirmLeadership);
        }
        MaintenanceAnswer::Busy => {
            down.record_outcome(Execution::NotDone, now + ORDER_RETRY_PAUSE);
        }
        MaintenanceAnswer::Unclear => {
            down.record_outcome(Execution::Unknown, now + ORDER_RETRY_PAUSE);
        }
    }
}

/// Records that the maintenance of a host has begun.
fn record_begun(cx: &mut State, number: WaveNumber, host: &ids::HostId) {
    let now = cx.now;
    let Some(wave) = cx.maintenance.waves.get_mut(&number) else { return };
    if let Some(down) = wave.down.get_mut(host) {
        down.resend_at = None;
        down.begun.get_or_insert(now);
    }
    if wave.progress.begun.insert(host.clone()) {
        wave.progress.ordered.remove(host);
        let progress = wave.progress.clone();
        commits::add(cx, Record::Wave(progress));
    }
}

/// Excludes a host that does not belong to the wave and that no order can take down.
fn exclude_host(cx: &mut State, number: WaveNumber, host: &ids::HostId) {
    let Some(wave) = cx.maintenance.waves.get_mut(&number) else { return };
    wave.excluded.insert(host.clone());
    wave.down.remove(host);
    wave.progress.ordered.remove(host);
    let progress = wave.progress.clone();
    commits::add(cx, Record::Wave(progress));
    set_emptying(cx, host, false);
}

/// Advances every wave.
pub fn advance_waves(cx: &mut State) {
    let active = |w: &&Wave| w.operators_notified && !w.progress.completed;
    let numbers: Vec<WaveNumber> =
        cx.maintenance.waves.values().filter(active).map(|w| w.request.number).collect();
    if numbers.is_empty() {
        return;
    }
    if cx.maintenance.list_due.is_some_and(|at| at <= cx.now) {
        cx.maintenance.list_due = None;
        cx.actions.push(Action::ListHosts);
    }
    if cx.maintenance.hosts_listed_at.is_none() || cx.recovery_scan.is_some() {
        return;
    }
    for number in numbers {
        if cx.now >= cx.maintenance.held_until {
            repeat_orders(cx, number);
            order_emptied(cx, number);
        }
        begin_emptying(cx, number);
        complete_if_done(cx, number);
    }
}

/// Sends orders again that were not carried out, or may not have been.
fn repeat_orders(cx: &mut State, number: WaveNumber) {
    let now = cx.now;
    let Some(wave) = cx.maintenance.waves.get_mut(&number) else { return };
    for (host, down) in &mut wave.down {
        if down.resend_at.is_some_and(|at| at <= now) {
            down.resend_at = None;
            down.attempts.record_send();
            cx.actions.push(Action::Maintenance { wave: number, host: host.clone() });
        }
    }
}

/// Sends the maintenance order for each host that may go down (`waves::emptied_hosts`), if the
/// order is stored already; otherwise has it stored first.
fn order_emptied(cx: &mut State, number: WaveNumber) {
    let emptied = waves::emptied_hosts(cx, number);
    let Some(wave) = cx.maintenance.waves.get_mut(&number) else { return };
    let (stored, others): (Vec<_>, Vec<_>) =
        emptied.into_iter().partition(|(host, _)| wave.ordered.contains_key(host));
    for (host, _) in stored {
        wave.emptying.remove(&host);
        let mut down = DownHost::new(wave.inherited.contains(&host));
        down.attempts.record_send();
        wave.down.insert(host.clone(), down);
        trace::upkeep_ordered(number, &host);
        cx.actions.push(Action::Maintenance { wave: number, host });
    }
    let known = wave.progress.ordered.len();
    wave.progress.ordered.extend(others);
    if wave.progress.ordered.len() > known {
        let progress = wave.progress.clone();
        commits::add(cx, Record::Wave(progress));
    }
}

/// Begins to empty as many hosts as may go down next, those with the fewest tasks first.
fn begin_emptying(cx: &mut State, number: WaveNumber) {
    for host in waves::next_hosts(cx, number) {
        let now = cx.now;
        set_emptying(cx, &host, true);
        let Some(wave) = cx.maintenance.waves.get_mut(&number) else { return };
        wave.emptying.insert(host, now);
    }
}

/// Reports a wave as completed once the maintenance of every host that is not excluded has begun.
fn complete_if_done(cx: &mut State, number: WaveNumber) {
    let Some(wave) = cx.maintenance.waves.get_mut(&number) else { return };
    if waves::remaining_hosts(wave).next().is_some() {
        return;
    }
    wave.progress.completed = true;
    let progress = wave.progress.clone();
    trace::wave_completed(number, progress.begun.len());
    commits::add(cx, Record::Wave(progress));
}

/// Begins or ends the emptying of the worker on a host, if there is one.
fn set_emptying(cx: &mut State, host: &ids::HostId, emptying: bool) {
    if let Some(ix) = waves::worker_on(cx, host) {
        cx.worker_mut(ix).emptying = emptying;
    }
}

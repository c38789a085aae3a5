//! Waves of upkeep: the operators ask that every host of a list goes down once, in time, and never
//! more than so many at once.
//!
//! A host is emptied first: it gets no new tasks, what lasts or can resume leaves it as fast as its
//! callers allow, and short tasks may end. Only then is it ordered down. What has begun is stored
//! before it counts, so that a successor neither repeats a host nor reports a wave too early.

use std::collections::{BTreeMap, BTreeSet};

use gaplock_jobs::TaskKey;
use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};
use rustc_hash::FxHashMap;

use crate::context::Context;
use crate::message::{
    Action, HostInfo, HostState, Record, UpkeepAnswer, WaveNumber, WaveProgress, WaveRequest,
    WorkerIx,
};
use crate::{commits, trace};

/// Everything known of waves and of the hosts that they name.
#[derive(Debug, Default)]
pub struct Upkeep {
    waves: BTreeMap<WaveNumber, Wave>,
    /// What a former leader stored of waves that have not been heard of again yet.
    stored: BTreeMap<WaveNumber, WaveProgress>,
    hosts: FxHashMap<ids::HostId, HostInfo>,
    /// When the list of hosts in hand was asked for.
    listed: Option<Instant>,
    /// When the list is wanted next; unset while a call is under way.
    list_due: Option<Instant>,
}

/// One wave.
#[derive(Debug)]
struct Wave {
    request: WaveRequest,
    /// When it must be over.
    until: Instant,
    progress: WaveProgress,
    /// Whether the operators have been told of the wave; nothing goes down before.
    told: bool,
    /// Hosts that are not of the wave after all.
    left_out: BTreeSet<ids::HostId>,
    /// Hosts that are being emptied, and since when.
    emptying: BTreeMap<ids::HostId, Instant>,
    /// Hosts that were ordered down and may be down, by the time of the last order.
    down: BTreeMap<ids::HostId, Instant>,
    /// Hosts whose order is to be given again, and when.
    again: BTreeMap<ids::HostId, Instant>,
}

/// How often the hosts are listed while a wave is under way: a host is away for about 2 s, and all
/// hosts together may ask 60 times a second.
const LIST_EVERY: Millis = Millis(500);

/// How long short tasks may go on at a host that is to go down.
const SHORT_TASKS: Millis = Millis(2_500);

/// The pause before an order that was not carried out is given again.
const ORDER_AGAIN: Millis = Millis(400);

/// The time that one host takes from the first stop to its return, for the choice between waiting
/// for short tasks and being in time.
const ONE_HOST: Millis = Millis(5_000);

/// Takes over what a former leader stored of waves.
pub fn restore(cx: &mut Context, waves: Vec<WaveProgress>) {
    cx.upkeep.stored = waves.into_iter().map(|w| (w.number, w)).collect();
}

/// Takes in a wave that the operators ask for; one that is known already changes nothing.
pub fn asked(cx: &mut Context, request: WaveRequest) {
    let number = request.number;
    if cx.upkeep.waves.contains_key(&number) {
        return;
    }
    let now = cx.now;
    let fresh = WaveProgress::new(number, cx.unix_ms);
    let known = cx.upkeep.stored.remove(&number);
    let is_new = known.is_none();
    let progress = known.unwrap_or(fresh);
    let age = Millis(cx.unix_ms.saturating_sub(progress.began_unix_ms));
    let until = now + Millis(request.within.0.saturating_sub(age.0));
    trace::wave_known(&request, progress.begun.len());
    if is_new {
        commits::add(cx, Record::Wave(progress.clone()));
    }
    let wave = Wave {
        request,
        until,
        progress,
        told: !is_new,
        left_out: BTreeSet::new(),
        emptying: BTreeMap::new(),
        down: BTreeMap::new(),
        again: BTreeMap::new(),
    };
    cx.upkeep.waves.insert(number, wave);
    cx.upkeep.list_due = Some(now);
}

/// Takes in that a wave's progress is stored.
pub fn stored(cx: &mut Context, number: WaveNumber) {
    if let Some(wave) = cx.upkeep.waves.get_mut(&number) {
        wave.told = true;
    }
}

/// Takes in a list of all hosts that was asked for at `sent`, or that none came.
pub fn listed(cx: &mut Context, sent: Instant, hosts: Option<Vec<HostInfo>>) {
    cx.upkeep.list_due = Some(cx.now + LIST_EVERY);
    let Some(hosts) = hosts else { return };
    cx.upkeep.hosts = hosts.into_iter().map(|h| (h.id.clone(), h)).collect();
    cx.upkeep.listed = Some(sent);
    let upkeep = &mut cx.upkeep;
    for wave in upkeep.waves.values_mut() {
        let back = |host: &ids::HostId, ordered: Instant| {
            let up = upkeep.hosts.get(host).is_some_and(|h| h.state == HostState::Up);
            up && sent > ordered && wave.progress.begun.contains(host)
        };
        wave.down.retain(|host, ordered| !back(host, *ordered));
        let gone = wave.request.hosts.iter().filter(|h| !upkeep.hosts.contains_key(*h));
        wave.left_out.extend(gone.cloned());
    }
}

/// Takes in what became of an order that a host goes down.
pub fn answered(cx: &mut Context, number: WaveNumber, host: &ids::HostId, answer: UpkeepAnswer) {
    let now = cx.now;
    trace::upkeep_answered(number, host, answer);
    let Some(wave) = cx.upkeep.waves.get_mut(&number) else { return };
    match answer {
        UpkeepAnswer::Begun => {
            wave.again.remove(host);
            if wave.progress.begun.insert(host.clone()) {
                let progress = wave.progress.clone();
                commits::add(cx, Record::Wave(progress));
            }
        }
        UpkeepAnswer::NotOfWave => {
            wave.left_out.insert(host.clone());
            wave.down.remove(host);
            wave.again.remove(host);
            set_emptying(cx, host, false);
        }
        UpkeepAnswer::Fenced => {
            wave.again.insert(host.clone(), now + ORDER_AGAIN);
            cx.actions.push(Action::ConfirmLeadership);
        }
        UpkeepAnswer::Busy | UpkeepAnswer::Unclear => {
            wave.again.insert(host.clone(), now + ORDER_AGAIN);
        }
    }
}

/// Brings every wave on.
pub fn check(cx: &mut Context) {
    let active = |w: &&Wave| w.told && !w.progress.completed;
    let numbers: Vec<WaveNumber> =
        cx.upkeep.waves.values().filter(active).map(|w| w.request.number).collect();
    if numbers.is_empty() {
        return;
    }
    if cx.upkeep.list_due.is_some_and(|at| at <= cx.now) {
        cx.upkeep.list_due = None;
        cx.actions.push(Action::ListHosts);
    }
    if cx.upkeep.listed.is_none() || cx.survey.is_some() {
        return;
    }
    for number in numbers {
        order_again(cx, number);
        order_emptied(cx, number);
        empty_next(cx, number);
        complete(cx, number);
    }
}

/// Gives orders again that were not carried out, or may not have been.
fn order_again(cx: &mut Context, number: WaveNumber) {
    let now = cx.now;
    let Some(wave) = cx.upkeep.waves.get_mut(&number) else { return };
    let due: Vec<ids::HostId> =
        wave.again.iter().filter(|(_, at)| **at <= now).map(|(host, _)| host.clone()).collect();
    for host in due {
        wave.again.remove(&host);
        wave.down.insert(host.clone(), now);
        cx.actions.push(Action::Upkeep { wave: number, host });
    }
}

/// Orders hosts down that are empty, or empty enough.
fn order_emptied(cx: &mut Context, number: WaveNumber) {
    let Some(wave) = cx.upkeep.waves.get(&number) else { return };
    let late = is_late(wave, cx.now);
    let ready = |host: &ids::HostId, since: Instant| match worker_on(cx, host) {
        Some(ix) => is_empty_enough(cx, ix, late || cx.now.since(since) >= SHORT_TASKS),
        None => true,
    };
    let emptied = wave.emptying.iter().filter(|(host, since)| ready(host, **since));
    let emptied: Vec<ids::HostId> = emptied.map(|(host, _)| host.clone()).collect();
    let now = cx.now;
    let Some(wave) = cx.upkeep.waves.get_mut(&number) else { return };
    for host in emptied {
        wave.emptying.remove(&host);
        wave.down.insert(host.clone(), now);
        trace::upkeep_ordered(number, &host);
        cx.actions.push(Action::Upkeep { wave: number, host });
    }
}

/// Tells whether a worker's host may go down: nothing lasting runs there, and nothing else, unless
/// that has been waited for long enough.
fn is_empty_enough(cx: &Context, ix: WorkerIx, waited: bool) -> bool {
    let mut running = cx.worker(ix).slots.keys();
    let lasting = |key: &TaskKey| cx.step(*key).is_some_and(|s| s.lasting);
    running.all(|key| waited && !lasting(key))
}

/// Tells whether what is left of a wave takes as long as there is time.
fn is_late(wave: &Wave, now: Instant) -> bool {
    let at_once = wave.request.at_once.max(1) as usize;
    let rounds = left(wave).count().div_ceil(at_once) as u64;
    now + Millis(rounds * ONE_HOST.0) >= wave.until
}

/// Lists the hosts whose upkeep has not begun.
fn left(wave: &Wave) -> impl Iterator<Item = &ids::HostId> {
    let over = |h: &ids::HostId| wave.progress.begun.contains(h) || wave.left_out.contains(h);
    wave.request.hosts.iter().filter(move |h| !over(h))
}

/// Begins to empty as many hosts as may go down next, those with fewest tasks first.
fn empty_next(cx: &mut Context, number: WaveNumber) {
    let Some(wave) = cx.upkeep.waves.get(&number) else { return };
    let away = |h: &&ids::HostId| {
        let up = cx.upkeep.hosts.get(*h).is_some_and(|host| host.state == HostState::Up);
        wave.down.contains_key(*h) || wave.emptying.contains_key(*h) || !up
    };
    let taken = wave.request.hosts.iter().filter(away).count();
    let room = (wave.request.at_once as usize).saturating_sub(taken);
    let mut next: Vec<(usize, ids::HostId)> = left(wave)
        .filter(|h| !away(h))
        .map(|h| (worker_on(cx, h).map_or(0, |ix| cx.worker(ix).slots.len()), h.clone()))
        .collect();
    next.sort();
    for (_, host) in next.into_iter().take(room) {
        let now = cx.now;
        set_emptying(cx, &host, true);
        let Some(wave) = cx.upkeep.waves.get_mut(&number) else { return };
        wave.emptying.insert(host, now);
    }
}

/// Reports a wave as completed once the upkeep of every host that stays has begun.
fn complete(cx: &mut Context, number: WaveNumber) {
    let Some(wave) = cx.upkeep.waves.get_mut(&number) else { return };
    if left(wave).next().is_some() {
        return;
    }
    wave.progress.completed = true;
    let progress = wave.progress.clone();
    trace::wave_completed(number, progress.begun.len());
    commits::add(cx, Record::Wave(progress));
}

/// Finds the worker on a host.
fn worker_on(cx: &Context, host: &ids::HostId) -> Option<WorkerIx> {
    let id = cx.upkeep.hosts.get(host)?.worker.as_ref()?;
    cx.by_id.get(id).copied().filter(|ix| !cx.worker(*ix).gone)
}

/// Begins or ends the emptying of the worker on a host, if there is one.
fn set_emptying(cx: &mut Context, host: &ids::HostId, emptying: bool) {
    if let Some(ix) = worker_on(cx, host) {
        cx.worker_mut(ix).emptying = emptying;
    }
}

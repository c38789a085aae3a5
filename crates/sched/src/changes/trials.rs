//! Trials of suspects: each suspect runs alone on a worker for a while.
//!
//! This handles the following situation: a task takes its worker down some milliseconds after its
//! start, together with six to eighteen runs of other tasks, and all of them are released and
//! started again together. A suspect that runs alone takes down nothing else, and the next crash
//! distinguishes it from its former neighbors. Of tasks that were lost together, the one that had
//! run for the shortest time is tried first, since most crashes directly follow a start.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use gaplock_jobs::TaskKey;
use gaplock_types::ids;
use gaplock_types::time::Millis;

use crate::changes::crashes::reserved::{self, BASE_TRIAL_TIME};
use crate::changes::starts;
use crate::decisions::{losses, placement, requests};
use crate::interface::message::WorkerIx;
use crate::state::job_table::TaskState;
use crate::state::trial::Trial;
use crate::state::worker::Worker;
use crate::state::State;

/// The part of all workers, as a divisor, that tasks with a single loss may reserve. During a mass
/// loss they may reserve none: there are then hundreds of such tasks, nearly all of them innocent,
/// and capacity is scarce.
const TRIALS_DIVISOR: usize = 16;

/// How long a task with several losses waits for an empty worker: less than the time after which
/// users notice that a task is missing that could run.
const MAX_EMPTY_WORKER_WAIT: Millis = Millis(1_500);

/// How long a renewal waits at a worker on which a trial runs. What the worker last reported as
/// running distinguishes a crash at the start from a later one.
pub const RENEWAL_WAIT: Millis = Millis(250);

/// The part of a pool's workers, as a divisor, that trials may reserve for longer than
/// [`BASE_TRIAL_TIME`]. The rest is left to all other tasks. A suspect need not be the cause of a
/// loss: on a pool of two workers two innocent ones kept all other tasks waiting for 9 s.
const RESERVED_DIVISOR: usize = 2;

/// Ends the oldest trials in pools where trials reserve too large a part of the workers.
pub fn end_excess_trials(cx: &mut State) {
    let now = cx.now;
    let has_trial = |w: &Worker| w.trial.is_some_and(|trial| trial.until > now);
    let pools: BTreeSet<ids::ServiceId> =
        cx.workers.iter().filter(|w| has_trial(w)).map(|w| w.info.service.clone()).collect();
    for pool in pools {
        let of_pool = |w: &&Worker| w.info.service == pool && w.accepts_tasks(now);
        let all = cx.workers.iter().filter(of_pool).count();
        let mut trials: Vec<&mut Trial> = cx
            .workers
            .iter_mut()
            .filter(|w| w.info.service == pool && has_trial(w))
            .filter_map(|w| w.trial.as_mut())
            .collect();
        trials.sort_by_key(|trial| trial.began);
        let too_many = trials.len().saturating_sub(all / RESERVED_DIVISOR);
        let lasted = |trial: &&mut &mut Trial| now.since(trial.began) >= BASE_TRIAL_TIME;
        trials.iter_mut().take(too_many).filter(lasted).for_each(|trial| trial.until = now);
    }
}

/// A suspect that waits for an empty worker.
#[derive(Debug, Clone, Copy)]
struct WaitingSuspect {
    task: TaskKey,
    losses: usize,
    last_run_duration: Millis,
    waited: Millis,
}

/// Starts suspects alone on empty workers, those with the most losses first. The others may from
/// now on start without a trial: those with a single loss at once, those with several after
/// `MAX_EMPTY_WORKER_WAIT`.
pub fn start_trials(cx: &mut State) {
    if !cx.crashes.suspect_may_wait {
        return;
    }
    let waiting = list_waiting(cx);
    if waiting.is_empty() {
        return;
    }
    let mut empty = empty_workers(cx);
    let in_progress = cx.workers.iter().filter(|w| w.trial.is_some()).count();
    let max_trials =
        if losses::is_mass_loss(cx) { 0 } else { (cx.fleet_size() / TRIALS_DIVISOR).max(1) };
    let mut trials_left = max_trials.saturating_sub(in_progress);
    for suspect in waiting {
        if cx.is_at_start_limit() {
            return;
        }
        let several = suspect.losses > 1;
        if (several || trials_left > 0) && start_alone(cx, suspect.task, &mut empty) {
            trials_left = trials_left.saturating_sub(1);
        } else if !several || suspect.waited >= MAX_EMPTY_WORKER_WAIT {
            skip_trial(cx, suspect.task);
        }
    }
}

/// Lists the suspects that may start and wait for an empty worker, in the order in which they are
/// tried.
fn list_waiting(cx: &mut State) -> Vec<WaitingSuspect> {
    let now = cx.now;
    let mut any = false;
    let mut found: Vec<WaitingSuspect> = Vec::new();
    for &key in &cx.crashes.suspects {
        let Some(task) = cx.task(key).filter(|t| t.state == TaskState::Pending) else { continue };
        let Some(evidence) = task.crash_evidence.as_ref().filter(|e| !e.exempt_from_trial) else {
            continue;
        };
        any = true;
        if task.not_before <= now && evidence.may_start() {
            let (losses, last_run_duration) = (evidence.losses(), evidence.last_run_duration);
            found.push(WaitingSuspect {
                task: key,
                losses,
                last_run_duration,
                waited: now.since(task.since),
            });
        }
    }
    cx.crashes.suspect_may_wait = any;
    found.sort_by_key(|w| (Reverse(w.losses), w.last_run_duration, w.task));
    found
}

/// Lists the workers that accept tasks and on which nothing runs.
fn empty_workers(cx: &State) -> Vec<WorkerIx> {
    let all = cx.workers.iter().enumerate();
    let empty = all.filter(|(_, w)| w.slots.is_empty() && w.accepts_tasks(cx.now));
    empty.map(|(at, _)| WorkerIx(at as u32)).collect()
}

/// Starts a task on the empty worker whose loss would say most about the task: one whose address
/// has not lost a worker recently, and that answered last. The loss of a worker that crashes
/// anyway, or is dead already, would count against an innocent task.
fn start_alone(cx: &mut State, key: TaskKey, empty: &mut Vec<WorkerIx>) -> bool {
    let Some(job) = cx.jobs.get(&key.job).map(|entry| entry.job.clone()) else { return false };
    let Some(service) = requests::service_of(cx, &job) else { return false };
    let Some(request) = requests::placement_request(cx, &job, &service, key) else { return false };
    let rank = |ix: WorkerIx| {
        let worker = cx.worker(ix);
        let last_answer = worker.clock.map(|(last_answer, _)| last_answer);
        (cx.crashes.last_crash_by_addr.get(&worker.info.addr).copied(), Reverse(last_answer))
    };
    let fit = empty
        .iter()
        .enumerate()
        .filter(|(_, ix)| placement::score_if_fit(cx, **ix, &request).is_some());
    let Some((at, &ix)) = fit.min_by_key(|(_, ix)| rank(**ix)) else { return false };
    empty.swap_remove(at);
    starts::start_at(cx, ix, key);
    reserved::reserve(cx, ix, key);
    true
}

/// Lets a suspect start without a trial, like any other task.
fn skip_trial(cx: &mut State, key: TaskKey) {
    let evidence = cx.task_mut(key).and_then(|t| t.crash_evidence.as_mut());
    if let Some(evidence) = evidence {
        evidence.exempt_from_trial = true;
    }
}

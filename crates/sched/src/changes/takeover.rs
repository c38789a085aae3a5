//! What a new leader does before it may start a task that a previous leader may have started.
//!
//! The store records only the starts of suspects (tasks that may crash workers). So a new leader
//! runs a recovery scan: it asks every worker in the stored roster what it runs. The state of the
//! tasks that a worker may be running stays unknown until the worker answers or the longest lease
//! that it can hold is over.

use std::collections::{BTreeMap, BTreeSet};
use std::mem;
use std::sync::Arc;

use gaplock_jobs::progress::{self, JobState, Progress, StepProgress};
use gaplock_jobs::{Job, JobKey, Step, TaskKey};
use gaplock_types::time::Instant;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::changes::evacuation::{self, Evacuated};
use crate::changes::pacing::Learned;
use crate::changes::{
    accounting, checkpoints, commits, crashes, directory, inbox, intake, leases, lifecycle,
    maintenance, roster, steering, trace,
};
use crate::interface::claims::FormerLeaders;
use crate::interface::message::{
    Record, RosterEntry, Run, Steering, StoreRevision, StoredLoad, WaveProgress, WorkerIx,
};
use crate::state::job_table::{JobEntry, Round, StepState, TaskState};
use crate::state::recovery_scan::RecoveryScan;
use crate::state::worker::Listing;
use crate::state::State;

/// What a previous leader left in the store.
#[derive(Debug, Default)]
pub struct StoredState {
    /// All jobs, each with the revision at which it was stored.
    pub jobs: Vec<(Arc<Job>, StoreRevision)>,
    /// The stored progress of the jobs.
    pub progress: BTreeMap<JobKey, Progress>,
    /// The jobs whose stored progress cannot be read.
    pub unreadable: BTreeSet<JobKey>,
    /// The jobs that were cancelled, each with the revision at which that was stored.
    pub cancelled: Vec<(JobKey, StoreRevision)>,
    /// All jobs and cancellations that were stored up to this revision are listed above.
    pub inbox_read_up_to: StoreRevision,
    /// The workers that may be running something.
    pub roster: Vec<RosterEntry>,
    /// What has been learned about how images interfere with each other.
    pub learned: Learned,
    /// What a previous leader stored of the load.
    pub load: StoredLoad,
    /// The progress of the maintenance waves.
    pub waves: Vec<WaveProgress>,
    /// The failure domains that the operators have evacuated.
    pub evacuated: Evacuated,
    /// The operators' instructions for queues.
    pub steering: Steering,
    /// By when all former leaders have stopped acting.
    pub former_leaders: FormerLeaders,
}

/// Fills a new leader's state from the store and begins the recovery scan.
pub fn restore(cx: &mut State, stored: StoredState) {
    let StoredState {
        jobs,
        mut progress,
        unreadable,
        cancelled,
        inbox_read_up_to,
        roster,
        learned,
        load,
        waves,
        evacuated,
        steering,
        former_leaders,
    } = stored;
    evacuation::apply(cx, evacuated);
    steering::apply(cx, steering);
    cx.interference.restore(&learned);
    accounting::restore(cx, &load);
    maintenance::restore(cx, waves);
    let (mut unanswered_open, mut unanswered_closed) = (FxHashSet::default(), FxHashMap::default());
    for entry in roster {
        let ix = directory::find_or_add(cx, &entry.info, Listing::Absent { since: cx.now });
        let worker = cx.worker_mut(ix);
        worker.in_roster = entry.holds.is_none();
        worker.closed = entry.holds.is_some();
        match entry.holds {
            None => {
                unanswered_open.insert(ix);
            }
            Some(holds) => {
                unanswered_closed.insert(ix, holds);
            }
        }
    }
    let (stopped_by, former_may_act) = match former_leaders {
        FormerLeaders::StoppedBy(at) => (at, false),
        FormerLeaders::UnseenUntil(at) => (at, true),
    };
    let stopped_by = stopped_by.max(cx.now);
    if cx.term.number > 1 {
        maintenance::hold_orders(cx, stopped_by);
    }
    let leases_over_at = leases_over_at(cx, stopped_by);
    trace::takeover_began(
        cx.term.number,
        jobs.len(),
        unanswered_open.len(),
        unanswered_closed.len(),
    );
    let terminated = Vec::new();
    let scan = RecoveryScan {
        unanswered_open,
        unanswered_closed,
        terminated,
        open_workers_resolved: false,
        leases_over_at,
        former_may_act,
        inherited_wait: former_may_act,
        began: cx.now,
    };
    cx.recovery_scan = Some(scan);
    for (job, stored_at) in jobs {
        let key = job.key;
        let entry = match unreadable.contains(&key) {
            true => unreadable_entry(cx, job, stored_at),
            false => restored_entry(cx, job, stored_at, progress.remove(&key)),
        };
        intake::insert_entry(cx, entry);
        accounting::job_restored(cx, key);
        crashes::register_suspects(cx, key);
    }
    inbox::read(cx, inbox_read_up_to);
    for (key, stored_at) in cancelled {
        inbox::cancel(cx, key, stored_at);
    }
    check_recovery_scan(cx);
}

/// Returns when all leases are over that a leader granted until `stopped_by`.
fn leases_over_at(cx: &State, stopped_by: Instant) -> Instant {
    let lease = cx.settings.lease().with_drift(cx.settings.clock_drift_per_mille);
    stopped_by + lease + cx.settings.takeover_margin
}

/// Shortens the recovery scan once all former leaders are known to have stopped.
pub fn former_leaders_stopped(cx: &mut State) {
    let over_at = leases_over_at(cx, cx.now);
    let Some(scan) = cx.recovery_scan.as_mut().filter(|scan| scan.former_may_act) else { return };
    scan.former_may_act = false;
    scan.leases_over_at = scan.leases_over_at.min(over_at);
    trace::former_leaders_stopped(cx.term.number, over_at.since(cx.now));
}

/// Builds the entry of a job whose progress cannot be read. None of its tasks is started, because
/// tasks that are already done would run again. A job with long-running tasks only is restored
/// without progress instead, because such tasks are started again however they ended.
fn unreadable_entry(cx: &State, job: Arc<Job>, stored_at: StoreRevision) -> JobEntry {
    if job.steps.iter().all(|step| step.lasting) {
        return restored_entry(cx, job, stored_at, None);
    }
    trace::job_set_aside(job.key);
    let mut entry = intake::new_entry(cx, job, stored_at, None);
    (entry.state, entry.stored_state) = (JobState::Active, JobState::Active);
    entry.next_round = entry.total_rounds();
    entry.unreadable = true;
    entry
}

/// Builds the entry of a job from its stored progress, if there is any.
fn restored_entry(
    cx: &State,
    job: Arc<Job>,
    stored_at: StoreRevision,
    progress: Option<Progress>,
) -> JobEntry {
    let stored_queue = progress.as_ref().and_then(|progress| progress.queue.clone());
    let mut entry = intake::new_entry(cx, job, stored_at, stored_queue);
    let Some(progress) = progress else {
        return with_possibly_started_rounds(entry, cx.unix_ms);
    };
    entry.state = progress.state;
    entry.stored_state = progress.state;
    entry.ended_unix_ms = progress.ended_unix_ms;
    if entry.state.is_final() {
        return entry;
    }
    for stored in progress.rounds {
        if stored.finished {
            entry.finished_rounds.insert(stored.round);
            continue;
        }
        let mut round = Round::new(stored.round, &entry.job);
        let steps = round.steps.iter_mut().zip(&entry.job.steps);
        for ((state, step), stored) in steps.zip(&stored.steps) {
            apply_progress(state, step, stored);
        }
        entry.rounds.push(round);
    }
    with_possibly_started_rounds(entry, cx.unix_ms)
}

/// Adds the rounds that a previous leader may have begun without storing anything about them. Sets
/// the state of every task that is not done to unknown.
fn with_possibly_started_rounds(mut entry: JobEntry, unix_ms: u64) -> JobEntry {
    while entry.next_round < entry.total_rounds() && !entry.is_at_round_limit() {
        let number = entry.next_round;
        if entry.due_unix_ms(number) > unix_ms {
            break;
        }
        entry.next_round += 1;
        if !entry.finished_rounds.contains(&number) && entry.round(number).is_none() {
            let round = Round::new(number, &entry.job);
            entry.rounds.push(round);
        }
    }
    for task in entry.tasks_mut() {
        if task.state != TaskState::Done {
            task.state = TaskState::Unknown;
            task.may_have_run = true;
        }
    }
    entry
}

/// Applies the stored ends, failures and checkpoints to a step in its initial state.
fn apply_progress(state: &mut StepState, step: &Step, stored: &StepProgress) {
    for index in progress::unpack(&stored.done) {
        if let Some(task) = state.tasks.get_mut(index as usize) {
            task.state = TaskState::Done;
        }
    }
    state.unfinished = state.tasks.iter().filter(|t| t.state != TaskState::Done).count() as u32;
    for note in &stored.notes {
        if let Some(task) = state.tasks.get_mut(note.index as usize) {
            task.failed = note.failed;
            task.counted_runs = note.counted_runs.iter().copied().map(Run).collect();
            task.checkpoint = checkpoints::restored(step, note);
            task.crash_evidence = crashes::restore_crash_evidence(note);
        }
    }
}

/// Updates the recovery scan after a worker has answered or was proven to run nothing.
pub fn worker_resolved(cx: &mut State, ix: WorkerIx) {
    let terminated = cx.worker(ix).terminated;
    let Some(scan) = &mut cx.recovery_scan else { return };
    if scan.unanswered_open.remove(&ix) && terminated {
        scan.terminated.push(ix);
    }
    let held = scan.unanswered_closed.remove(&ix);
    let open_workers_resolved = scan.unanswered_open.is_empty();
    if let Some(held) = held {
        if terminated {
            crashes::count_loss_of_holder(cx, ix, &held, true);
        }
        if open_workers_resolved {
            resolve_open_workers(cx);
        }
    }
    check_recovery_scan(cx);
}

/// Resolves the tasks whose state has become known. Ends the recovery scan once every worker has
/// answered or its leases are over.
pub fn check_recovery_scan(cx: &mut State) {
    let Some(scan) = &cx.recovery_scan else { return };
    let late = cx.now >= scan.leases_over_at && !cx.may_be_superseded;
    if !scan.unanswered_open.is_empty() && !late {
        return;
    }
    let (took, silent) = (cx.now.since(scan.began), scan.unanswered_open.len());
    if scan.unanswered_closed.is_empty() || late {
        end_recovery_scan(cx);
        trace::survey_ended(took, silent);
    } else if !scan.open_workers_resolved {
        trace::survey_narrowed(took, scan.unanswered_closed.len());
        resolve_open_workers(cx);
    }
}

/// Ends the recovery scan: the state of every task is known from now on.
fn end_recovery_scan(cx: &mut State) {
    let Some(mut scan) = cx.recovery_scan.take() else { return };
    if scan.inherited_wait {
        commits::add(cx, Record::ClaimSettled);
    }
    for ix in scan.unanswered_open {
        if cx.worker(ix).is_absent() {
            leases::mark_terminated(cx, ix);
            scan.terminated.push(ix);
        }
    }
    for (ix, held) in scan.unanswered_closed {
        let terminated = cx.worker(ix).is_absent();
        crashes::count_loss_of_holder(cx, ix, &held, terminated);
        if terminated {
            leases::mark_terminated(cx, ix);
        }
    }
    resolve_tasks(cx, &FxHashSet::default(), &scan.terminated);
}

/// Once all open workers are resolved, resolves the tasks that no unanswered closed worker may
/// hold.
fn resolve_open_workers(cx: &mut State) {
    let (held, terminated) = mark_open_workers_resolved(cx);
    resolve_tasks(cx, &held, &terminated);
}

/// Resolves every task of unknown state, except the tasks in `held`: a closed worker that has not
/// answered may hold them. All others run nowhere; some of them may have been running on the
/// workers in `terminated` when these were lost.
fn resolve_tasks(cx: &mut State, held: &FxHashSet<TaskKey>, terminated: &[WorkerIx]) {
    if !terminated.is_empty() {
        let not_found = tasks_not_found(cx, held);
        crashes::count_losses_without_holder(cx, terminated, &not_found);
        terminated.iter().for_each(|&ix| roster::forget(cx, ix));
    }
    let keys: Vec<JobKey> = cx.jobs.keys().copied().collect();
    for key in keys {
        let Some(entry) = cx.jobs.get_mut(&key) else { continue };
        if entry.state.is_final() {
            continue;
        }
        for (task, state) in entry.keyed_tasks_mut() {
            if state.state == TaskState::Unknown && !held.contains(&task) {
                state.state = TaskState::Waiting;
            }
        }
        let rounds: Vec<u32> = entry.rounds.iter().map(|r| r.number).collect();
        for number in rounds {
            lifecycle::begin_steps(cx, key, number);
        }
        finish_if_done(cx, key);
    }
}

/// Records that all open workers are resolved. Returns the tasks that unanswered closed workers may
/// hold, and the open workers that are terminated.
fn mark_open_workers_resolved(cx: &mut State) -> (FxHashSet<TaskKey>, Vec<WorkerIx>) {
    let Some(scan) = &mut cx.recovery_scan else { return Default::default() };
    scan.open_workers_resolved = true;
    let held = scan.unanswered_closed.values().flatten().copied().collect();
    (held, mem::take(&mut scan.terminated))
}

/// Returns the tasks that may have been running and were found on no worker.
fn tasks_not_found(cx: &mut State, held: &FxHashSet<TaskKey>) -> FxHashSet<TaskKey> {
    let mut found = FxHashSet::default();
    // Jobs that are stored as queued count, too: the store may not yet show that the tasks which
    // the previous leader started last have begun.
    for entry in cx.jobs.values_mut().filter(|e| !e.state.is_final()) {
        let tasks = entry.keyed_tasks_mut().filter(|(_, t)| t.state == TaskState::Unknown);
        found.extend(tasks.map(|(key, _)| key).filter(|key| !held.contains(key)));
    }
    found
}

/// Ends a job whose tasks all turned out to be done. [`lifecycle::finish_task`] does not notice
/// this if the last end was stored but the end of the job was not.
fn finish_if_done(cx: &mut State, key: JobKey) {
    let Some(entry) = cx.jobs.get_mut(&key) else { return };
    let done: Vec<u32> = entry.rounds.iter().filter(|r| r.is_done()).map(|r| r.number).collect();
    entry.rounds.retain(|r| !done.contains(&r.number));
    entry.finished_rounds.extend(done);
    if entry.finished_rounds.len() as u32 == entry.total_rounds() {
        lifecycle::end_job(cx, key, JobState::Completed);
    }
}

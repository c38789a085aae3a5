//! What a new leader does before it may start anything that a former one may have started.
//!
//! Only starts of suspects are stored, so a successor asks every worker of the stored roster what it
//! runs. A worker that does not answer keeps the tasks in doubt until its longest possible lease is over.

use std::collections::{BTreeMap, BTreeSet};
use std::mem;
use std::sync::Arc;

use gaplock_jobs::progress::{self, JobState, Progress, StepProgress};
use gaplock_jobs::{Job, JobKey, Step, TaskKey};
use rustc_hash::{FxHashMap, FxHashSet};

use crate::changes::evacuation::{self, Evacuated};
use crate::changes::pacing::Learned;
use crate::changes::{
    checkpoints, crashes, directory, intake, leases, lifecycle, maintenance, roster, trace,
};
use crate::interface::message::{RosterEntry, Run, WaveProgress, WorkerIx};
use crate::state::job_table::{JobEntry, Round, StepState, TaskState};
use crate::state::recovery_scan::RecoveryScan;
use crate::state::worker::Listing;
use crate::state::State;

/// What a former leader left in the store.
#[derive(Debug, Default)]
pub struct StoredState {
    /// All jobs.
    pub jobs: Vec<Arc<Job>>,
    /// Their progress.
    pub progress: BTreeMap<JobKey, Progress>,
    /// Those whose progress is stored and cannot be read.
    pub unreadable: BTreeSet<JobKey>,
    /// Jobs that were cancelled.
    pub cancelled: Vec<JobKey>,
    /// Workers that may run something.
    pub roster: Vec<RosterEntry>,
    /// What was learnt of how images disturb each other.
    pub learned: Learned,
    /// How far waves of upkeep have come.
    pub waves: Vec<WaveProgress>,
    /// The failure domains that the operators have evacuated.
    pub evacuated: Evacuated,
}

/// Fills a new leader's state from the store and begins the survey.
pub fn restore(cx: &mut State, stored: StoredState) {
    let StoredState {
        jobs,
        mut progress,
        unreadable,
        cancelled,
        roster,
        learned: learnt,
        waves,
        evacuated,
    } = stored;
    evacuation::apply(cx, evacuated);
    cx.interference.restore(&learnt);
    maintenance::restore(cx, waves);
    let (mut waiting, mut closed) = (FxHashSet::default(), FxHashMap::default());
    for entry in roster {
        let ix = directory::find_or_add(cx, &entry.info, Listing::Absent { since: cx.now });
        let worker = cx.worker_mut(ix);
        worker.in_roster = entry.holds.is_none();
        worker.closed = entry.holds.is_some();
        match entry.holds {
            None => {
                waiting.insert(ix);
            }
            Some(holds) => {
                closed.insert(ix, holds);
            }
        }
    }
    let lease = cx.settings.lease().with_drift(cx.settings.clock_drift_per_mille);
    let until = cx.now + lease + cx.settings.takeover_margin;
    trace::takeover_began(cx.term.number, jobs.len(), waiting.len(), closed.len());
    let lost = Vec::new();
    let survey = RecoveryScan {
        unanswered_open: waiting,
        unanswered_closed: closed,
        terminated: lost,
        open_workers_resolved: false,
        leases_over_at: until,
        began: cx.now,
    };
    cx.recovery_scan = Some(survey);
    for job in jobs {
        let key = job.key;
        let entry = match unreadable.contains(&key) {
            true => unreadable_entry(cx, job),
            false => restored_entry(cx, job, progress.remove(&key)),
        };
        cx.jobs.insert(key, entry);
        crashes::register_suspects(cx, key);
    }
    for key in cancelled {
        intake::cancel(cx, key);
    }
    check_recovery_scan(cx);
}

/// Builds the entry of a job whose progress cannot be read. Taken for a new one it would run tasks again that are
/// done; only tasks that last are started again however they ended.
fn unreadable_entry(cx: &State, job: Arc<Job>) -> JobEntry {
    if job.steps.iter().all(|step| step.lasting) {
        return restored_entry(cx, job, None);
    }
    trace::job_set_aside(job.key);
    let mut entry = intake::new_entry(cx, job);
    (entry.state, entry.stored_state) = (JobState::Active, JobState::Active);
    entry.next_round = entry.total_rounds();
    entry.unreadable = true;
    entry
}

/// Builds the entry of a job from its stored progress, if any was stored.
fn restored_entry(cx: &State, job: Arc<Job>, progress: Option<Progress>) -> JobEntry {
    let mut entry = intake::new_entry(cx, job);
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
            apply(state, step, stored);
        }
        entry.rounds.push(round);
    }
    with_possibly_started_rounds(entry, cx.unix_ms)
}

/// Adds rounds that a former leader may have begun without storing anything of them, and puts
/// every task that is not done in doubt.
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

/// Puts stored ends, failures and checkpoints into an untouched step.
fn apply(state: &mut StepState, step: &Step, stored: &StepProgress) {
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
            task.crash_evidence = crashes::restore_suspicion(note);
        }
    }
}

/// Takes in that a worker has answered, or certainly runs nothing.
pub fn worker_resolved(cx: &mut State, ix: WorkerIx) {
    let gone = cx.worker(ix).terminated;
    let Some(survey) = &mut cx.recovery_scan else { return };
    if survey.unanswered_open.remove(&ix) && gone {
        survey.terminated.push(ix);
    }
    let held = survey.unanswered_closed.remove(&ix);
    let is_narrowed = survey.unanswered_open.is_empty();
    if let Some(held) = held {
        if gone {
            crashes::count_loss_of_holder(cx, ix, &held, true);
        }
        if is_narrowed {
            resolve_open_workers(cx);
        }
    }
    check_recovery_scan(cx);
}

/// Settles what is no longer in doubt, and ends the survey once every worker has answered or its leases
/// are over.
pub fn check_recovery_scan(cx: &mut State) {
    let Some(survey) = &cx.recovery_scan else { return };
    let late = cx.now >= survey.leases_over_at;
    if !survey.unanswered_open.is_empty() && !late {
        return;
    }
    let (took, silent) = (cx.now.since(survey.began), survey.unanswered_open.len());
    if survey.unanswered_closed.is_empty() || late {
        end_recovery_scan(cx);
        trace::survey_ended(took, silent);
    } else if !survey.open_workers_resolved {
        trace::survey_narrowed(took, survey.unanswered_closed.len());
        resolve_open_workers(cx);
    }
}

/// Ends the survey: nothing is in doubt any more.
fn end_recovery_scan(cx: &mut State) {
    let Some(mut survey) = cx.recovery_scan.take() else { return };
    for ix in survey.unanswered_open {
        if cx.worker(ix).is_absent() {
            leases::mark_terminated(cx, ix);
            survey.terminated.push(ix);
        }
    }
    for (ix, held) in survey.unanswered_closed {
        let gone = cx.worker(ix).is_absent();
        crashes::count_loss_of_holder(cx, ix, &held, gone);
        if gone {
            leases::mark_terminated(cx, ix);
        }
    }
    settle(cx, &FxHashSet::default(), &survey.terminated);
}

/// Decides about the tasks that are no longer in doubt once the open workers are through.
fn resolve_open_workers(cx: &mut State) {
    let (held, lost) = held(cx);
    settle(cx, &held, &lost);
}

/// Decides about every task that was in doubt, but for those that a closed worker may hold which has
/// not answered: none of the others runs anywhere, and some may have gone with the workers that are
/// lost.
fn settle(cx: &mut State, held: &FxHashSet<TaskKey>, lost: &[WorkerIx]) {
    if !lost.is_empty() {
        let unfound = tasks_not_found(cx, held);
        crashes::count_losses_without_holder(cx, lost, &unfound);
        lost.iter().for_each(|&ix| roster::forget(cx, ix));
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

/// Notes that the open workers are through, and returns the tasks that closed workers may hold and the
/// open workers that are gone.
fn held(cx: &mut State) -> (FxHashSet<TaskKey>, Vec<WorkerIx>) {
    let Some(survey) = &mut cx.recovery_scan else { return Default::default() };
    survey.open_workers_resolved = true;
    let held = survey.unanswered_closed.values().flatten().copied().collect();
    (held, mem::take(&mut survey.terminated))
}

/// Lists the tasks that may have run and were found nowhere.
fn tasks_not_found(cx: &mut State, held: &FxHashSet<TaskKey>) -> FxHashSet<TaskKey> {
    let mut found = FxHashSet::default();
    // What a former leader started last may not be stored as begun.
    for entry in cx.jobs.values_mut().filter(|e| !e.state.is_final()) {
        let tasks = entry.keyed_tasks_mut().filter(|(_, t)| t.state == TaskState::Unknown);
        found.extend(tasks.map(|(key, _)| key).filter(|key| !held.contains(key)));
    }
    found
}

/// Ends a job all of whose tasks turned out to be done, which [`lifecycle::finish_task`] does not
/// see where the last end was stored without the job's.
fn finish_if_done(cx: &mut State, key: JobKey) {
    let Some(entry) = cx.jobs.get_mut(&key) else { return };
    let done: Vec<u32> = entry.rounds.iter().filter(|r| r.is_done()).map(|r| r.number).collect();
    entry.rounds.retain(|r| !done.contains(&r.number));
    entry.finished_rounds.extend(done);
    if entry.finished_rounds.len() as u32 == entry.total_rounds() {
        lifecycle::end_job(cx, key, JobState::Completed);
    }
}

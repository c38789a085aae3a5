//! Collects the changes to be stored into commits, and records what each commit covers.
//!
//! A worker drops an end once it is acknowledged, so an end is acknowledged only after the commit
//! that contains it. A final state is shown to callers only after its commit. Nothing else waits
//! for a commit, except evidence against suspects and the starts of suspects (`crashes`). No other
//! start needs a record, because a new leader learns from the workers what runs.

use std::mem;

use gaplock_jobs::progress::{Progress, RoundProgress, StepProgress, TaskRecord};
use gaplock_jobs::{progress, JobKey};
use gaplock_types::time::{Instant, Millis};

use crate::changes::crashes::saved;
use crate::changes::trace;
use crate::decisions::load;
use crate::interface::message::{EndSeq, Record, RosterEntry, WorkerIx};
use crate::state::checkpoint::Checkpoint;
use crate::state::commits::{Commits, InFlightCommit, Records};
use crate::state::job_table::{JobEntry, StepState, Task, TaskState};
use crate::state::State;

/// Marks a job's progress as changed.
pub fn mark_dirty(commits: &mut Commits, now: Instant, job: JobKey) {
    commits.dirty_jobs.insert(job);
    commits.oldest_change.get_or_insert(now);
}

/// Marks a job's progress as changed in a way that the caller waits for.
pub fn mark_dirty_urgent(commits: &mut Commits, now: Instant, job: JobKey) {
    mark_dirty(commits, now, job);
    commits.urgent = true;
}

/// Adds a record other than a job's progress. It replaces an earlier record of the same subject.
pub fn add(cx: &mut State, record: Record) {
    cx.commits.other_records.put(record);
    cx.commits.oldest_change.get_or_insert(cx.now);
}

/// Adds a worker to the stored roster. The worker gets tasks once that is stored.
pub fn add_worker(cx: &mut State, ix: WorkerIx) {
    let worker = cx.worker_mut(ix);
    worker.roster_pending = true;
    worker.closed = false;
    worker.dropped_from_roster = false;
    let entry = RosterEntry { info: worker.info.clone(), holds: None };
    add(cx, Record::Worker(entry));
    cx.commits.urgent = true;
}

/// Requests a commit, so that recorded ends which changed no job's progress are acknowledged, too.
pub fn request_commit(cx: &mut State) {
    cx.commits.oldest_change.get_or_insert(cx.now);
}

/// Returns the records of the next commit, if one is due and none is in flight. The driver must
/// answer with [`crate::Event::Committed`] or [`crate::Event::CommitFailed`].
pub fn take(cx: &mut State, now: Instant) -> Option<Vec<Record>> {
    let since = cx.commits.oldest_change?;
    let due = cx.commits.urgent || now.since(since) >= cx.settings.commit_delay;
    if cx.commits.in_flight.is_some() || !due {
        return None;
    }
    let jobs = mem::take(&mut cx.commits.dirty_jobs);
    add_load(cx, now);
    let other = mem::take(&mut cx.commits.other_records);
    cx.commits.oldest_change = None;
    cx.commits.urgent = false;
    saved::commit_began(cx, &jobs);
    let ends = uncommitted_ends(cx);
    let roster = workers_added(cx, &other);
    // A transaction cannot both write and remove a job's progress.
    let entries = jobs.iter().filter_map(|key| cx.jobs.get(key)).filter(|e| !e.removal_requested);
    let covered_jobs = entries.clone().map(|e| (e.job.key, e.state)).collect();
    let mut records: Vec<Record> = entries.map(|e| Record::Progress(progress_of(e))).collect();
    records.extend(other.iter().cloned());
    cx.commits.in_flight =
        Some(InFlightCommit { jobs: covered_jobs, ends, other_records: other, roster });
    Some(records)
}

/// How often the load is stored for the next leader: as often as the learned interference. A
/// completion rate that is 4 s old is still within a factor of two of the present one, as the
/// half-life of its average is 5 s.
const STORE_LOAD_INTERVAL: Millis = Millis(4_000);

/// Adds the load to a commit that is due anyway, at intervals.
fn add_load(cx: &mut State, now: Instant) {
    if now.since(cx.load_stored_at) < STORE_LOAD_INTERVAL {
        return;
    }
    cx.load_stored_at = now;
    if let Some(stored) = load::to_store(cx) {
        cx.commits.other_records.put(Record::Load(stored));
    }
}

/// Returns the last recorded end of each worker whose ends are not all stored.
fn uncommitted_ends(cx: &State) -> Vec<(WorkerIx, EndSeq)> {
    let workers = cx.workers.iter().enumerate();
    let unstored = workers.filter(|(_, w)| w.recorded_up_to > w.stored_up_to);
    unstored.map(|(at, w)| (WorkerIx(at as u32), w.recorded_up_to)).collect()
}

/// Returns the workers that these records add to the stored roster.
fn workers_added(cx: &State, records: &Records) -> Vec<WorkerIx> {
    let ids = records.iter().filter_map(|r| match r {
        Record::Worker(entry) if entry.holds.is_none() => Some(&entry.info.id),
        _ => None,
    });
    ids.filter_map(|id| cx.by_id.get(id).copied()).collect()
}

/// Updates the state after the commit in flight was stored. Returns the jobs that it has removed
/// from the store.
pub fn committed(cx: &mut State) -> Vec<JobKey> {
    let Some(covered) = cx.commits.in_flight.take() else { return Vec::new() };
    saved::commit_ended(cx, true);
    for (key, state) in covered.jobs {
        if let Some(entry) = cx.jobs.get_mut(&key) {
            entry.stored_state = state;
        }
    }
    for (ix, seq) in covered.ends {
        let worker = cx.worker_mut(ix);
        worker.stored_up_to = worker.stored_up_to.max(seq);
        cx.expedite_renewal(ix);
    }
    for ix in covered.roster {
        let worker = cx.worker_mut(ix);
        worker.in_roster = worker.roster_pending;
        worker.roster_pending = false;
    }
    let mut removed = Vec::new();
    for record in covered.other_records.iter() {
        match record {
            Record::Wave(progress) => cx.maintenance.note_stored(progress),
            Record::Forget(key) => removed.push(*key),
            _ => {}
        }
    }
    cx.pass_wanted = true;
    removed
}

/// Makes everything in the commit in flight due again after it was not stored.
pub fn failed(cx: &mut State) {
    let Some(covered) = cx.commits.in_flight.take() else { return };
    trace::commit_failed(covered.jobs.len(), covered.other_records.len());
    saved::commit_ended(cx, false);
    let now = cx.now;
    for (key, _) in covered.jobs {
        mark_dirty(&mut cx.commits, now, key);
    }
    let newer = mem::replace(&mut cx.commits.other_records, covered.other_records);
    cx.commits.other_records.put_all(newer);
    cx.commits.oldest_change.get_or_insert(now);
}

/// Builds the stored form of a job's progress.
pub fn progress_of(entry: &JobEntry) -> Progress {
    let mut rounds: Vec<RoundProgress> = Vec::new();
    if !entry.state.is_final() {
        let finished = entry.finished_rounds.iter();
        rounds.extend(finished.map(|&round| RoundProgress {
            round,
            finished: true,
            steps: Vec::new(),
        }));
        rounds.extend(entry.rounds.iter().map(|r| RoundProgress {
            round: r.number,
            finished: false,
            steps: r.steps.iter().map(step_progress).collect(),
        }));
    }
    let (key, ended_unix_ms) = (entry.job.key, entry.ended_unix_ms);
    let queue = if entry.state.is_final() { None } else { entry.queue_to_store() };
    Progress { key, state: entry.state, ended_unix_ms, rounds, queue }
}

/// Returns whether the run that saved a task's checkpoint is still the active one, so that its
/// worker keeps the checkpoint. A run that merely started from the checkpoint may be lost together
/// with its start.
fn is_kept_by_worker(task: &Task, checkpoint: &Checkpoint) -> bool {
    matches!(task.state, TaskState::Active { run, .. } if run == checkpoint.run)
}

fn step_progress(step: &StepState) -> StepProgress {
    let tasks = step.tasks.iter().enumerate().map(|(index, task)| (index as u32, task));
    let done = tasks.clone().filter(|(_, t)| t.state == TaskState::Done).map(|(index, _)| index);
    let must_store_checkpoint =
        |t: &Task| t.checkpoint.as_ref().is_some_and(|c| !is_kept_by_worker(t, c));
    let has_record =
        |t: &Task| t.failed > 0 || must_store_checkpoint(t) || t.crash_evidence.is_some();
    let needs_record = |t: &Task| t.state != TaskState::Done && has_record(t);
    let crashed =
        |t: &Task| t.crash_evidence.as_ref().map(|s| s.crashed.clone()).unwrap_or_default();
    let waits = |t: &Task| matches!(t.state, TaskState::Waiting | TaskState::Pending);
    let started = |t: &Task| t.crash_evidence.as_ref()?.possible_workers_to_store(waits(t));
    let notes = tasks.filter(|(_, t)| needs_record(t)).map(|(index, t)| TaskRecord {
        index,
        failed: t.failed,
        counted_runs: t.counted_runs.iter().map(|run| run.0).collect(),
        checkpoint: t.checkpoint.as_ref().map(|c| c.text.to_string()),
        checkpoint_run: t.checkpoint.as_ref().map_or(0, |c| c.run.0),
        crashed: crashed(t),
        perhaps_crashed: t.crash_evidence.as_ref().and_then(|s| s.possible_crash.clone()),
        started: started(t),
    });
    StepProgress { done: progress::pack(done), notes: notes.collect() }
}

//! Applies what the inbox reports: jobs and cancellations of callers. Removes jobs whose final state
//! has been kept long enough.
//!
//! A job stays in the table until its removal is stored, so whatever the store still holds is known.
//! A report of a job that is not known is either newer than the last reading of the inbox, or refers
//! to a job that has been removed ([`crate::state::inbox`]).

use std::sync::Arc;

use gaplock_jobs::progress::JobState;
use gaplock_jobs::{Job, JobKey};

use crate::changes::{accounting, commits, intake, lifecycle, permits, trace};
use crate::interface::message::{Record, StoreRevision};
use crate::state::job_table::JobEntry;
use crate::state::State;

/// Adds a job that was stored at `stored_at`, unless it is known or has been removed.
pub fn add_job(cx: &mut State, job: Arc<Job>, stored_at: StoreRevision) {
    let key = job.key;
    match cx.jobs.get(&key) {
        // The store holds another job under this key, so the removal of the known one is stored.
        Some(known) if known.removal_requested && stored_at > known.stored_at => {
            remove_entry(cx, key);
        }
        Some(_) => return,
        None if cx.inbox.is_removed(key, stored_at) => return trace::removed_job_reported(key),
        None => {}
    }
    let entry = intake::new_entry(cx, job, stored_at, None);
    trace::job_known(&entry, cx.inbox.read_up_to);
    intake::insert_entry(cx, entry);
    accounting::job_accepted(cx, key);
    let cancelled_at = cx.inbox.early_cancellations.remove(&key);
    if cancelled_at.is_some_and(|cancelled_at| cancelled_at > stored_at) {
        return lifecycle::end_job(cx, key, JobState::Cancelled);
    }
    intake::begin_rounds(cx, key);
}

/// Applies a cancellation that was stored at `stored_at`. It may become known before its job, and
/// after the job has been removed.
pub fn cancel(cx: &mut State, key: JobKey, stored_at: StoreRevision) {
    match cx.jobs.get(&key) {
        // It cancels an earlier job under the same key.
        Some(entry) if entry.stored_at > stored_at => {}
        // It may cancel a job that replaces this one and is not known yet.
        Some(entry) if entry.removal_requested => {
            cx.inbox.early_cancellations.insert(key, stored_at);
        }
        Some(_) => lifecycle::end_job(cx, key, JobState::Cancelled),
        None if cx.inbox.is_removed(key, stored_at) => trace::removed_job_reported(key),
        None => {
            trace::cancelled_unknown(key);
            cx.inbox.early_cancellations.insert(key, stored_at);
        }
    }
}

/// Handles a completed reading of the inbox.
pub fn read(cx: &mut State, up_to: StoreRevision) {
    cx.inbox.record_read(up_to);
}

/// Requests the removal of the jobs whose final state has been kept for the retention period.
pub fn remove_finished(cx: &mut State) {
    let retention = cx.settings.finished_job_retention.0;
    let unix_ms = cx.unix_ms;
    let is_expired = |e: &JobEntry| {
        e.stored_state.is_final() && e.ended_unix_ms > 0 && e.ended_unix_ms + retention < unix_ms
    };
    let expired = cx.jobs.values_mut().filter(|e| !e.removal_requested && is_expired(e));
    let mut keys = Vec::new();
    for entry in expired {
        entry.removal_requested = true;
        keys.push(entry.job.key);
    }
    for key in keys {
        commits::add(cx, Record::Forget(key));
    }
}

/// Drops jobs whose removal is stored.
pub fn removals_stored(cx: &mut State, keys: Vec<JobKey>) {
    for key in keys {
        // A newer job under the same key may have become known meanwhile.
        if cx.jobs.get(&key).is_some_and(|entry| entry.removal_requested) {
            remove_entry(cx, key);
        }
    }
}

/// Drops a job of which the store holds nothing any more.
fn remove_entry(cx: &mut State, key: JobKey) {
    let Some(entry) = cx.jobs.remove(&key) else { return };
    trace::job_removed(key, entry.stored_at);
    cx.inbox.record_removed(key, entry.stored_at);
    cx.interference.forget(key);
    permits::forget(cx, key);
}

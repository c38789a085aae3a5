//! Stored records that another writer may have put under a wrong key.
//!
//! Guards against a progress record that is used for the job that it names, whatever its key is: a
//! copy under another key gave a job the progress and the checkpoints of another time.

use gaplock_jobs::progress::{JobState, Progress, RoundProgress, StepProgress, TaskRecord};
use gaplock_jobs::{Job, JobKey, Step};
use gaplock_platform::store::{Item, Revision};

#[path = "../src/keys.rs"]
#[allow(dead_code)]
mod keys;
#[path = "../src/records.rs"]
#[allow(dead_code)]
mod records;

fn item(key: &str, value: &impl serde::Serialize) -> Item {
    let value = serde_json::to_vec(value).expect("the value can be encoded as JSON");
    Item { key: key.into(), value, revision: Revision(1), lease: None }
}

/// Builds the progress of a job, one of whose tasks has a checkpoint.
fn progress(key: u64) -> Progress {
    let note = TaskRecord {
        index: 1,
        failed: 0,
        counted_runs: Vec::new(),
        checkpoint: Some("000003e812345678".into()),
        checkpoint_run: 4_097,
        crashed: Vec::new(),
        perhaps_crashed: None,
        started: None,
    };
    let steps = vec![StepProgress { done: Vec::new(), notes: vec![note] }];
    let rounds = vec![RoundProgress { round: 0, finished: false, steps }];
    Progress { key: JobKey(key), state: JobState::Active, ended_unix_ms: 0, rounds, queue: None }
}

fn job(key: u64) -> Job {
    Job {
        key: JobKey(key),
        queue: "q".into(),
        spec: "spec".into(),
        steps: vec![Step { count: 2, checkpoints: true, ..Step::default() }],
        repeat: None,
        accepted_unix_ms: 0,
        accepting_queue: None,
    }
}

#[test]
fn progress_is_decoded_as_it_was_stored() {
    let stored = progress(7);
    assert_eq!(records::progress(&item(&keys::progress(JobKey(7)), &stored)), Some(stored));
}

#[test]
fn progress_under_the_key_of_another_job_is_rejected() {
    let misplaced = item(&keys::progress(JobKey(8)), &progress(7));
    assert_eq!(records::progress(&misplaced), None);
}

#[test]
fn a_job_under_the_key_of_another_one_is_rejected() {
    assert_eq!(records::job(&item(&keys::job(JobKey(7)), &job(7))), Some(job(7)));
    assert_eq!(records::job(&item(&keys::job(JobKey(8)), &job(7))), None);
    assert_eq!(records::job(&item("gaplock/in/note/1", &job(7))), None);
}

#[test]
fn progress_without_the_run_of_its_checkpoint_is_still_decoded() {
    let mut value = serde_json::to_value(progress(7)).expect("the value can be encoded as JSON");
    let note = &mut value["rounds"][0]["steps"][0]["notes"][0];
    note.as_object_mut().expect("a note is an object").remove("checkpoint_run");
    let read = records::progress(&item(&keys::progress(JobKey(7)), &value));
    let notes = read.expect("a record of an earlier version can be decoded").rounds[0].steps[0]
        .notes
        .clone();
    assert_eq!(notes[0].checkpoint.as_deref(), Some("000003e812345678"));
    assert_eq!(notes[0].checkpoint_run, 0);
}

#[test]
fn malformed_bytes_are_rejected() {
    let key = keys::progress(JobKey(7));
    let unreadable = Item { key, value: b"\xff{".to_vec(), revision: Revision(1), lease: None };
    assert_eq!(records::progress(&unreadable), None);
}

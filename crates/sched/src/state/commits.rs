//! What waits to be stored, and what is being stored.

use std::collections::BTreeSet;

use gaplock_jobs::progress::JobState;
use gaplock_jobs::JobKey;
use gaplock_types::time::Instant;

use crate::interface::message::{EndSeq, Record, WorkerIx};

/// What waits to be stored, and what is being stored.
#[derive(Debug, Default)]
pub struct Commits {
    pub(crate) dirty: BTreeSet<JobKey>,
    pub(crate) other: Vec<Record>,
    pub(crate) since: Option<Instant>,
    pub(crate) urgent: bool,
    pub(crate) in_flight: Option<Covered>,
}

/// What becomes true once the commit in flight is stored.
#[derive(Debug, Default)]
pub(crate) struct Covered {
    pub(crate) jobs: Vec<(JobKey, JobState)>,
    pub(crate) ends: Vec<(WorkerIx, EndSeq)>,
    pub(crate) other: Vec<Record>,
    pub(crate) roster: Vec<WorkerIx>,
}

//! The state of a partition, derived deterministically by applying its records in order.
//!
//! So every entry that reads the same journal gets the same state. The indexes over the tasks are
//! rebuilt on load and never stored.

mod index;

use std::collections::{BTreeMap, BTreeSet};

use gaplock_chart::charts::task;
use gaplock_types::{api, ids, sizes, wire};
use serde::{Deserialize, Serialize};

use crate::records::{Entry, Record};

/// The error of a record that does not fit the state that it was applied to.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("record {record} does not fit: {why}")]
pub struct ApplyError {
    /// The record.
    pub record: String,
    /// Why.
    pub why: String,
}

/// The result of applying a record.
pub type Result<T> = std::result::Result<T, ApplyError>;

mod state_name {
    use gaplock_chart::charts::task;
    use serde::{Deserialize, Deserializer, Serializer};

    pub fn serialize<S: Serializer>(is: &task::State, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_str(is.name())
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<task::State, D::Error> {
        let name = String::deserialize(d)?;
        task::State::from_name(&name).ok_or_else(|| serde::de::Error::custom("unknown task state"))
    }
}

/// A task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Task {
    /// Its state in `charts/task.chart`.
    #[serde(with = "state_name")]
    pub is: task::State,
    /// Assignments so far.
    pub attempt: ids::Attempt,
    /// Where the task is assigned; `None` if it is not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub place: Option<Place>,
    /// The work that the last checkpoint preserves, in milliseconds.
    pub checkpoint_ms: u64,
    /// Evictions so far.
    pub evictions: u32,
    /// Failures so far.
    pub failures: u32,
    /// Consecutive runs whose worker rebooted soon after the run's start.
    #[serde(default)]
    pub crashes: u32,
    /// Whether the task is to end as cancelled once its run has stopped for certain.
    #[serde(default)]
    pub unwanted: bool,
    /// Why the task waits, or how it ended.
    pub why: String,
}

/// Where a task is assigned.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Place {
    /// The worker.
    pub worker: ids::WorkerId,
    /// The worker's boot, which identifies its current incarnation.
    pub boot: wire::Boot,
    /// What is reserved on the worker.
    pub reserve: sizes::Resources,
    /// The partition that the task is lent to, in place of a worker.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lent: Option<ids::PartitionId>,
}

/// A job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// The partner.
    pub partner: ids::PartnerId,
    /// The submitter's request key.
    pub key: ids::RequestKey,
    /// A digest of the submission.
    pub digest: String,
    /// What kind of task it runs.
    pub kind: wire::TaskKind,
    /// What one task may use.
    pub demand: sizes::Resources,
    /// The declared work of one task, in milliseconds.
    pub work_ms: u64,
    /// Whether its tasks go ahead of the partner's other tasks.
    pub urgent: bool,
    /// When it was stored, in milliseconds since 1970.
    pub at_unix_ms: u64,
    /// Its tasks, by index.
    pub tasks: Vec<Task>,
}

impl Job {
    /// Returns whether all tasks have ended.
    pub fn ended(&self) -> bool {
        self.tasks.iter().all(|t| t.is.is_final())
    }
}

/// A claim of a request that must not be repeated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Once {
    /// A digest of the request.
    pub digest: String,
    /// Who claimed it.
    pub claimer: String,
    /// When it was claimed, in milliseconds since 1970.
    pub at_unix_ms: u64,
    /// How the request ended, if that is stored.
    pub end: Option<api::OnceEnd>,
}

/// Removes a task's place and sets the reason.
fn clear_place(task: &mut Task, why: &str) {
    task.place = None;
    task.why = why.to_string();
}

/// A partition's state.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct PartitionState {
    /// The sequence number of the last journal entry that was applied.
    pub seq: ids::Seq,
    /// The owner's epoch.
    pub epoch: ids::Epoch,
    /// The owner.
    pub owner: ids::Member,
    /// Whether the owner has released the partition.
    pub released: bool,
    /// The next job's number.
    pub next_job: u64,
    /// Jobs by number.
    pub jobs: BTreeMap<u64, Job>,
    /// Claims of requests that must not be repeated, by partner and key.
    pub once: BTreeMap<String, Once>,
    /// Workers that an operator declared dead.
    pub dead: BTreeSet<ids::WorkerId>,
    #[serde(skip)]
    index: index::Index,
}

impl PartitionState {
    /// Finds a task.
    pub fn task(&self, id: ids::TaskId) -> Option<&Task> {
        self.jobs.get(&id.job.number)?.tasks.get(id.index as usize)
    }

    /// Applies all records of an entry and returns the errors of those that did not fit.
    ///
    /// A record that does not fit is a bug in gaplock. It is skipped and the others are applied, so
    /// that one bad record never makes a journal unreadable. Every replay skips the same records.
    pub fn apply_entry(&mut self, home: ids::PartitionId, entry: &Entry) -> Vec<ApplyError> {
        let apply = |record| self.apply(home, entry.epoch, &entry.owner, record).err();
        let errors = entry.records.iter().filter_map(apply).collect();
        self.seq = entry.seq;
        errors
    }

    /// Applies one record that `owner` wrote under `epoch`.
    ///
    /// # Errors
    /// Returns an error if the record does not fit the state, for example if a state chart forbids
    /// its event.
    pub fn apply(
        &mut self,
        home: ids::PartitionId,
        epoch: ids::Epoch,
        owner: &ids::Member,
        record: &Record,
    ) -> Result<()> {
        match record {
            Record::Claim => self.apply_claim(epoch, owner),
            Record::Release => self.released = true,
            Record::JobAdd { .. } => self.add_job(home, record),
            Record::TaskAdd { number } => self.add_task(home, *number),
            Record::Assign { run, worker, boot, reserve } => {
                let (worker, boot, reserve) = (worker.clone(), *boot, *reserve);
                self.assign(run, Place { worker, boot, reserve, lent: None }, record)?;
            }
            Record::Lend { run, to, reserve } => {
                let worker = ids::WorkerId(to.to_string());
                let (boot, reserve) = (wire::Boot(0), *reserve);
                self.assign(run, Place { worker, boot, reserve, lent: Some(*to) }, record)?;
            }
            Record::ResumeFrom { task, checkpoint_ms } => {
                self.change(*task, |t| t.checkpoint_ms = *checkpoint_ms);
            }
            Record::Requeue { .. }
            | Record::Finish { .. }
            | Record::GiveUp { .. }
            | Record::Cancelled { .. } => self.apply_run_end(record)?,
            Record::Cancel { number, index } => self.cancel(home, *number, *index, record)?,
            Record::JobForget { number } => self.forget_job(*number),
            Record::OnceClaim { id, digest, claimer, at_unix_ms } => {
                let (digest, claimer) = (digest.clone(), claimer.clone());
                let once = Once { digest, claimer, at_unix_ms: *at_unix_ms, end: None };
                self.once.insert(id.clone(), once);
            }
            Record::OnceEnd { id, end } => self.end_once(id, end),
            Record::OnceForget { id, whole } => self.forget_once(id, *whole),
            Record::WorkerDead { worker } => {
                self.dead.insert(worker.clone());
            }
            Record::WorkerBack { worker } => {
                self.dead.remove(worker);
            }
        }
        Ok(())
    }

    /// Sets the partition's new owner.
    fn apply_claim(&mut self, epoch: ids::Epoch, owner: &ids::Member) {
        self.epoch = epoch;
        self.owner = owner.clone();
        self.released = false;
    }

    /// Assigns a run to a place.
    fn assign(&mut self, run: &wire::Run, place: Place, record: &Record) -> Result<()> {
        self.step(run.task, task::Event::Assign, record, |t| {
            t.attempt = run.attempt;
            t.place = Some(place);
            t.why.clear();
        })
    }

    /// Applies one of the records that remove a run from its place; ignores all others.
    fn apply_run_end(&mut self, record: &Record) -> Result<()> {
        match record {
            Record::Requeue { run, checkpoint_ms, evicted, failed, crashed, why } => {
                self.step(run.task, task::Event::Requeue, record, |t| {
                    t.checkpoint_ms = *checkpoint_ms;
                    t.evictions += u32::from(*evicted);
                    t.failures += u32::from(*failed);
                    t.crashes = if *crashed { t.crashes + 1 } else { 0 };
                    clear_place(t, why);
                })
            }
            Record::Finish { run } => {
                self.step(run.task, task::Event::Finish, record, |t| t.place = None)
            }
            Record::GiveUp { task, why } => {
                self.step(*task, task::Event::GiveUp, record, |t| clear_place(t, why))
            }
            Record::Cancelled { run } => {
                self.step(run.task, task::Event::Cancel, record, |t| clear_place(t, "cancelled"))
            }
            _ => Ok(()),
        }
    }

    /// Removes a job and its request key.
    fn forget_job(&mut self, number: u64) {
        if let Some(job) = self.jobs.remove(&number) {
            self.index.keys.remove(&(job.partner, job.key));
        }
    }

    fn add_job(&mut self, home: ids::PartitionId, record: &Record) {
        let Record::JobAdd {
            number,
            partner,
            key,
            digest,
            kind,
            demand,
            work_ms,
            tasks,
            urgent,
            at_unix_ms,
        } = record
        else {
            return;
        };
        let job = Job {
            partner: partner.clone(),
            key: key.clone(),
            digest: digest.clone(),
            kind: kind.clone(),
            demand: *demand,
            work_ms: *work_ms,
            urgent: *urgent,
            at_unix_ms: *at_unix_ms,
            tasks: vec![new_task(); *tasks as usize],
        };
        self.index.keys.insert((partner.clone(), key.clone()), *number);
        self.jobs.insert(*number, job);
        self.next_job = self.next_job.max(number + 1);
        for i in 0..*tasks {
            self.add_to_index(task_id(home, *number, i));
        }
    }

    fn add_task(&mut self, home: ids::PartitionId, number: u64) {
        if let Some(job) = self.jobs.get_mut(&number) {
            job.tasks.push(new_task());
            let id = task_id(home, number, job.tasks.len() as u32 - 1);
            self.add_to_index(id);
        }
    }

    fn cancel(
        &mut self,
        home: ids::PartitionId,
        number: u64,
        index: Option<u32>,
        record: &Record,
    ) -> Result<()> {
        let count = self.jobs.get(&number).map_or(0, |j| j.tasks.len() as u32);
        let wanted = (0..count).filter(|i| index.is_none_or(|only| only == *i));
        for i in wanted {
            let id = task_id(home, number, i);
            let assigned = self.task(id).is_some_and(|t| t.place.is_some());
            if assigned {
                self.change(id, |t| t.unwanted = true);
            } else {
                self.step(id, task::Event::Cancel, record, |t| {
                    if t.why.is_empty() {
                        t.why = "cancelled".to_string();
                    }
                })?;
            }
        }
        Ok(())
    }

    fn end_once(&mut self, id: &str, end: &api::OnceEnd) {
        if *end == api::OnceEnd::NotRun {
            self.once.remove(id);
        } else if let Some(once) = self.once.get_mut(id) {
            once.end = Some(end.clone());
        }
    }

    fn forget_once(&mut self, id: &str, whole: bool) {
        if whole {
            self.once.remove(id);
            return;
        }
        let kept = self.once.get_mut(id).and_then(|o| o.end.as_mut());
        if let Some(api::OnceEnd::Ran { body, .. }) = kept {
            *body = None;
        }
    }

    fn step(
        &mut self,
        id: ids::TaskId,
        on: task::Event,
        record: &Record,
        change: impl FnOnce(&mut Task),
    ) -> Result<()> {
        let fail = |why: String| ApplyError { record: format!("{record:?}"), why };
        let task = self.task(id).ok_or_else(|| fail("there is no such task".to_string()))?;
        let next = task.is.step(on).map_err(|e| fail(e.to_string()))?;
        self.change(id, |t| {
            t.is = next;
            change(t);
        });
        Ok(())
    }

    fn change(&mut self, id: ids::TaskId, change: impl FnOnce(&mut Task)) {
        self.remove_from_index(id);
        let job = self.jobs.get_mut(&id.job.number);
        if let Some(task) = job.and_then(|j| j.tasks.get_mut(id.index as usize)) {
            change(task);
        }
        self.add_to_index(id);
    }
}

fn new_task() -> Task {
    Task {
        is: task::State::Queued,
        attempt: ids::Attempt(0),
        place: None,
        checkpoint_ms: 0,
        evictions: 0,
        failures: 0,
        crashes: 0,
        unwanted: false,
        why: String::new(),
    }
}

/// Builds a task's id from its partition, job number and index.
pub fn task_id(home: ids::PartitionId, number: u64, index: u32) -> ids::TaskId {
    ids::TaskId { job: ids::JobId { home, number }, index }
}

//! Run-time checks of the scheduler's invariants, independent of the code that they check.
//!
//! The caller reports each transition as a [`Fact`] before the effect of the transition leaves the
//! process. The checks keep a small model of their own, built only from facts. A fact that
//! contradicts the model is a [`Violation`], and the caller must not carry out the action.
//! `docs/PROOFS.md` names the invariants.

use gaplock_types::{codes, ids, sizes, wire};
use rustc_hash::{FxHashMap, FxHashSet};

/// An invariant that the checks enforce.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// The runs assigned to a worker need no more than its processors, memory and accelerators.
    Capacity,
    /// A task is assigned to at most one worker at a time.
    OnePlace,
    /// An evicted task resumes exactly once, from its checkpoint.
    ResumeOnce,
    /// A start command leaves the process only after the assignment of its run is stored.
    StoredFirst,
    /// Each takeover of a partition uses a higher epoch than the one before.
    EpochRises,
    /// Each configuration put in force has a higher generation than the one before.
    GenerationRises,
    /// A request that must not be repeated is sent at most once.
    AtMostOnce,
    /// The caller gets a refusal that says "not run" only if the work did not run.
    NotRunIsTrue,
    /// A worker that is leaving gets no new work.
    LeavingGetsNothing,
}

impl Invariant {
    /// All invariants.
    pub const ALL: &'static [Self] = &[
        Self::Capacity,
        Self::OnePlace,
        Self::ResumeOnce,
        Self::StoredFirst,
        Self::EpochRises,
        Self::GenerationRises,
        Self::AtMostOnce,
        Self::NotRunIsTrue,
        Self::LeavingGetsNothing,
    ];
}

/// An invariant that a fact contradicts, with the evidence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The invariant that does not hold.
    pub invariant: Invariant,
    /// The contradicting fact and the state of the model.
    pub evidence: String,
}

/// The result of checking a fact.
pub type Result<T> = std::result::Result<T, Violation>;

/// A transition that is about to take effect in one partition.
#[derive(Debug, Clone)]
pub enum Fact<'a> {
    /// This process takes the partition over under an epoch.
    Owned(ids::Epoch),
    /// A run is assigned to a worker and reserves `demand` there.
    Assigned {
        /// The run.
        run: wire::Run,
        /// The worker.
        worker: &'a ids::WorkerId,
        /// The resources reserved for the run.
        demand: sizes::Resources,
        /// The capacity of the worker; `None` where it is not known.
        capacity: Option<sizes::Resources>,
        /// The checkpoint from which the run resumes, in milliseconds of work.
        resume_ms: u64,
    },
    /// The assignment of a run is stored.
    Stored(wire::Run),
    /// A start command is about to be sent.
    StartSent {
        /// The run.
        run: wire::Run,
        /// The worker.
        worker: &'a ids::WorkerId,
        /// The epoch of the command.
        epoch: ids::Epoch,
        /// Whether the worker is known to be leaving and no start of the run was sent before.
        leaving_and_new: bool,
    },
    /// A run has provably stopped, and its task is queued again to resume from a checkpoint.
    Requeued {
        /// The run.
        run: wire::Run,
        /// The checkpoint, in milliseconds of work.
        checkpoint_ms: u64,
    },
    /// A run has ended, and its task is not started again.
    Ended(wire::Run),
}

#[derive(Debug, Clone)]
struct Place {
    attempt: ids::Attempt,
    worker: Option<ids::WorkerId>,
    demand: sizes::Resources,
    stored: bool,
    ended: bool,
    checkpoint_ms: u64,
}

/// The checks of one partition.
#[derive(Debug, Default)]
pub struct PartitionCheck {
    epoch: ids::Epoch,
    places: FxHashMap<ids::TaskId, Place>,
    reserved: FxHashMap<ids::WorkerId, sizes::Resources>,
}

fn violated<T>(invariant: Invariant, evidence: String) -> Result<T> {
    Err(Violation { invariant, evidence })
}

impl PartitionCheck {
    /// Checks a fact and, if nothing contradicts it, applies it to the model.
    ///
    /// # Errors
    /// Returns the violated invariant; the caller must not carry out the action.
    pub fn check(&mut self, fact: &Fact<'_>) -> Result<()> {
        match fact {
            Fact::Owned(epoch) => self.owned(*epoch),
            Fact::Assigned { run, worker, demand, capacity, resume_ms } => {
                self.assigned(*run, worker, *demand, *capacity, *resume_ms)
            }
            Fact::Stored(run) => self.stored(*run),
            Fact::StartSent { run, worker, epoch, leaving_and_new } => {
                self.start_sent(*run, worker, *epoch, *leaving_and_new)
            }
            Fact::Requeued { run, checkpoint_ms } => self.requeued(*run, *checkpoint_ms),
            Fact::Ended(run) => self.ended(*run),
        }
    }

    /// Removes every task from the model before a takeover restores the tasks from the journal.
    /// The epoch stays, so that a later takeover under an older epoch is still detected.
    pub fn restart(&mut self) {
        self.places.clear();
        self.reserved.clear();
    }

    /// Records the checkpoint from which a task lent by another partition starts.
    pub fn start_from(&mut self, task: ids::TaskId, checkpoint_ms: u64) {
        let run = wire::Run { task, attempt: ids::Attempt(0) };
        self.restore(run, None, sizes::Resources::default(), false, checkpoint_ms);
    }

    /// Removes a task whose job has been removed from the journal.
    pub fn forget(&mut self, task: ids::TaskId) {
        self.release_reservation(task);
        self.places.remove(&task);
    }

    /// Adds a task in the state that the journal's snapshot gives, when a partition is taken over.
    pub fn restore(
        &mut self,
        run: wire::Run,
        worker: Option<&ids::WorkerId>,
        demand: sizes::Resources,
        ended: bool,
        checkpoint_ms: u64,
    ) {
        if let Some(worker) = worker {
            let r = self.reserved.entry(worker.clone()).or_default();
            *r = r.plus(&demand);
        }
        let worker = worker.cloned();
        let attempt = run.attempt;
        let place = Place { attempt, worker, demand, stored: true, ended, checkpoint_ms };
        self.places.insert(run.task, place);
    }

    fn owned(&mut self, epoch: ids::Epoch) -> Result<()> {
        if epoch <= self.epoch {
            let evidence = format!("owned under {epoch} after {}", self.epoch);
            return violated(Invariant::EpochRises, evidence);
        }
        self.epoch = epoch;
        Ok(())
    }

    fn assigned(
        &mut self,
        run: wire::Run,
        worker: &ids::WorkerId,
        demand: sizes::Resources,
        capacity: Option<sizes::Resources>,
        resume_ms: u64,
    ) -> Result<()> {
        let before = self.places.get(&run.task);
        if let Some(place) = before {
            if place.worker.is_some() || place.ended {
                let evidence = format!("{run:?} to {worker}, but it is {place:?}");
                return violated(Invariant::OnePlace, evidence);
            }
        }
        let (last, checkpoint_ms) = before.map_or((0, 0), |p| (p.attempt.0, p.checkpoint_ms));
        if run.attempt.0 != last + 1 || resume_ms != checkpoint_ms {
            let evidence = format!("{run:?} from {resume_ms}, known {last} from {checkpoint_ms}");
            return violated(Invariant::ResumeOnce, evidence);
        }
        let reserved = self.reserved.get(worker).copied().unwrap_or_default().plus(&demand);
        if let Some(capacity) = capacity.filter(|c| !c.holds(&reserved)) {
            let evidence = format!("{run:?}: {reserved} on {worker} of {capacity}");
            return violated(Invariant::Capacity, evidence);
        }
        self.reserved.insert(worker.clone(), reserved);
        let place = Place {
            attempt: run.attempt,
            worker: Some(worker.clone()),
            demand,
            stored: false,
            ended: false,
            checkpoint_ms,
        };
        self.places.insert(run.task, place);
        Ok(())
    }

    fn stored(&mut self, run: wire::Run) -> Result<()> {
        if let Some(place) = self.places.get_mut(&run.task).filter(|p| p.attempt == run.attempt) {
            place.stored = true;
        }
        Ok(())
    }

    fn start_sent(
        &mut self,
        run: wire::Run,
        worker: &ids::WorkerId,
        epoch: ids::Epoch,
        leaving_and_new: bool,
    ) -> Result<()> {
        if leaving_and_new {
            let evidence = format!("{run:?} to leaving {worker}");
            return violated(Invariant::LeavingGetsNothing, evidence);
        }
        let place = self.places.get(&run.task);
        let is_assigned = place.is_some_and(|p| {
            p.attempt == run.attempt && p.worker.as_ref() == Some(worker) && !p.ended
        });
        if !is_assigned || epoch != self.epoch {
            let evidence = format!("{run:?} to {worker} under {epoch}, known {place:?}");
            return violated(Invariant::OnePlace, evidence);
        }
        if !place.is_some_and(|p| p.stored) {
            return violated(Invariant::StoredFirst, format!("{run:?} to {worker}"));
        }
        Ok(())
    }

    fn requeued(&mut self, run: wire::Run, checkpoint_ms: u64) -> Result<()> {
        let known = self.places.get(&run.task);
        let is_assigned = known.is_some_and(|p| p.attempt == run.attempt && p.worker.is_some());
        let loses_progress = known.is_some_and(|p| checkpoint_ms < p.checkpoint_ms);
        if !is_assigned || loses_progress {
            let evidence = format!("{run:?} from {checkpoint_ms}, known {known:?}");
            return violated(Invariant::ResumeOnce, evidence);
        }
        self.release_reservation(run.task);
        if let Some(place) = self.places.get_mut(&run.task) {
            place.checkpoint_ms = checkpoint_ms;
        }
        Ok(())
    }

    fn ended(&mut self, run: wire::Run) -> Result<()> {
        self.release_reservation(run.task);
        if let Some(place) = self.places.get_mut(&run.task) {
            place.ended = true;
        }
        Ok(())
    }

    fn release_reservation(&mut self, task: ids::TaskId) {
        let Some(place) = self.places.get_mut(&task) else { return };
        let Some(worker) = place.worker.take() else { return };
        if let Some(r) = self.reserved.get_mut(&worker) {
            *r = r.minus(&place.demand);
        }
    }
}

/// The checks of one entry over all its partitions.
#[derive(Debug, Default)]
pub struct EntryCheck {
    generation: ids::Generation,
    sent_once: FxHashSet<(ids::PartnerId, ids::RequestKey)>,
}

impl EntryCheck {
    /// Checks that a configuration about to be put in force is newer than the one before.
    ///
    /// # Errors
    /// Returns a violation if the generation is not higher than the one before.
    pub fn generation(&mut self, generation: ids::Generation) -> Result<()> {
        if generation <= self.generation {
            let evidence = format!("{generation} after {}", self.generation);
            return violated(Invariant::GenerationRises, evidence);
        }
        self.generation = generation;
        Ok(())
    }

    /// Checks that this entry has not sent a request that must not be repeated.
    ///
    /// # Errors
    /// Returns a violation if this entry has sent the request before.
    pub fn once(&mut self, partner: &ids::PartnerId, key: &ids::RequestKey) -> Result<()> {
        if self.sent_once.insert((partner.clone(), key.clone())) {
            return Ok(());
        }
        violated(Invariant::AtMostOnce, format!("{partner} {key} is sent again"))
    }

    /// Records that a request certainly did not run, so that its key may be sent again.
    pub fn once_not_run(&mut self, partner: &ids::PartnerId, key: &ids::RequestKey) {
        self.sent_once.remove(&(partner.clone(), key.clone()));
    }

    /// Drops a key whose claim the journal keeps permanently, so that it need not be kept here.
    pub fn once_settled(&mut self, partner: &ids::PartnerId, key: &ids::RequestKey) {
        self.sent_once.remove(&(partner.clone(), key.clone()));
    }

    /// Checks the result code about to be returned to a caller for a request.
    ///
    /// # Errors
    /// Returns a violation if the code says "not run" although the request reached a worker that
    /// did not refuse it.
    pub fn refusal(&self, code: codes::Code, may_have_run: bool) -> Result<()> {
        if code.row().ran == codes::Ran::No && may_have_run {
            return violated(Invariant::NotRunIsTrue, format!("{code} after it was sent"));
        }
        Ok(())
    }
}

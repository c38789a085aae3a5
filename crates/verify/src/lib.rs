//! Asserts the invariants inside the running program, apart from the code that it checks.
//!
//! Each transition is stated as a [`Fact`] before its effect leaves the process. The checks keep
//! their own small model, built only from facts; a fact that contradicts it is a [`Violation`],
//! and the caller must not carry out the action. `docs/PROOFS.md` names the invariants.

use gaplock_types::{codes, ids, sizes, wire};
use rustc_hash::{FxHashMap, FxHashSet};

/// An invariant that a fact contradicts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// A worker carries no more than its processors, memory and accelerators.
    Capacity,
    /// A task runs in at most one place.
    OnePlace,
    /// Evicted work resumes exactly once, from its checkpoint.
    ResumeOnce,
    /// A start leaves the process only after its assignment is stored.
    StoredFirst,
    /// A partition's epoch rises.
    EpochRises,
    /// The configuration's generation rises.
    GenerationRises,
    /// A request that must not be repeated is sent at most once.
    AtMostOnce,
    /// A refusal that says "not run" is told only where the work did not run.
    NotRunIsTrue,
    /// A leaving worker gets no new work.
    LeavingGetsNothing,
}

impl Invariant {
    /// Every invariant.
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

/// A contradicted invariant with its evidence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// The contradicting fact and what was known.
    pub evidence: String,
}

/// The result of checking a fact.
pub type Result<T> = std::result::Result<T, Violation>;

/// A transition that is about to take effect in one partition.
#[derive(Debug, Clone)]
pub enum Fact<'a> {
    /// The partition is owned under an epoch.
    Owned(ids::Epoch),
    /// A run is assigned to a worker and will hold `demand` there.
    Assigned {
        /// The run.
        run: wire::Run,
        /// The worker.
        worker: &'a ids::WorkerId,
        /// What is reserved for it.
        demand: sizes::Resources,
        /// What the worker can carry, where it is known.
        capacity: Option<sizes::Resources>,
        /// The checkpoint from which it resumes.
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
        /// Whether the worker is known to be leaving and the run has not been sent before.
        leaving_and_new: bool,
    },
    /// A run is proven to have stopped, and its task waits again from a checkpoint.
    Requeued {
        /// The run.
        run: wire::Run,
        /// The checkpoint, in milliseconds of work.
        checkpoint_ms: u64,
    },
    /// A run has ended for good.
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
    /// Checks a fact and, if nothing contradicts it, takes it in.
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

    /// Forgets every task, as before a takeover restores them from the journal; the epoch stays, so
    /// that a later ownership under an older one is still seen.
    pub fn restart(&mut self) {
        self.places.clear();
        self.reserved.clear();
    }

    /// Takes in that a task which another partition lends begins at a checkpoint.
    pub fn start_from(&mut self, task: ids::TaskId, checkpoint_ms: u64) {
        let run = wire::Run { task, attempt: ids::Attempt(0) };
        self.restore(run, None, sizes::Resources::default(), false, checkpoint_ms);
    }

    /// Forgets a task whose job has been removed from the journal.
    pub fn forget(&mut self, task: ids::TaskId) {
        self.release_reservation(task);
        self.places.remove(&task);
    }

    /// Takes in a task as the journal's snapshot states it, when a partition is taken over.
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
        let here = place.is_some_and(|p| {
            p.attempt == run.attempt && p.worker.as_ref() == Some(worker) && !p.ended
        });
        if !here || epoch != self.epoch {
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
        let here = known.is_some_and(|p| p.attempt == run.attempt && p.worker.is_some());
        let lost = known.is_some_and(|p| checkpoint_ms < p.checkpoint_ms);
        if !here || lost {
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
    /// Checks that a configuration put in force is newer than the one before.
    ///
    /// # Errors
    /// Returns a violation where the generation does not rise.
    pub fn generation(&mut self, generation: ids::Generation) -> Result<()> {
        if generation <= self.generation {
            let evidence = format!("{generation} after {}", self.generation);
            return violated(Invariant::GenerationRises, evidence);
        }
        self.generation = generation;
        Ok(())
    }

    /// Checks that a request which must not be repeated is sent for the first time.
    ///
    /// # Errors
    /// Returns a violation where this entry has sent it before.
    pub fn once(&mut self, partner: &ids::PartnerId, key: &ids::RequestKey) -> Result<()> {
        if self.sent_once.insert((partner.clone(), key.clone())) {
            return Ok(());
        }
        violated(Invariant::AtMostOnce, format!("{partner} {key} is sent again"))
    }

    /// Takes in that a request certainly did not run, so that its key may be sent again.
    pub fn once_not_run(&mut self, partner: &ids::PartnerId, key: &ids::RequestKey) {
        self.sent_once.remove(&(partner.clone(), key.clone()));
    }

    /// Takes in that a claim is held by the journal for good, so that it need not be kept here.
    pub fn once_settled(&mut self, partner: &ids::PartnerId, key: &ids::RequestKey) {
        self.sent_once.remove(&(partner.clone(), key.clone()));
    }

    /// Checks what a caller is about to be told about a request.
    ///
    /// # Errors
    /// Returns a violation where "not run" would be told although the request reached a worker
    /// that did not refuse it.
    pub fn refusal(&self, code: codes::Code, may_have_run: bool) -> Result<()> {
        if code.row().ran == codes::Ran::No && may_have_run {
            return violated(Invariant::NotRunIsTrue, format!("{code} after it was sent"));
        }
        Ok(())
    }
}

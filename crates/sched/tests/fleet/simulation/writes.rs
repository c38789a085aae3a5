//! The leader's commits on their way to the store: they may be lost, late, refused, unanswered, or in
//! conflict with those of a newer leader. `gaplock_sched::commit_writer` decides what follows, as in
//! the product.

use gaplock_sched::commit_writer::{
    self, CommitAnswer, CommitId, CommitRevision, CommitWriter, NextStep, StoreView,
};
use gaplock_sched::message::Record;
use gaplock_sched::Event;
use rand::Rng;

use super::calls::Delivery;
use super::Simulation;

/// How long a call to the store takes, in milliseconds; the store in production answers in some 4 ms.
const CALL_MS: u64 = 4;

/// How long it takes until the leader is notified that a commit was refused, in milliseconds.
const REFUSED_MS: u64 = 200;

/// How long the leader waits for the answer to a commit, in milliseconds, as in the product.
const WRITE_TIMEOUT_MS: u64 = 900;

/// The pause before a commit with an unknown outcome is sent again, in milliseconds, as in the product.
const REPEAT_PAUSE_MS: u64 = 100;

/// How late a commit without an answer may be carried out, in milliseconds: before or after its repeat.
const LATE_MS: std::ops::Range<u64> = 500..8_000;

/// The faults of commits, each as its share of commits in a thousand.
#[derive(Debug, Clone, Copy, Default)]
pub struct WriteFaults {
    /// Commits that never arrive and get no answer.
    pub lost_per_mille: u32,
    /// Commits whose answer is lost.
    pub unanswered_per_mille: u32,
    /// Commits without an answer that are carried out seconds later, if the last commit is still the one that
    /// they expect.
    pub late_per_mille: u32,
    /// Commits that the store refuses.
    pub refused_per_mille: u32,
}

impl WriteFaults {
    /// Returns whether any faults are set.
    fn any(&self) -> bool {
        self.lost_per_mille
            + self.unanswered_per_mille
            + self.late_per_mille
            + self.refused_per_mille
            > 0
    }
}

/// A commit: one transaction. Its serial number distinguishes it from every other one, even if their IDs are
/// equal by mistake.
#[derive(Debug, Clone)]
pub struct Write {
    id: CommitId,
    /// The revision that the last commit must have.
    expects: CommitRevision,
    serial: u64,
    records: Vec<Record>,
}

/// What the leader is notified of while a commit is in flight.
#[derive(Debug, Clone, Copy)]
pub enum WriteNotice {
    /// The answer to an attempt has come, or its timeout has passed.
    Answer(CommitAnswer),
    /// The store has been read.
    ReadStore,
    /// The pause before the next attempt has passed.
    Waited,
}

/// The leader's commits, and the last one that the store holds.
#[derive(Debug)]
pub struct Writes {
    writer: CommitWriter,
    in_flight: Option<Write>,
    /// The ID of the last commit or claim in the store.
    id: CommitId,
    /// Its revision.
    revision: CommitRevision,
    /// The serial number of the last commit that was sent.
    serial: u64,
    /// The serial number of the last commit in the store.
    last_serial: u64,
}

impl Default for Writes {
    fn default() -> Self {
        let (id, revision) = (CommitId { term: 0, number: 0 }, CommitRevision(0));
        let writer = commit_writer::open(id, revision);
        Self { writer, in_flight: None, id, revision, serial: 0, last_serial: 0 }
    }
}

impl Writes {
    /// Stores the claim of a new leader. From here on, a commit that expects an earlier revision is never
    /// carried out.
    pub fn claim(&mut self, term: u64) {
        self.id = CommitId { term, number: 0 };
        self.revision.0 += 1;
        self.writer = commit_writer::open(self.id, self.revision);
        self.in_flight = None;
    }

    /// Carries a commit out if the last commit is the one that it expects.
    fn carry_out(&mut self, write: &Write) -> CommitAnswer {
        if write.expects != self.revision {
            return CommitAnswer::Conflict;
        }
        self.revision.0 += 1;
        self.id = write.id;
        self.last_serial = write.serial;
        CommitAnswer::Stored(self.revision)
    }
}

impl Simulation {
    /// Begins to commit records.
    pub(super) fn write(&mut self, records: Vec<Record>) {
        let writes = &mut self.writes;
        writes.serial += 1;
        let (id, expects) = (writes.writer.begin(), writes.writer.last());
        writes.in_flight = Some(Write { id, expects, serial: writes.serial, records });
        self.carry_out_step(NextStep::Send);
    }

    /// Carries out the step that the leader's commit writer asks for.
    fn carry_out_step(&mut self, next: NextStep) {
        match next {
            NextStep::Send => self.send_write(),
            NextStep::ReadStore => self.notify_later(CALL_MS, WriteNotice::ReadStore),
            NextStep::Wait => self.notify_later(REPEAT_PAUSE_MS, WriteNotice::Waited),
            NextStep::Stored => {
                self.check_stored();
                self.writes.in_flight = None;
                self.notify_leader(Event::Committed);
            }
            NextStep::NotStored => {
                self.writes.in_flight = None;
                self.notify_leader(Event::CommitFailed);
            }
            NextStep::LeadershipOver => {
                self.writes.in_flight = None;
                if self.cx.is_some() {
                    self.violations.push(format!(
                        "{}: the commit writer ended the term of a leader that has no successor",
                        self.now
                    ));
                }
            }
        }
    }

    /// Checks that a commit that the leader considers stored is the last one that the store holds.
    fn check_stored(&mut self) {
        let serial = self.writes.in_flight.as_ref().map(|w| w.serial);
        if serial != Some(self.writes.last_serial) {
            let violation = format!(
                "{}: the leader considers a commit stored that the store does not hold",
                self.now
            );
            self.violations.push(violation);
        }
    }

    /// Sends an attempt of the commit in flight, subject to the faults of writes.
    fn send_write(&mut self) {
        let Some(write) = self.writes.in_flight.clone() else { return };
        self.writes.writer.sent();
        if self.store_down {
            return self.notify_later(REFUSED_MS, WriteNotice::Answer(CommitAnswer::Refused));
        }
        let f = self.write_faults;
        // Simulations without such faults draw no number here, so that their seeds keep giving the same runs.
        let roll = if f.any() { self.rng.random_range(0..1_000) } else { 1_000 };
        let mut bound = 0;
        let mut falls_below = |share: u32| {
            bound += share;
            roll < bound
        };
        if falls_below(f.refused_per_mille) {
            return self.notify_later(REFUSED_MS, WriteNotice::Answer(CommitAnswer::Refused));
        }
        if falls_below(f.lost_per_mille) {
            return self.notify_later(WRITE_TIMEOUT_MS, WriteNotice::Answer(CommitAnswer::Silent));
        }
        let late = falls_below(f.late_per_mille);
        let answered = !late && !falls_below(f.unanswered_per_mille);
        if !answered {
            self.notify_later(WRITE_TIMEOUT_MS, WriteNotice::Answer(CommitAnswer::Silent));
        }
        let after = if late { self.rng.random_range(LATE_MS) } else { CALL_MS };
        self.send(after, Delivery::ToStore { write, answered });
    }

    /// Schedules a notification about the commit in flight.
    fn notify_later(&mut self, after: u64, notice: WriteNotice) {
        let Some(id) = self.writes.in_flight.as_ref().map(|w| w.id) else { return };
        self.send(after, Delivery::FromStore { id, notice });
    }

    /// Carries out a commit that has arrived at the store.
    pub(super) fn write_arrives(&mut self, write: Write, answered: bool) {
        let answer = self.writes.carry_out(&write);
        let id = write.id;
        if matches!(answer, CommitAnswer::Stored(_)) {
            self.store(write.records);
        }
        if answered {
            self.notify_of_write(id, WriteNotice::Answer(answer));
        }
    }

    /// Notifies the leader about the commit in flight; a notification about an earlier one is dropped.
    pub(super) fn notify_of_write(&mut self, id: CommitId, notice: WriteNotice) {
        if self.writes.in_flight.as_ref().is_none_or(|w| w.id != id) {
            return;
        }
        let (leads, view) = (self.cx.is_some(), self.store_view());
        let writer = &mut self.writes.writer;
        let next = match notice {
            WriteNotice::Answer(answer) => writer.answered(answer),
            WriteNotice::ReadStore => writer.store_read(view),
            WriteNotice::Waited => writer.waited(leads),
        };
        self.carry_out_step(next);
    }

    /// Returns what a read of the store shows.
    fn store_view(&self) -> StoreView {
        if self.store_down {
            return StoreView::Nothing;
        }
        let (id, revision) = (Some(self.writes.id), self.writes.revision);
        StoreView::Last { id, revision, leads: true }
    }
}

//! The leader's writes on their way to the store: lost, late, refused, without an answer, or in
//! conflict with those of a newer leader. `gaplock_sched::writing` decides what follows, as in the
//! product.

use gaplock_sched::commit_writer::{
    self, CommitAnswer, CommitId, CommitRevision, CommitWriter, NextStep, StoreView,
};
use gaplock_sched::message::Record;
use gaplock_sched::Event;
use rand::Rng;

use super::calls::Delivery;
use super::World;

/// How long a call to the store takes, in milliseconds; the users' store answers in some 4 ms.
const CALL_MS: u64 = 4;

/// How long it takes until the leader hears that a commit was refused, in milliseconds.
const REFUSED_MS: u64 = 200;

/// How long the leader waits for the answer to a write, in milliseconds, as in the product.
const LIMIT_MS: u64 = 900;

/// The pause before a write whose fate is unknown is sent again, in milliseconds, as in the
/// product.
const PAUSE_MS: u64 = 100;

/// How late a write without an answer may be carried out, in milliseconds: before and after its
/// repeat.
const LATE_MS: std::ops::Range<u64> = 500..8_000;

/// What goes wrong with writes, each as a share of them in a thousand.
#[derive(Debug, Clone, Copy, Default)]
pub struct WriteFaults {
    /// Writes that never arrive and get no answer.
    pub lost_per_mille: u32,
    /// Writes whose answer is lost.
    pub unanswered_per_mille: u32,
    /// Writes without an answer that are carried out seconds later, if what they expect still
    /// holds.
    pub late_per_mille: u32,
    /// Writes that the store refuses.
    pub refused_per_mille: u32,
}

impl WriteFaults {
    fn any(&self) -> bool {
        self.lost_per_mille
            + self.unanswered_per_mille
            + self.late_per_mille
            + self.refused_per_mille
            > 0
    }
}

/// One transaction. Its serial number tells it from every other one, whatever its mark.
#[derive(Debug, Clone)]
pub struct Write {
    mark: CommitId,
    expects: CommitRevision,
    serial: u64,
    records: Vec<Record>,
}

/// What the leader hears of the write in flight.
#[derive(Debug, Clone, Copy)]
pub enum WriteNotice {
    Answer(CommitAnswer),
    ReadStore,
    Waited,
}

/// The leader's writes and what the store holds of them.
#[derive(Debug)]
pub struct Writes {
    writer: CommitWriter,
    in_flight: Option<Write>,
    mark: CommitId,
    revision: CommitRevision,
    serial: u64,
    last_serial: u64,
}

impl Default for Writes {
    fn default() -> Self {
        let (mark, revision) = (CommitId { term: 0, number: 0 }, CommitRevision(0));
        let writer = commit_writer::open(mark, revision);
        Self { writer, in_flight: None, mark, revision, serial: 0, last_serial: 0 }
    }
}

impl Writes {
    /// Stores a claim: whatever expects an earlier commit is never carried out from here on.
    pub fn claim(&mut self, term: u64) {
        self.mark = CommitId { term, number: 0 };
        self.revision.0 += 1;
        self.writer = commit_writer::open(self.mark, self.revision);
        self.in_flight = None;
    }

    /// Carries a write out if what it expects holds.
    fn carry_out(&mut self, write: &Write) -> CommitAnswer {
        if write.expects != self.revision {
            return CommitAnswer::Conflict;
        }
        self.revision.0 += 1;
        self.mark = write.mark;
        self.last_serial = write.serial;
        CommitAnswer::Stored(self.revision)
    }
}

impl World {
    /// Begins to write the records of a commit.
    pub(super) fn write(&mut self, records: Vec<Record>) {
        let writes = &mut self.writes;
        writes.serial += 1;
        let (mark, expects) = (writes.writer.begin(), writes.writer.last());
        writes.in_flight = Some(Write { mark, expects, serial: writes.serial, records });
        self.carry_out_step(NextStep::Send);
    }

    /// Does what the leader's writer asks for.
    fn carry_out_step(&mut self, next: NextStep) {
        match next {
            NextStep::Send => self.send_write(),
            NextStep::ReadStore => self.notify_later(CALL_MS, WriteNotice::ReadStore),
            NextStep::Wait => self.notify_later(PAUSE_MS, WriteNotice::Waited),
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
                    self.violations.push(format!("{}: a leader lost its term", self.now));
                }
            }
        }
    }

    /// Checks that the write that the leader takes for stored is what the store holds.
    fn check_stored(&mut self) {
        let serial = self.writes.in_flight.as_ref().map(|w| w.serial);
        if serial != Some(self.writes.last_serial) {
            let violation =
                format!("{}: a commit that is not stored was taken for stored", self.now);
            self.violations.push(violation);
        }
    }

    /// Sends a try of the write in flight, with all that may become of it.
    fn send_write(&mut self) {
        let Some(write) = self.writes.in_flight.clone() else { return };
        self.writes.writer.sent();
        if self.store_down {
            return self.notify_later(REFUSED_MS, WriteNotice::Answer(CommitAnswer::Refused));
        }
        let f = self.write_faults;
        // Worlds without such faults draw nothing, so that their seeds play as they always have.
        let roll = if f.any() { self.rng.random_range(0..1_000) } else { 1_000 };
        let mut most = 0;
        let mut falls = |share: u32| {
            most += share;
            roll < most
        };
        if falls(f.refused_per_mille) {
            return self.notify_later(REFUSED_MS, WriteNotice::Answer(CommitAnswer::Refused));
        }
        if falls(f.lost_per_mille) {
            return self.notify_later(LIMIT_MS, WriteNotice::Answer(CommitAnswer::Silent));
        }
        let late = falls(f.late_per_mille);
        let answered = !late && !falls(f.unanswered_per_mille);
        if !answered {
            self.notify_later(LIMIT_MS, WriteNotice::Answer(CommitAnswer::Silent));
        }
        let after = if late { self.rng.random_range(LATE_MS) } else { CALL_MS };
        self.send(after, Delivery::ToStore { write, answered });
    }

    fn notify_later(&mut self, after: u64, heard: WriteNotice) {
        let Some(mark) = self.writes.in_flight.as_ref().map(|w| w.mark) else { return };
        self.send(after, Delivery::FromStore { mark, heard });
    }

    /// Lets a write arrive at the store.
    pub(super) fn write_arrives(&mut self, write: Write, answered: bool) {
        let answer = self.writes.carry_out(&write);
        let mark = write.mark;
        if matches!(answer, CommitAnswer::Stored(_)) {
            self.store(write.records);
        }
        if answered {
            self.notify_of_write(mark, WriteNotice::Answer(answer));
        }
    }

    /// Lets the leader hear of its write; an answer to an earlier one goes nowhere.
    pub(super) fn notify_of_write(&mut self, mark: CommitId, heard: WriteNotice) {
        if self.writes.in_flight.as_ref().is_none_or(|w| w.mark != mark) {
            return;
        }
        let (leads, sight) = (self.cx.is_some(), self.store_view());
        let writer = &mut self.writes.writer;
        let next = match heard {
            WriteNotice::Answer(answer) => writer.answered(answer),
            WriteNotice::ReadStore => writer.store_read(sight),
            WriteNotice::Waited => writer.waited(leads),
        };
        self.carry_out_step(next);
    }

    /// Returns what a look at the store shows.
    fn store_view(&self) -> StoreView {
        if self.store_down {
            return StoreView::Nothing;
        }
        let (mark, revision) = (Some(self.writes.mark), self.writes.revision);
        StoreView::Last { mark, revision, leads: true }
    }
}

//! A partition's journal in the platform's store, which also fences previous owners.
//!
//! The journal is a ring of keys. Each commit is one compare-and-swap of the next slot, so of two
//! owners only one can write a given position. A claim written there fences every owner whose next
//! write would have gone to it, so there is no separate lock. A snapshot of the state is written
//! before the ring wraps around. Any snapshot covers a valid prefix of the journal, whichever owner
//! wrote it.
//!
//! A write without an answer is never repeated blindly: the slot is read back, and if it holds the
//! writer's own entry, the entry is committed. `docs/DESIGN.md`, section Journal, gives the cost.

mod replay;
mod replies;
mod snapshot;

use gaplock_chart::charts::ownership;
use gaplock_types::{ids, time};

use crate::action::{CallId, StoreAnswer, StoreCall};
use crate::context::Context;
use crate::keys;
use crate::records::{Entry, Record};
use crate::state::PartitionState;

/// The number of slots in the ring.
pub const RING_SLOTS: u64 = 64;
/// The most records that one entry carries; further records go into the next entry.
const MAX_RECORDS_PER_ENTRY: usize = 800;
/// How long to wait after a store call without a clear answer, before the next attempt.
const RETRY_EVERY: time::Millis = time::Millis(300);

pub use replies::{in_progress_reply, not_owner_reply, AfterCommit};

/// A record that has not been sent yet, with the replies that wait for its commit.
#[derive(Debug)]
struct Pending {
    record: Record,
    after: Vec<AfterCommit>,
}

/// The progress of writing an entry.
#[derive(Debug)]
enum Phase {
    /// The write is unanswered.
    Writing(CallId),
    /// The write got no clear answer; the slot is to be read back at this time.
    Unclear(time::Instant),
    /// The slot is being read back.
    Reading(CallId),
}

/// An entry that has been sent and is not known to be committed, with the waiting replies.
#[derive(Debug)]
struct Inflight {
    entry: Entry,
    phase: Phase,
    after: Vec<AfterCommit>,
    since: time::Instant,
}

/// The effect of a store answer on the journal.
#[derive(Debug, PartialEq)]
pub enum Outcome {
    /// Nothing that concerns the partition.
    Nothing,
    /// The claim is committed: this entry owns the partition from now on.
    Claimed,
    /// An entry is committed.
    Committed(Vec<Record>),
    /// The release is committed.
    Released,
    /// Another entry owns the partition.
    Fenced,
}

/// The journal of one partition, as one entry sees it.
#[derive(Debug)]
pub struct Journal {
    id: ids::PartitionId,
    me: ids::Member,
    is: ownership::State,
    /// The state after all committed entries.
    pub committed: PartitionState,
    /// The modification index of each slot.
    slots: Vec<ids::StoreIndex>,
    /// The modification index of the stored snapshot, and the last sequence number it covers.
    stored_snapshot: (ids::StoreIndex, ids::Seq),
    snapshot_phase: snapshot::Phase,
    loading: Option<CallId>,
    retry_at: time::Instant,
    pending: Vec<Pending>,
    pending_since: time::Instant,
    inflight: Option<Inflight>,
    /// The unanswered read that checks whether another entry has claimed, and when it was sent.
    ownership_check: Option<(CallId, time::Instant)>,
    /// The latest time at which this entry is known to have owned the partition.
    pub ownership_confirmed_at: time::Instant,
    /// Whether the previous owner had released the partition before the claim. It is also true if
    /// there was no previous owner.
    pub was_released: bool,
}

impl Journal {
    /// Builds the journal of a partition that `me` does not own.
    pub fn open(id: ids::PartitionId, me: ids::Member) -> Self {
        Self {
            id,
            me,
            is: ownership::State::Other,
            committed: PartitionState::default(),
            slots: vec![ids::StoreIndex(0); RING_SLOTS as usize],
            stored_snapshot: (ids::StoreIndex(0), ids::Seq(0)),
            snapshot_phase: snapshot::Phase::Idle,
            loading: None,
            retry_at: time::Instant(0),
            pending: Vec::new(),
            pending_since: time::Instant(0),
            inflight: None,
            ownership_check: None,
            ownership_confirmed_at: time::Instant(0),
            was_released: false,
        }
    }

    /// Returns the ownership state, as defined in `charts/ownership.chart`.
    pub fn ownership_state(&self) -> ownership::State {
        self.is
    }

    /// Returns whether this entry owns the partition and may make decisions for it.
    pub fn owns(&self) -> bool {
        self.is == ownership::State::Owner
    }

    /// Returns the epoch under which this entry owns the partition.
    pub fn epoch(&self) -> ids::Epoch {
        self.committed.epoch
    }

    /// Returns whether commits succeed in time: no entry has been in flight for the commit timeout.
    pub fn healthy(&self, cx: &Context) -> bool {
        let limit = cx.timing.commit_timeout;
        self.inflight.as_ref().is_none_or(|i| cx.now.since(i.since) < limit)
    }

    /// Returns when the release was sent, if its commit is not known yet; it may already be stored.
    pub fn release_sent_at(&self) -> Option<time::Instant> {
        let release = |i: &&Inflight| i.entry.records.contains(&Record::Release);
        self.inflight.as_ref().filter(release).map(|i| i.since)
    }

    /// Returns whether records wait to be committed.
    pub fn has_uncommitted(&self) -> bool {
        self.inflight.is_some() || !self.pending.is_empty()
    }

    fn step(&mut self, cx: &mut Context, on: ownership::Event) {
        match self.is.step(on) {
            Ok(next) => self.is = next,
            Err(e) => cx.log_decision("chart", self.id.to_string(), e.to_string()),
        }
    }

    /// Begins to claim the partition, by loading its journal.
    pub fn begin_claim(&mut self, cx: &mut Context) {
        if self.is == ownership::State::Other {
            self.step(cx, ownership::Event::Want);
            self.load(cx);
        }
    }

    /// Adds a record to the next entry; `after` is carried out after its commit.
    pub fn append(&mut self, cx: &Context, record: Record, after: Option<AfterCommit>) {
        if self.pending.is_empty() {
            self.pending_since = cx.now;
        }
        self.pending.push(Pending { record, after: after.into_iter().collect() });
    }

    /// Begins to release the partition. Pending records are committed with the release.
    pub fn release(&mut self, cx: &mut Context) {
        match self.is {
            ownership::State::Owner => {
                self.append(cx, Record::Release, None);
                self.step(cx, ownership::Event::Release);
            }
            ownership::State::Loading => self.drop_ownership(cx, ownership::Event::Release),
            _ => {}
        }
    }

    /// Stops being the owner: drops all uncommitted records and answers the waiting commands.
    pub fn drop_ownership(&mut self, cx: &mut Context, on: ownership::Event) {
        self.step(cx, on);
        if self.has_uncommitted() {
            cx.log_decision("journal-dropped", self.id.to_string(), "ownership was lost");
        }
        self.drop_replies(cx);
        self.loading = None;
        self.ownership_check = None;
        self.snapshot_phase = snapshot::Phase::Idle;
    }

    /// Carries out what is due: loading, reading back, snapshots, commits and the ownership check.
    pub fn poll(&mut self, cx: &mut Context) {
        match self.is {
            ownership::State::Other => {}
            ownership::State::Loading => {
                if self.loading.is_none() && cx.now >= self.retry_at {
                    self.load(cx);
                }
            }
            ownership::State::Claiming | ownership::State::Owner | ownership::State::Draining => {
                self.poll_inflight(cx);
                self.poll_snapshot(cx);
                self.flush(cx);
                self.poll_ownership_check(cx);
                self.time_out_replies(cx);
            }
        }
    }

    fn poll_inflight(&mut self, cx: &mut Context) {
        let Some(inflight) = &mut self.inflight else { return };
        if let Phase::Unclear(at) = inflight.phase {
            if cx.now >= at {
                let key = keys::slot(self.id, inflight.entry.seq.0 % RING_SLOTS);
                inflight.phase = Phase::Reading(cx.call(StoreCall::Get { key }));
            }
        }
    }

    fn flush(&mut self, cx: &mut Context) {
        let due = cx.now.since(self.pending_since) >= cx.timing.commit_delay;
        let draining = self.is == ownership::State::Draining;
        if self.inflight.is_some() || self.pending.is_empty() || !(due || draining) {
            return;
        }
        // The slot that would be overwritten must be covered by the snapshot.
        let seq = self.committed.seq.next();
        if seq.0 > self.stored_snapshot.1 .0 + RING_SLOTS {
            return;
        }
        let count = self.pending.len().min(MAX_RECORDS_PER_ENTRY);
        let sent: Vec<Pending> = self.pending.drain(..count).collect();
        let (records, after): (Vec<Record>, Vec<Vec<AfterCommit>>) =
            sent.into_iter().map(|p| (p.record, p.after)).unzip();
        self.write(cx, records, after.into_iter().flatten().collect());
    }

    fn write(&mut self, cx: &mut Context, records: Vec<Record>, after: Vec<AfterCommit>) {
        let claim = matches!(records.first(), Some(Record::Claim));
        let epoch = if claim { self.committed.epoch.next() } else { self.committed.epoch };
        let seq = self.committed.seq.next();
        let entry = Entry { seq, epoch, owner: self.me.clone(), records };
        let phase = Phase::Writing(self.send_entry(cx, &entry));
        self.inflight = Some(Inflight { entry, phase, after, since: cx.now });
    }

    fn send_entry(&self, cx: &mut Context, entry: &Entry) -> CallId {
        let slot = entry.seq.0 % RING_SLOTS;
        let value = serde_json::to_vec(entry).expect("an entry always serialises to JSON");
        let index = self.slots[slot as usize];
        cx.call(StoreCall::Cas { key: keys::slot(self.id, slot), value, index })
    }

    fn poll_ownership_check(&mut self, cx: &mut Context) {
        let due = cx.now.since(self.ownership_confirmed_at) >= cx.timing.confirm_every;
        if due
            && self.ownership_check.is_none()
            && self.inflight.is_none()
            && cx.now >= self.retry_at
        {
            let key = keys::slot(self.id, self.committed.seq.next().0 % RING_SLOTS);
            self.ownership_check = Some((cx.call(StoreCall::Get { key }), cx.now));
        }
    }

    /// Handles the answer to a store call, if the call was made by this journal.
    pub fn answered(&mut self, cx: &mut Context, call: CallId, answer: &StoreAnswer) -> Outcome {
        if self.loading == Some(call) {
            self.loading = None;
            return self.loaded(cx, answer);
        }
        if let Some((_, sent_at)) = self.ownership_check.take_if(|(c, _)| *c == call) {
            return self.ownership_check_answered(cx, sent_at, answer);
        }
        if let Some(inflight) = &self.inflight {
            match inflight.phase {
                Phase::Writing(c) if c == call => return self.write_answered(cx, answer),
                Phase::Reading(c) if c == call => return self.read_back(cx, answer),
                _ => {}
            }
        }
        match self.snapshot_phase {
            snapshot::Phase::Writing(c, seq) if c == call => {
                self.snapshot_write_answered(cx, seq, answer)
            }
            snapshot::Phase::Reading(c) if c == call => self.snapshot_read_back(cx, answer),
            _ => {}
        }
        Outcome::Nothing
    }

    fn write_answered(&mut self, cx: &mut Context, answer: &StoreAnswer) -> Outcome {
        match answer {
            StoreAnswer::Written(index) => self.commit(cx, *index),
            // The conflict may come from a duplicate of this very write, so the slot is read back.
            StoreAnswer::Conflict => self.schedule_read_back(cx, time::Millis(0)),
            StoreAnswer::Read(_) | StoreAnswer::Unclear => self.schedule_read_back(cx, RETRY_EVERY),
        }
    }

    fn schedule_read_back(&mut self, cx: &mut Context, wait: time::Millis) -> Outcome {
        if let Some(inflight) = &mut self.inflight {
            inflight.phase = Phase::Unclear(cx.now + wait);
        }
        if wait == time::Millis(0) {
            self.poll_inflight(cx);
        }
        Outcome::Nothing
    }

    fn read_back(&mut self, cx: &mut Context, answer: &StoreAnswer) -> Outcome {
        let StoreAnswer::Read(kvs) = answer else {
            return self.schedule_read_back(cx, RETRY_EVERY);
        };
        let Some(inflight) = &self.inflight else { return Outcome::Nothing };
        let seq = inflight.entry.seq;
        let found = kvs.first().map(|kv| (kv.index, serde_json::from_slice::<Entry>(&kv.value)));
        match found {
            Some((index, Ok(entry))) if entry == inflight.entry => self.commit(cx, index),
            Some((_, Ok(entry))) if entry.seq >= seq => {
                self.drop_ownership(cx, ownership::Event::Fenced);
                Outcome::Fenced
            }
            _ => {
                let entry = inflight.entry.clone();
                let call = self.send_entry(cx, &entry);
                if let Some(inflight) = &mut self.inflight {
                    inflight.phase = Phase::Writing(call);
                }
                Outcome::Nothing
            }
        }
    }

    fn commit(&mut self, cx: &mut Context, index: ids::StoreIndex) -> Outcome {
        let Some(inflight) = self.inflight.take() else { return Outcome::Nothing };
        let Inflight { entry, after, since, .. } = inflight;
        self.slots[(entry.seq.0 % RING_SLOTS) as usize] = index;
        for error in self.committed.apply_entry(self.id, &entry) {
            cx.log_decision("journal-misfit", self.id.to_string(), error.to_string());
        }
        // The commit proves ownership at the time of sending. By the time of the answer, another
        // entry may have claimed.
        self.ownership_confirmed_at = since;
        for after in after {
            after.answer(cx);
        }
        if entry.records.contains(&Record::Release) {
            // No record may be left over: if this process claims again, it would commit the record.
            self.drop_ownership(cx, ownership::Event::Released);
            return Outcome::Released;
        }
        if self.is == ownership::State::Claiming {
            self.step(cx, ownership::Event::Claimed);
            return Outcome::Claimed;
        }
        self.flush(cx);
        Outcome::Committed(entry.records)
    }

    fn ownership_check_answered(
        &mut self,
        cx: &mut Context,
        sent_at: time::Instant,
        answer: &StoreAnswer,
    ) -> Outcome {
        let StoreAnswer::Read(kvs) = answer else {
            self.retry_at = cx.now + RETRY_EVERY;
            return Outcome::Nothing;
        };
        if self.inflight.is_some() {
            return Outcome::Nothing;
        }
        let next = self.committed.seq.next();
        let newer = kvs
            .first()
            .and_then(|kv| serde_json::from_slice::<Entry>(&kv.value).ok())
            .is_some_and(|entry| entry.seq >= next);
        if newer {
            self.drop_ownership(cx, ownership::Event::Fenced);
            return Outcome::Fenced;
        }
        // The answer may be late, for example after this process was frozen, so the read proves
        // ownership only at the time of sending.
        self.ownership_confirmed_at = self.ownership_confirmed_at.max(sent_at);
        Outcome::Nothing
    }
}

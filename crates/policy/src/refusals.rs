//! Keeps refusals true: what follows from the outcome of a write that stores a job, or the marker
//! of its refusal.
//!
//! A refused job must not run, although an earlier attempt to store it, at any host, may still be
//! on its way to the store. So a marker is stored before the refusal is answered. The write of a
//! job expects that there is no marker, or removes one whose refusal was stored before the caller's
//! request arrived: the caller has then returned. The store's revisions tell which came first; the
//! hosts' clocks are not compared.

use crate::attempts::{CallAttempts, Execution};
use crate::store_outcome::StoreOutcome;

/// A revision of the store, as far as this crate needs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct StoreRevision(pub u64);

/// Identifies the request on whose behalf a host writes a marker; no two requests share one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct MarkerWriter(pub u64);

/// A stored marker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Marker {
    /// The revision at which it was written.
    pub revision: StoreRevision,
    /// Who wrote it; `None` if that cannot be read.
    pub writer: Option<MarkerWriter>,
}

/// What is stored under the keys of one job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Found {
    /// The job.
    Job,
    /// The marker of its refusal.
    Marker(Marker),
    /// Neither of them.
    Nothing,
}

/// The answer to one attempt of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteAnswer {
    /// It was carried out.
    Stored,
    /// A condition did not hold; what was found after that, if it could be read.
    Conflict(Option<Found>),
    /// It was not carried out and never will be.
    NotStored,
    /// It may have been carried out, or may still be.
    Unclear,
}

/// The next step of a host that stores a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobStep {
    /// Finish with this outcome.
    Finish(StoreOutcome),
    /// Send the write again after a pause.
    Retry,
    /// Send the write again, with this marker to be removed, or with none.
    Expect(Option<StoreRevision>),
    /// Refuse the job, with a marker in place of this one.
    Refuse(StoreRevision),
}

/// The write of one job on behalf of one request.
#[derive(Debug, Clone, Copy)]
pub struct JobWrite {
    own: MarkerWriter,
    known: StoreRevision,
    attempts: CallAttempts,
}

impl JobWrite {
    /// Begins the write for a request. `known` is a revision that the store had before the request
    /// arrived.
    pub fn begin(own: MarkerWriter, known: StoreRevision) -> Self {
        Self { own, known, attempts: CallAttempts::default() }
    }

    /// Counts an attempt that is being sent.
    pub fn sent(&mut self) {
        self.attempts.record_send();
    }

    /// Returns the next step after the answer to the last attempt.
    pub fn answered(&mut self, answer: WriteAnswer) -> JobStep {
        match answer {
            WriteAnswer::Stored => JobStep::Finish(StoreOutcome::Stored),
            // The job may be stored, by this request or by an earlier one.
            WriteAnswer::Conflict(None) | WriteAnswer::Unclear => {
                self.attempts.record_outcome(Execution::Unknown);
                JobStep::Retry
            }
            WriteAnswer::Conflict(Some(Found::Job)) => JobStep::Finish(StoreOutcome::Stored),
            WriteAnswer::Conflict(Some(Found::Nothing)) => JobStep::Expect(None),
            WriteAnswer::Conflict(Some(Found::Marker(marker))) => self.found_marker(marker),
            WriteAnswer::NotStored => match self.attempts.record_outcome(Execution::NotDone) {
                Execution::NotDone => JobStep::Finish(StoreOutcome::NotStored),
                Execution::Done | Execution::Unknown => JobStep::Retry,
            },
        }
    }

    /// The host's own marker speaks of no answered refusal. One that was there before the request
    /// arrived belongs to an earlier request of the caller. Any other may belong to a later one,
    /// whose caller was told that the job does not run.
    fn found_marker(&self, marker: Marker) -> JobStep {
        if marker.writer == Some(self.own) || marker.revision <= self.known {
            return JobStep::Expect(Some(marker.revision));
        }
        JobStep::Refuse(marker.revision)
    }

    /// Returns the outcome if the write is given up after a refusal that is not certain, or before
    /// an attempt is sent.
    pub fn given_up(&self) -> StoreOutcome {
        if self.attempts.unanswered() == 0 {
            return StoreOutcome::NotStored;
        }
        StoreOutcome::Unclear
    }
}

/// The next step of a host that stores the marker of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MarkerStep {
    /// Finish with this outcome.
    Finish(MarkerOutcome),
    /// Send the write again, in place of this marker, or where there is none.
    Expect(Option<StoreRevision>),
}

/// The outcome of storing the marker of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MarkerOutcome {
    /// It is stored: the refusal is true.
    Stored,
    /// The job is stored already, and is answered as such.
    JobStored,
    /// It is not certain whether it is stored: the job must not be refused, and may be stored.
    Uncertain,
    /// It is not certain whether it is stored, and a later request may have been refused: the job
    /// must neither be refused nor stored.
    Blocked,
}

/// The write of the marker of one refusal on behalf of one request.
#[derive(Debug, Clone, Copy)]
pub struct MarkerWrite {
    own: MarkerWriter,
    known: StoreRevision,
    blocked: bool,
}

impl MarkerWrite {
    /// Begins the write for a request; `known` as in [`JobWrite::begin`].
    pub fn begin(own: MarkerWriter, known: StoreRevision) -> Self {
        Self { own, known, blocked: false }
    }

    /// Begins the write in place of a marker that may belong to a later request.
    pub fn begin_after_later_refusal(own: MarkerWriter, known: StoreRevision) -> Self {
        Self { own, known, blocked: true }
    }

    /// Returns the next step after the answer to an attempt. Another request's marker is replaced,
    /// so that this refusal lasts for a whole lease, and so that its writer, which may still admit
    /// its own job, cannot remove this one with it.
    pub fn answered(&mut self, answer: WriteAnswer) -> MarkerStep {
        match answer {
            WriteAnswer::Stored => MarkerStep::Finish(MarkerOutcome::Stored),
            WriteAnswer::Conflict(Some(Found::Job)) => MarkerStep::Finish(MarkerOutcome::JobStored),
            WriteAnswer::Conflict(Some(Found::Marker(marker))) => self.found_marker(marker),
            WriteAnswer::Conflict(Some(Found::Nothing)) => MarkerStep::Expect(None),
            WriteAnswer::Conflict(None) | WriteAnswer::NotStored | WriteAnswer::Unclear => {
                MarkerStep::Finish(self.given_up())
            }
        }
    }

    fn found_marker(&mut self, marker: Marker) -> MarkerStep {
        if marker.writer == Some(self.own) {
            return MarkerStep::Finish(MarkerOutcome::Stored);
        }
        self.blocked |= marker.revision > self.known;
        MarkerStep::Expect(Some(marker.revision))
    }

    /// Returns the outcome if no further attempt is made. Once the marker of a later request may
    /// have been replaced by the own one, the own one must not be removed.
    pub fn given_up(&self) -> MarkerOutcome {
        if self.blocked {
            return MarkerOutcome::Blocked;
        }
        MarkerOutcome::Uncertain
    }
}

//! The leader's writes to the store: finds out from the answers which transaction is stored.
//!
//! A commit is a transaction that is conditional on the previous commit. An unanswered attempt to
//! store it may be carried out seconds later, even after a repeated attempt was refused. So a
//! transaction with an unanswered attempt is neither abandoned nor replaced: the same transaction
//! is sent again until its outcome is known. At most one attempt can be carried out, because the
//! first one invalidates the condition of the others, and nothing newer can be written in its
//! place. Each transaction has an identifier of its own, so reading the last identifier shows which
//! transaction is stored. A driver carries out the steps that [`CommitWriter`] returns and passes
//! the answers back.

use gaplock_policy::attempts::{CallAttempts, Execution};

/// The identifier of a commit, which is stored with it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct CommitId {
    /// The number of the leadership (its term).
    pub term: u64,
    /// The number of the transaction within the leadership.
    pub number: u64,
}

/// The store's revision of a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CommitRevision(pub u64);

/// The answer to one attempt to store a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitAnswer {
    /// It is stored.
    Stored(CommitRevision),
    /// The store did not accept it; this attempt will never be carried out.
    Refused,
    /// A condition of the transaction does not hold; this attempt will never be carried out.
    Conflict,
    /// No answer came; the attempt may have been carried out or may be carried out later.
    Silent,
}

/// The result of reading the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreView {
    /// The last stored commit and, if that is the last one known, whether the claim is still valid.
    Last {
        /// Its identifier, if it can be read.
        id: Option<CommitId>,
        /// Its revision.
        revision: CommitRevision,
        /// Whether the leadership is still stored as it was claimed.
        leads: bool,
    },
    /// No answer came.
    Nothing,
}

/// What the driver does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Send the transaction and pass the answer to [`CommitWriter::answered`].
    Send,
    /// Read the last commit and the claim, and pass both to [`CommitWriter::store_read`].
    ReadStore,
    /// Wait a while and call [`CommitWriter::waited`].
    Wait,
    /// Finish: the transaction is stored.
    Stored,
    /// Finish: the transaction is not stored and never will be; its records may be written again in
    /// another one.
    NotStored,
    /// Finish: the leadership has ended, and nothing more is written under it.
    LeadershipOver,
}

/// The writes of one leadership, one transaction at a time.
#[derive(Debug)]
pub struct CommitWriter {
    /// The identifier of the last transaction that was built, whether it is stored or not.
    last_id: CommitId,
    /// The revision of the last commit that is stored.
    last: CommitRevision,
    attempts: CallAttempts,
    /// Whether any attempt met a conflict. A leadership that is still valid cannot cause one by
    /// itself.
    conflict: bool,
}

/// Creates the writer of a leadership whose claim has the identifier `claim_id` and is stored
/// at `last`.
pub fn open(claim_id: CommitId, last: CommitRevision) -> CommitWriter {
    CommitWriter { last_id: claim_id, last, attempts: CallAttempts::default(), conflict: false }
}

impl CommitWriter {
    /// Begins a transaction that is conditional on the last commit, and returns its identifier.
    /// Identifiers count the transactions that were built, so no two of them are the same.
    pub fn begin(&mut self) -> CommitId {
        self.last_id.number += 1;
        self.attempts = CallAttempts::default();
        self.conflict = false;
        self.last_id
    }

    /// Returns the revision of the last commit that is stored.
    pub fn last(&self) -> CommitRevision {
        self.last
    }

    /// Returns the attempts of the transaction so far.
    pub fn attempts(&self) -> CallAttempts {
        self.attempts
    }

    /// Records that an attempt is being sent.
    pub fn sent(&mut self) {
        self.attempts.record_send();
    }

    /// Handles the answer to the last attempt.
    pub fn answered(&mut self, answer: CommitAnswer) -> NextStep {
        let execution = match answer {
            CommitAnswer::Stored(revision) => return self.stored(revision),
            CommitAnswer::Refused | CommitAnswer::Conflict => Execution::NotDone,
            CommitAnswer::Silent => Execution::Unknown,
        };
        self.conflict |= answer == CommitAnswer::Conflict;
        match self.attempts.record_outcome(execution) {
            // The conflict shows that another process may have stored the claim or the last commit.
            Execution::NotDone if !self.conflict => NextStep::NotStored,
            _ => NextStep::ReadStore,
        }
    }

    /// Handles the result of reading the store. If the last commit has neither this transaction's
    /// identifier nor the revision of the last known commit, another leader wrote it: each earlier
    /// transaction is stored as that commit or never will be.
    pub fn store_read(&mut self, view: StoreView) -> NextStep {
        let StoreView::Last { id, revision, leads } = view else { return NextStep::Wait };
        if id == Some(self.last_id) {
            return self.stored(revision);
        }
        if revision != self.last || !leads {
            return NextStep::LeadershipOver;
        }
        NextStep::Wait
    }

    /// Handles the end of a wait. If the store does not answer, the loop ends with the leadership.
    pub fn waited(&self, leads: bool) -> NextStep {
        if leads {
            NextStep::Send
        } else {
            NextStep::LeadershipOver
        }
    }

    fn stored(&mut self, revision: CommitRevision) -> NextStep {
        self.last = revision;
        NextStep::Stored
    }
}

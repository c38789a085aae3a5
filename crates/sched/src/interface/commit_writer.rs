//! The leader's writes to the store: which transaction is stored, by what the answers prove.
//!
//! A commit is a transaction that expects the last one. A try of it without an answer may be
//! carried out seconds later, also after the refusal of a repeat, so a transaction with an open try
//! is neither given up nor replaced: the very same one is sent again until it is known what became
//! of it. At most one try can be carried out, since the first one that is ends what the others
//! expect, and nothing newer can be written in its place. Each transaction bears a mark of its own,
//! so reading the last mark says which one is stored. A driver carries out what [`CommitWriter`] asks for
//! and hands the answers back.

use gaplock_policy::attempts::{CallAttempts, Execution};

/// The stored number of the leadership and of its last commit.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct CommitId {
    /// The leadership.
    pub term: u64,
    /// The transaction within it.
    pub number: u64,
}

/// The store's revision of a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CommitRevision(pub u64);

/// What a try of a transaction was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitAnswer {
    /// It is stored.
    Stored(CommitRevision),
    /// The store did not take it on; this try never will be carried out.
    Refused,
    /// Something that it expects is not so; this try never will be carried out.
    Conflict,
    /// No answer came; it may have been carried out, or may be yet.
    Silent,
}

/// What a look at the store showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreView {
    /// The last commit that is stored, and, where that is the last one known, whether the claim
    /// stands.
    Last {
        /// Its mark, where it can be read.
        mark: Option<CommitId>,
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
    /// Sends the transaction, and hands the answer to [`CommitWriter::answered`].
    Send,
    /// Looks at the last commit and the claim, and hands both to [`CommitWriter::store_read`].
    ReadStore,
    /// Waits a while and calls [`CommitWriter::waited`].
    Wait,
    /// Ends: the transaction is stored.
    Stored,
    /// Ends: the transaction is not stored and never will be; its records may be written anew.
    NotStored,
    /// Ends: the leadership is over, and nothing more is written under it.
    LeadershipOver,
}

/// The writes of one leadership, one transaction at a time.
#[derive(Debug)]
pub struct CommitWriter {
    /// The mark of the last transaction that was built, be it stored or not.
    mark: CommitId,
    /// The last commit that is stored.
    last: CommitRevision,
    attempts: CallAttempts,
    /// Whether any try met a conflict, which a leadership that stands cannot cause by itself.
    conflict: bool,
}

/// Builds the writes of a leadership whose claim bears `mark` and is stored at `last`.
pub fn open(mark: CommitId, last: CommitRevision) -> CommitWriter {
    CommitWriter { mark, last, attempts: CallAttempts::default(), conflict: false }
}

impl CommitWriter {
    /// Begins a transaction that expects the last commit, and returns its mark. Marks count the
    /// transactions that were built, so no two of them ever share one.
    pub fn begin(&mut self) -> CommitId {
        self.mark.number += 1;
        self.attempts = CallAttempts::default();
        self.conflict = false;
        self.mark
    }

    /// Returns the revision of the last commit that is stored.
    pub fn last(&self) -> CommitRevision {
        self.last
    }

    /// Returns the tries of the transaction so far.
    pub fn attempts(&self) -> CallAttempts {
        self.attempts
    }

    /// Takes in that a try is being sent.
    pub fn sent(&mut self) {
        self.attempts.record_send();
    }

    /// Takes in what the last try was answered.
    pub fn answered(&mut self, answer: CommitAnswer) -> NextStep {
        let fate = match answer {
            CommitAnswer::Stored(revision) => return self.stored(revision),
            CommitAnswer::Refused | CommitAnswer::Conflict => Execution::NotDone,
            CommitAnswer::Silent => Execution::Unknown,
        };
        self.conflict |= answer == CommitAnswer::Conflict;
        match self.attempts.record_outcome(fate) {
            // Its conflict says that the claim or the last commit is another's.
            Execution::NotDone if !self.conflict => NextStep::NotStored,
            _ => NextStep::ReadStore,
        }
    }

    /// Takes in a look at the store. A mark other than this transaction's, at another revision than
    /// that of the last commit, is another leader's: each earlier transaction is stored as that
    /// commit or never will be.
    pub fn store_read(&mut self, sight: StoreView) -> NextStep {
        let StoreView::Last { mark, revision, leads } = sight else { return NextStep::Wait };
        if mark == Some(self.mark) {
            return self.stored(revision);
        }
        if revision != self.last || !leads {
            return NextStep::LeadershipOver;
        }
        NextStep::Wait
    }

    /// Takes in that a while has passed; against a silent store the loop ends with the leadership.
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

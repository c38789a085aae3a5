//! What became of something that a caller handed in: a job or a cancellation.
//!
//! A host writes it by its own connection to the store or asks the leader to, or both. Each of
//! these is a try of one call, and what one of them proves says nothing of the other
//! ([`crate::attempts`]). A caller is refused only where it is certain that nothing is stored and
//! nothing ever will be.

/// What became of something handed in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum StoreOutcome {
    /// It is stored.
    Stored,
    /// There is no such job.
    NoSuchJob,
    /// It is not stored and never will be.
    NotStored,
    /// It may be stored, or may be yet.
    Unclear,
}

/// What is known of the leader's part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaderReply {
    /// The leader was not asked, or the question was never sent.
    NotAsked,
    /// The leader was asked and did not answer; it may store what it was asked to.
    Silent,
    /// The leader's answer, which speaks of its own tries only.
    Answered(StoreOutcome),
}

/// Joins what became of it here with what became of it at the leader; the same rule holds for jobs
/// and cancellations. What is stored by either is stored, and a job that either found gone takes no
/// cancellation any more; otherwise it is not stored only if that is certain of both.
pub fn combine(here: StoreOutcome, at_leader: LeaderReply) -> StoreOutcome {
    let there = match at_leader {
        LeaderReply::NotAsked => return here,
        LeaderReply::Silent => StoreOutcome::Unclear,
        LeaderReply::Answered(there) => there,
    };
    let either = |fate| here == fate || there == fate;
    let order = [StoreOutcome::Stored, StoreOutcome::NoSuchJob, StoreOutcome::Unclear];
    order.into_iter().find(|&fate| either(fate)).unwrap_or(StoreOutcome::NotStored)
}

/// How a job is stored now, seen from a cancellation that expected it to be there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoredJob {
    /// It is gone.
    Gone,
    /// It is there as the cancellation expects it.
    AsExpected,
    /// It was forgotten and handed in anew.
    Recreated,
}

/// Tells what became of a cancellation that met a conflict, by what is stored after it. It expects
/// that there is no cancellation yet and that the job is as it was read; the conflict alone does
/// not say which of the two is not so.
pub fn cancel_outcome_after_conflict(cancelled: bool, job: StoredJob) -> StoreOutcome {
    match (cancelled, job) {
        (true, _) => StoreOutcome::Stored,
        (false, StoredJob::Gone) => StoreOutcome::NoSuchJob,
        // No try of it can be carried out any more: revisions never repeat.
        (false, StoredJob::Recreated) => StoreOutcome::NotStored,
        (false, StoredJob::AsExpected) => StoreOutcome::Unclear,
    }
}

//! The outcome of storing what a caller submitted: a job or a cancellation.
//!
//! A host writes it over its own connection to the store, asks the leader to write it, or does
//! both. Each of these is an attempt of one call, and the outcome of one proves nothing about the
//! other ([`crate::attempts`]). A caller is refused only if it is certain that nothing is stored
//! and that nothing ever will be.

/// The outcome of storing a job or a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum StoreOutcome {
    /// It is stored.
    Stored,
    /// There is no such job.
    NoSuchJob,
    /// The job is refused, as the marker of its refusal shows; it is not stored and never will be
    /// by this request.
    Refused,
    /// It is not stored and never will be.
    NotStored,
    /// It may be stored, or may still be stored later.
    Unclear,
}

/// What is known about the leader's attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaderReply {
    /// The leader was not asked, or the request to it was never sent.
    NotAsked,
    /// The leader was asked and did not answer; it may store what it was asked to.
    Silent,
    /// The leader's answer, which covers only its own attempts.
    Answered(StoreOutcome),
}

/// Combines this host's outcome with the leader's; the same rule holds for jobs and cancellations.
/// What either of them stored is stored. If either found that the job is gone, it can no longer be
/// cancelled. If the leader refused it, its marker keeps this host's attempts from being carried
/// out, also those without an answer. Otherwise the outcome is `NotStored` only if both of them are certain of that.
pub fn combine(here: StoreOutcome, at_leader: LeaderReply) -> StoreOutcome {
    let there = match at_leader {
        LeaderReply::NotAsked => return here,
        LeaderReply::Silent => StoreOutcome::Unclear,
        LeaderReply::Answered(there) => there,
    };
    let either = |outcome| here == outcome || there == outcome;
    let precedence = [
        StoreOutcome::Stored,
        StoreOutcome::NoSuchJob,
        StoreOutcome::Refused,
        StoreOutcome::Unclear,
    ];
    precedence.into_iter().find(|&outcome| either(outcome)).unwrap_or(StoreOutcome::NotStored)
}

/// How a job is stored now, compared with what a cancellation expected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoredJob {
    /// It is no longer stored.
    Gone,
    /// It is stored as the cancellation expects it.
    AsExpected,
    /// It was removed and submitted again.
    Recreated,
}

/// Returns the outcome of a cancellation whose write met a conflict, by what is stored after it.
/// The write expects that there is no cancellation yet and that the job is unchanged since it was
/// read; the conflict alone does not say which of the two expectations failed.
pub fn cancel_outcome_after_conflict(cancelled: bool, job: StoredJob) -> StoreOutcome {
    match (cancelled, job) {
        (true, _) => StoreOutcome::Stored,
        (false, StoredJob::Gone) => StoreOutcome::NoSuchJob,
        // No attempt of it can still be carried out: revisions never repeat.
        (false, StoredJob::Recreated) => StoreOutcome::NotStored,
        (false, StoredJob::AsExpected) => StoreOutcome::Unclear,
    }
}

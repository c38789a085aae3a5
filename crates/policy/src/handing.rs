//! What became of something that a caller handed in: a job or a cancellation.
//!
//! A host writes it by its own connection to the store or asks the leader to, or both. Each of
//! these is a try of one call, and what one of them proves says nothing of the other
//! ([`crate::tries`]). A caller is refused only where it is certain that nothing is stored and
//! nothing ever will be.

/// What became of something handed in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Handed {
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
pub enum AtLeader {
    /// The leader was not asked, or the question was never sent.
    NotAsked,
    /// The leader was asked and did not answer; it may store what it was asked to.
    Silent,
    /// The leader's answer, which speaks of its own tries only.
    Answered(Handed),
}

/// Joins what became of it here with what became of it at the leader; the same rule holds for jobs
/// and cancellations. What is stored by either is stored, and a job that either found gone takes no
/// cancellation any more; otherwise it is not stored only if that is certain of both.
pub fn join(here: Handed, at_leader: AtLeader) -> Handed {
    let there = match at_leader {
        AtLeader::NotAsked => return here,
        AtLeader::Silent => Handed::Unclear,
        AtLeader::Answered(there) => there,
    };
    let either = |fate| here == fate || there == fate;
    let order = [Handed::Stored, Handed::NoSuchJob, Handed::Unclear];
    order.into_iter().find(|&fate| either(fate)).unwrap_or(Handed::NotStored)
}

/// How a job is stored now, seen from a cancellation that expected it to be there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobNow {
    /// It is gone.
    Gone,
    /// It is there as the cancellation expects it.
    AsExpected,
    /// It was forgotten and handed in anew.
    Anew,
}

/// Tells what became of a cancellation that met a conflict, by what is stored after it. It expects
/// that there is no cancellation yet and that the job is as it was read; the conflict alone does
/// not say which of the two is not so.
pub fn cancel_after_conflict(cancelled: bool, job: JobNow) -> Handed {
    match (cancelled, job) {
        (true, _) => Handed::Stored,
        (false, JobNow::Gone) => Handed::NoSuchJob,
        // No try of it can be carried out any more: revisions never repeat.
        (false, JobNow::Anew) => Handed::NotStored,
        (false, JobNow::AsExpected) => Handed::Unclear,
    }
}

//! What the commit writer concludes from the store's answers to the leader's commits.
//!
//! These tests guard against a commit that is mistaken for another one
//! (`docs/incidents/twice-after-late-call.md`). A commit got no answer, was sent again, and the
//! repeat was refused. The refusal of the repeat was taken for the outcome of the commit, although
//! the first attempt could still be carried out. The next commit had other records but the same
//! commit ID, so when the store carried out the first attempt late, its ID was taken for that of
//! the newer commit. Now a transaction with an unanswered attempt is repeated until it is known
//! whether it was carried out, and no two transactions share an ID.

use gaplock_sched::commit_writer::{
    self, CommitAnswer, CommitId, CommitRevision, CommitWriter, NextStep, StoreView,
};

/// The ID of the claim, which precedes all commits of the leadership.
const CLAIM: CommitId = CommitId { term: 7, number: 0 };
/// The store's revision of the claim.
const CLAIMED: CommitRevision = CommitRevision(100);
/// The store's revision of the commit under test.
const LATER: CommitRevision = CommitRevision(105);

/// Returns a writer that has begun its first commit, and the ID of that commit.
fn writer_with_commit() -> (CommitWriter, CommitId) {
    let mut writer = commit_writer::open(CLAIM, CLAIMED);
    let commit = writer.begin();
    (writer, commit)
}

/// Records an attempt and its answer, and returns the writer's next step.
fn send(writer: &mut CommitWriter, answer: CommitAnswer) -> NextStep {
    writer.sent();
    writer.answered(answer)
}

/// Returns what reading the store shows when `commit` is the last one.
fn last(commit: CommitId, revision: CommitRevision, leads: bool) -> StoreView {
    StoreView::Last { id: Some(commit), revision, leads }
}

#[test]
fn the_next_commit_expects_the_revision_of_a_stored_one() {
    let (mut writer, commit) = writer_with_commit();
    assert_eq!(commit, CommitId { term: 7, number: 1 });
    assert_eq!(writer.last(), CLAIMED);
    assert_eq!(send(&mut writer, CommitAnswer::Stored(LATER)), NextStep::Stored);
    assert_eq!(writer.last(), LATER);
}

#[test]
fn a_refused_commit_is_not_stored_and_its_id_is_never_used_again() {
    let (mut writer, first) = writer_with_commit();
    assert_eq!(send(&mut writer, CommitAnswer::Refused), NextStep::NotStored);
    let second = writer.begin();
    assert!(second > first, "two transactions share an ID: {first:?} and {second:?}");
    assert_eq!(writer.last(), CLAIMED);
}

#[test]
fn the_refusal_of_a_repeat_does_not_end_a_commit_with_an_unanswered_attempt() {
    let (mut writer, commit) = writer_with_commit();
    assert_eq!(send(&mut writer, CommitAnswer::Silent), NextStep::ReadStore);
    assert_eq!(writer.store_read(last(CLAIM, CLAIMED, true)), NextStep::Wait);
    for _ in 0..30 {
        assert_eq!(writer.waited(true), NextStep::Send);
        assert_eq!(send(&mut writer, CommitAnswer::Refused), NextStep::ReadStore);
        assert_eq!(writer.store_read(last(CLAIM, CLAIMED, true)), NextStep::Wait);
    }
    // The store carries out the first attempt now.
    assert_eq!(writer.waited(true), NextStep::Send);
    assert_eq!(send(&mut writer, CommitAnswer::Conflict), NextStep::ReadStore);
    assert_eq!(writer.store_read(last(commit, LATER, true)), NextStep::Stored);
    assert_eq!(writer.last(), LATER);
}

#[test]
fn a_commit_without_an_answer_may_be_stored_by_its_repeat() {
    let (mut writer, _) = writer_with_commit();
    assert_eq!(send(&mut writer, CommitAnswer::Silent), NextStep::ReadStore);
    assert_eq!(writer.store_read(StoreView::Nothing), NextStep::Wait);
    assert_eq!(writer.waited(true), NextStep::Send);
    assert_eq!(send(&mut writer, CommitAnswer::Stored(LATER)), NextStep::Stored);
}

#[test]
fn unanswered_attempts_of_a_commit_do_not_count_for_the_next_one() {
    let (mut writer, _) = writer_with_commit();
    send(&mut writer, CommitAnswer::Silent);
    writer.store_read(StoreView::Nothing);
    send(&mut writer, CommitAnswer::Stored(LATER));
    writer.begin();
    assert_eq!(send(&mut writer, CommitAnswer::Refused), NextStep::NotStored);
}

#[test]
fn the_id_of_another_commit_is_never_taken_for_this_one() {
    let (mut writer, commit) = writer_with_commit();
    send(&mut writer, CommitAnswer::Silent);
    let earlier = CommitId { number: commit.number - 1, ..commit };
    assert_eq!(writer.store_read(last(earlier, CLAIMED, true)), NextStep::Wait);
    let successor = CommitId { term: 8, number: commit.number };
    assert_eq!(writer.store_read(last(successor, LATER, false)), NextStep::LeadershipOver);
}

#[test]
fn an_unreadable_id_at_another_revision_ends_the_leadership() {
    let (mut writer, _) = writer_with_commit();
    send(&mut writer, CommitAnswer::Conflict);
    let view = StoreView::Last { id: None, revision: LATER, leads: false };
    assert_eq!(writer.store_read(view), NextStep::LeadershipOver);
}

#[test]
fn a_conflict_ends_the_leadership_if_the_claim_is_no_longer_stored() {
    let (mut writer, _) = writer_with_commit();
    assert_eq!(send(&mut writer, CommitAnswer::Conflict), NextStep::ReadStore);
    assert_eq!(writer.store_read(last(CLAIM, CLAIMED, false)), NextStep::LeadershipOver);
}

#[test]
fn a_commit_stored_before_the_claim_was_removed_counts_as_stored() {
    let (mut writer, commit) = writer_with_commit();
    send(&mut writer, CommitAnswer::Silent);
    assert_eq!(writer.store_read(last(commit, LATER, false)), NextStep::Stored);
}

#[test]
fn attempts_at_a_store_that_does_not_answer_end_with_the_leadership() {
    let (mut writer, _) = writer_with_commit();
    assert_eq!(send(&mut writer, CommitAnswer::Silent), NextStep::ReadStore);
    assert_eq!(writer.store_read(StoreView::Nothing), NextStep::Wait);
    assert_eq!(writer.waited(false), NextStep::LeadershipOver);
}

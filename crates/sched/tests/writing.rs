//! What becomes of the leader's writes, by the answers of the store.
//!
//! Seen: a commit without an answer was sent again and refused, the next one bore the same mark
//! with other records, and when the first was carried out late, its mark was taken for the newer
//! one's. Cause: an answer to a repeated call was taken for the fate of the call. Proved by the
//! logs of days played again (`docs/incidents/twice-after-late-call.md`). Now a transaction with an
//! open try is repeated until its fate is known, and no two ever share a mark.

use gaplock_sched::commit_writer::{
    self, CommitAnswer, CommitId, CommitRevision, CommitWriter, NextStep, StoreView,
};

const CLAIM: CommitId = CommitId { term: 7, number: 0 };
const CLAIMED: CommitRevision = CommitRevision(100);
const LATER: CommitRevision = CommitRevision(105);

fn begun() -> (CommitWriter, CommitId) {
    let mut writer = commit_writer::open(CLAIM, CLAIMED);
    let mark = writer.begin();
    (writer, mark)
}

/// Sends a try and hands in its answer.
fn send(writer: &mut CommitWriter, answer: CommitAnswer) -> NextStep {
    writer.sent();
    writer.answered(answer)
}

fn last(mark: CommitId, revision: CommitRevision, leads: bool) -> StoreView {
    StoreView::Last { mark: Some(mark), revision, leads }
}

#[test]
fn a_stored_commit_is_what_the_next_one_expects() {
    let (mut writer, mark) = begun();
    assert_eq!(mark, CommitId { term: 7, number: 1 });
    assert_eq!(writer.last(), CLAIMED);
    assert_eq!(send(&mut writer, CommitAnswer::Stored(LATER)), NextStep::Stored);
    assert_eq!(writer.last(), LATER);
}

#[test]
fn a_refused_commit_is_not_stored_and_its_mark_is_never_used_again() {
    let (mut writer, first) = begun();
    assert_eq!(send(&mut writer, CommitAnswer::Refused), NextStep::NotStored);
    let second = writer.begin();
    assert!(second > first, "two transactions share a mark");
    assert_eq!(writer.last(), CLAIMED);
}

#[test]
fn a_refused_repeat_does_not_give_up_a_commit_without_an_answer() {
    let (mut writer, mark) = begun();
    assert_eq!(send(&mut writer, CommitAnswer::Silent), NextStep::ReadStore);
    assert_eq!(writer.store_read(last(CLAIM, CLAIMED, true)), NextStep::Wait);
    for _ in 0..30 {
        assert_eq!(writer.waited(true), NextStep::Send);
        assert_eq!(send(&mut writer, CommitAnswer::Refused), NextStep::ReadStore);
        assert_eq!(writer.store_read(last(CLAIM, CLAIMED, true)), NextStep::Wait);
    }
    // The first try is carried out now.
    assert_eq!(writer.waited(true), NextStep::Send);
    assert_eq!(send(&mut writer, CommitAnswer::Conflict), NextStep::ReadStore);
    assert_eq!(writer.store_read(last(mark, LATER, true)), NextStep::Stored);
    assert_eq!(writer.last(), LATER);
}

#[test]
fn a_commit_without_an_answer_may_be_stored_by_its_repeat() {
    let (mut writer, _) = begun();
    assert_eq!(send(&mut writer, CommitAnswer::Silent), NextStep::ReadStore);
    assert_eq!(writer.store_read(StoreView::Nothing), NextStep::Wait);
    assert_eq!(writer.waited(true), NextStep::Send);
    assert_eq!(send(&mut writer, CommitAnswer::Stored(LATER)), NextStep::Stored);
}

#[test]
fn open_tries_of_a_commit_do_not_outlast_it() {
    let (mut writer, _) = begun();
    send(&mut writer, CommitAnswer::Silent);
    writer.store_read(StoreView::Nothing);
    send(&mut writer, CommitAnswer::Stored(LATER));
    writer.begin();
    assert_eq!(send(&mut writer, CommitAnswer::Refused), NextStep::NotStored);
}

#[test]
fn the_mark_of_another_commit_is_never_taken_for_this_one() {
    let (mut writer, mark) = begun();
    send(&mut writer, CommitAnswer::Silent);
    let earlier = CommitId { number: mark.number - 1, ..mark };
    assert_eq!(writer.store_read(last(earlier, CLAIMED, true)), NextStep::Wait);
    let successor = CommitId { term: 8, number: mark.number };
    assert_eq!(writer.store_read(last(successor, LATER, false)), NextStep::LeadershipOver);
}

#[test]
fn a_malformed_mark_at_another_revision_ends_the_leadership() {
    let (mut writer, _) = begun();
    send(&mut writer, CommitAnswer::Conflict);
    let sight = StoreView::Last { mark: None, revision: LATER, leads: false };
    assert_eq!(writer.store_read(sight), NextStep::LeadershipOver);
}

#[test]
fn a_conflict_ends_the_leadership_where_the_claim_is_gone() {
    let (mut writer, _) = begun();
    assert_eq!(send(&mut writer, CommitAnswer::Conflict), NextStep::ReadStore);
    assert_eq!(writer.store_read(last(CLAIM, CLAIMED, false)), NextStep::LeadershipOver);
}

#[test]
fn a_commit_stored_before_the_claim_went_counts_as_stored() {
    let (mut writer, mark) = begun();
    send(&mut writer, CommitAnswer::Silent);
    assert_eq!(writer.store_read(last(mark, LATER, false)), NextStep::Stored);
}

#[test]
fn a_silent_store_is_asked_no_longer_than_the_leadership_lasts() {
    let (mut writer, _) = begun();
    assert_eq!(send(&mut writer, CommitAnswer::Silent), NextStep::ReadStore);
    assert_eq!(writer.store_read(StoreView::Nothing), NextStep::Wait);
    assert_eq!(writer.waited(false), NextStep::LeadershipOver);
}

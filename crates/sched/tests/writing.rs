//! What becomes of the leader's writes, by the answers of the store.
//!
//! Seen: a commit without an answer was sent again and refused, the next one bore the same mark
//! with other records, and when the first was carried out late, its mark was taken for the newer
//! one's. Cause: an answer to a repeated call was taken for the fate of the call. Proved by the
//! logs of days played again (`docs/incidents/twice-after-late-call.md`). Now a transaction with an
//! open try is repeated until its fate is known, and no two ever share a mark.

use gaplock_sched::writing::{self, Answer, CommitMark, CommitRevision, Next, Sight, Writer};

const CLAIM: CommitMark = CommitMark { term: 7, number: 0 };
const CLAIMED: CommitRevision = CommitRevision(100);
const LATER: CommitRevision = CommitRevision(105);

fn begun() -> (Writer, CommitMark) {
    let mut writer = writing::open(CLAIM, CLAIMED);
    let mark = writer.begin();
    (writer, mark)
}

/// Sends a try and hands in its answer.
fn send(writer: &mut Writer, answer: Answer) -> Next {
    writer.sent();
    writer.answered(answer)
}

fn last(mark: CommitMark, revision: CommitRevision, leads: bool) -> Sight {
    Sight::Last { mark: Some(mark), revision, leads }
}

#[test]
fn a_stored_commit_is_what_the_next_one_expects() {
    let (mut writer, mark) = begun();
    assert_eq!(mark, CommitMark { term: 7, number: 1 });
    assert_eq!(writer.last(), CLAIMED);
    assert_eq!(send(&mut writer, Answer::Stored(LATER)), Next::Stored);
    assert_eq!(writer.last(), LATER);
}

#[test]
fn a_refused_commit_is_not_stored_and_its_mark_is_never_used_again() {
    let (mut writer, first) = begun();
    assert_eq!(send(&mut writer, Answer::Refused), Next::NotStored);
    let second = writer.begin();
    assert!(second > first, "two transactions share a mark");
    assert_eq!(writer.last(), CLAIMED);
}

#[test]
fn a_refused_repeat_does_not_give_up_a_commit_without_an_answer() {
    let (mut writer, mark) = begun();
    assert_eq!(send(&mut writer, Answer::Silent), Next::Look);
    assert_eq!(writer.looked(last(CLAIM, CLAIMED, true)), Next::Wait);
    for _ in 0..30 {
        assert_eq!(writer.waited(true), Next::Send);
        assert_eq!(send(&mut writer, Answer::Refused), Next::Look);
        assert_eq!(writer.looked(last(CLAIM, CLAIMED, true)), Next::Wait);
    }
    // The first try is carried out now.
    assert_eq!(writer.waited(true), Next::Send);
    assert_eq!(send(&mut writer, Answer::Conflict), Next::Look);
    assert_eq!(writer.looked(last(mark, LATER, true)), Next::Stored);
    assert_eq!(writer.last(), LATER);
}

#[test]
fn a_commit_without_an_answer_may_be_stored_by_its_repeat() {
    let (mut writer, _) = begun();
    assert_eq!(send(&mut writer, Answer::Silent), Next::Look);
    assert_eq!(writer.looked(Sight::Nothing), Next::Wait);
    assert_eq!(writer.waited(true), Next::Send);
    assert_eq!(send(&mut writer, Answer::Stored(LATER)), Next::Stored);
}

#[test]
fn open_tries_of_a_commit_do_not_outlast_it() {
    let (mut writer, _) = begun();
    send(&mut writer, Answer::Silent);
    writer.looked(Sight::Nothing);
    send(&mut writer, Answer::Stored(LATER));
    writer.begin();
    assert_eq!(send(&mut writer, Answer::Refused), Next::NotStored);
}

#[test]
fn the_mark_of_another_commit_is_never_taken_for_this_one() {
    let (mut writer, mark) = begun();
    send(&mut writer, Answer::Silent);
    let earlier = CommitMark { number: mark.number - 1, ..mark };
    assert_eq!(writer.looked(last(earlier, CLAIMED, true)), Next::Wait);
    let successor = CommitMark { term: 8, number: mark.number };
    assert_eq!(writer.looked(last(successor, LATER, false)), Next::Over);
}

#[test]
fn a_malformed_mark_at_another_revision_ends_the_leadership() {
    let (mut writer, _) = begun();
    send(&mut writer, Answer::Conflict);
    let sight = Sight::Last { mark: None, revision: LATER, leads: false };
    assert_eq!(writer.looked(sight), Next::Over);
}

#[test]
fn a_conflict_ends_the_leadership_where_the_claim_is_gone() {
    let (mut writer, _) = begun();
    assert_eq!(send(&mut writer, Answer::Conflict), Next::Look);
    assert_eq!(writer.looked(last(CLAIM, CLAIMED, false)), Next::Over);
}

#[test]
fn a_commit_stored_before_the_claim_went_counts_as_stored() {
    let (mut writer, mark) = begun();
    send(&mut writer, Answer::Silent);
    assert_eq!(writer.looked(last(mark, LATER, false)), Next::Stored);
}

#[test]
fn a_silent_store_is_asked_no_longer_than_the_leadership_lasts() {
    let (mut writer, _) = begun();
    assert_eq!(send(&mut writer, Answer::Silent), Next::Look);
    assert_eq!(writer.looked(Sight::Nothing), Next::Wait);
    assert_eq!(writer.waited(false), Next::Over);
}

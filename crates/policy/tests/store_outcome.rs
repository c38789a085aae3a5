//! Tests the outcome that callers get for jobs and cancellations, by the outcomes on this host and
//! at the leader.
//!
//! Guards against two faults that were found by reading the code, not in a run. A cancellation that
//! was not stored by this host was refused although the leader, which was asked to store it, had not
//! answered. A cancellation that may have been stored by this host was refused because the leader's
//! own attempt was refused. In both cases the answer to one attempt was taken for the outcome of
//! both.

use gaplock_policy::store_outcome::{self, LeaderReply, StoreOutcome, StoredJob};
use StoreOutcome::{NoSuchJob, NotStored, Stored, Unclear};

const ALL: [StoreOutcome; 4] = [Stored, NoSuchJob, NotStored, Unclear];

/// The outcome on this host, the outcome at the leader, and the outcome that the caller gets.
const TABLE: [(StoreOutcome, StoreOutcome, StoreOutcome); 16] = [
    (Stored, Stored, Stored),
    (Stored, NoSuchJob, Stored),
    (Stored, NotStored, Stored),
    (Stored, Unclear, Stored),
    (NoSuchJob, Stored, Stored),
    (NoSuchJob, NoSuchJob, NoSuchJob),
    (NoSuchJob, NotStored, NoSuchJob),
    (NoSuchJob, Unclear, NoSuchJob),
    (NotStored, Stored, Stored),
    (NotStored, NoSuchJob, NoSuchJob),
    (NotStored, NotStored, NotStored),
    (NotStored, Unclear, Unclear),
    (Unclear, Stored, Stored),
    (Unclear, NoSuchJob, NoSuchJob),
    (Unclear, NotStored, Unclear),
    (Unclear, Unclear, Unclear),
];

#[test]
fn both_outcomes_are_combined_by_one_rule() {
    for (here, there, expected) in TABLE {
        let combined = store_outcome::combine(here, LeaderReply::Answered(there));
        assert_eq!(combined, expected, "{here:?} here and {there:?} at the leader");
    }
}

#[test]
fn a_silent_leader_counts_as_unclear() {
    for here in ALL {
        let silent = store_outcome::combine(here, LeaderReply::Silent);
        assert_eq!(
            silent,
            store_outcome::combine(here, LeaderReply::Answered(Unclear)),
            "{here:?} here"
        );
    }
}

#[test]
fn a_leader_that_was_not_asked_changes_nothing() {
    for here in ALL {
        assert_eq!(store_outcome::combine(here, LeaderReply::NotAsked), here);
    }
}

#[test]
fn a_refusal_needs_certainty_on_both_sides() {
    for here in ALL {
        for there in ALL {
            let refused = store_outcome::combine(here, LeaderReply::Answered(there)) == NotStored;
            assert_eq!(refused, here == NotStored && there == NotStored);
        }
    }
}

#[test]
fn the_outcome_of_a_conflicting_cancellation_follows_from_what_is_stored() {
    for job in [StoredJob::Gone, StoredJob::AsExpected, StoredJob::Recreated] {
        assert_eq!(store_outcome::cancel_outcome_after_conflict(true, job), Stored);
    }
    assert_eq!(store_outcome::cancel_outcome_after_conflict(false, StoredJob::Gone), NoSuchJob);
    assert_eq!(
        store_outcome::cancel_outcome_after_conflict(false, StoredJob::Recreated),
        NotStored
    );
    assert_eq!(store_outcome::cancel_outcome_after_conflict(false, StoredJob::AsExpected), Unclear);
}

//! What a stored leadership claim proves about an attempt to claim that got no answer.
//!
//! These tests guard against two attempts that write equal records under different leases: an
//! earlier attempt that the store carries out late would be mistaken for the later one, and the
//! lease of the stored claim would expire because nobody renews it.

use gaplock_policy::attempts::Execution;
use gaplock_sched::claims::{self, LeaderRecord};
use gaplock_types::ids;

fn claim_of(host: &str, incarnation: u64, lease: u64) -> LeaderRecord {
    LeaderRecord {
        host: ids::EntryId(host.into()),
        addr: "127.0.0.1:9".into(),
        incarnation: ids::Incarnation(incarnation),
        term: 4,
        lease,
    }
}

#[test]
fn an_attempt_is_confirmed_only_by_a_claim_with_its_own_lease() {
    let sent = claim_of("a", 1, 31);
    assert_eq!(claims::execution_of_unanswered(&sent, &sent.clone()), Execution::Done);
    assert_eq!(
        claims::execution_of_unanswered(&sent, &claim_of("a", 1, 30)),
        Execution::Unknown,
        "the stored claim was made by an earlier attempt of the same process, under another lease"
    );
    assert_eq!(
        claims::execution_of_unanswered(&sent, &claim_of("b", 1, 31)),
        Execution::Unknown,
        "the stored claim was made by another host"
    );
}

#[test]
fn attempts_of_one_process_are_recognized_as_its_own() {
    let me = claim_of("a", 1, 0);
    assert!(claim_of("a", 1, 30).is_same_process(&me));
    assert!(
        !claim_of("a", 2, 30).is_same_process(&me),
        "a previous incarnation of the host counts as the same process"
    );
    assert!(!claim_of("b", 1, 30).is_same_process(&me));
}

#[test]
fn records_without_a_lease_are_read() {
    let current =
        serde_json::to_value(claim_of("a", 1, 31)).expect("a leader record serializes to JSON");
    let mut earlier = current.clone();
    earlier.as_object_mut().expect("a leader record serializes to an object").remove("lease");
    let read: LeaderRecord = serde_json::from_value(earlier)
        .expect("records of earlier versions, which have no lease, are readable");
    assert_eq!(read, claim_of("a", 1, 0));
    let read: LeaderRecord =
        serde_json::from_value(current).expect("a leader record deserializes from its own JSON");
    assert_eq!(read, claim_of("a", 1, 31));
}

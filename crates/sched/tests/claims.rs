//! What a stored claim says of a try of a claim that got no answer.
//!
//! Found by reading, not seen on a run: two tries of a claim wrote equal records under different
//! leases, so an earlier try that was carried out late would have been taken for the later one, and
//! its lease left to end.

use gaplock_policy::attempts::Execution;
use gaplock_sched::claims::{self, LeaderRecord};
use gaplock_types::ids;

fn try_of(host: &str, incarnation: u64, lease: u64) -> LeaderRecord {
    LeaderRecord {
        host: ids::EntryId(host.into()),
        addr: "127.0.0.1:9".into(),
        incarnation: ids::Incarnation(incarnation),
        term: 4,
        lease,
    }
}

#[test]
fn a_try_is_known_by_its_own_lease_only() {
    let sent = try_of("a", 1, 31);
    assert_eq!(claims::execution_of_unanswered(&sent, &sent.clone()), Execution::Done);
    assert_eq!(
        claims::execution_of_unanswered(&sent, &try_of("a", 1, 30)),
        Execution::Unknown,
        "an earlier try"
    );
    assert_eq!(
        claims::execution_of_unanswered(&sent, &try_of("b", 1, 31)),
        Execution::Unknown,
        "another host"
    );
}

#[test]
fn tries_of_one_process_are_known_as_its_own() {
    let me = try_of("a", 1, 0);
    assert!(try_of("a", 1, 30).is_same_process(&me));
    assert!(!try_of("a", 2, 30).is_same_process(&me), "a former process of the host");
    assert!(!try_of("b", 1, 30).is_same_process(&me));
}

#[test]
fn records_of_earlier_versions_are_read() {
    let text = serde_json::to_value(try_of("a", 1, 31)).expect("plain data");
    let mut earlier = text.clone();
    earlier.as_object_mut().expect("a record").remove("lease");
    let read: LeaderRecord = serde_json::from_value(earlier).expect("a record without a lease");
    assert_eq!(read, try_of("a", 1, 0));
    let read: LeaderRecord = serde_json::from_value(text).expect("a record with a lease");
    assert_eq!(read, try_of("a", 1, 31));
}

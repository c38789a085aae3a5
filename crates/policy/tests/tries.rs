//! What the answers to a repeated call prove.

use gaplock_policy::attempts::{CallAttempts, Execution};

/// Sends a try for each of these fates and returns what became of the call after each.
fn settle(fates: &[Execution]) -> Vec<Execution> {
    let mut tries = CallAttempts::default();
    let one = |&last: &Execution| {
        tries.record_send();
        tries.record_outcome(last)
    };
    fates.iter().map(one).collect()
}

#[test]
fn a_refusal_settles_a_call_whose_tries_were_all_answered() {
    assert_eq!(settle(&[Execution::NotDone]), [Execution::NotDone]);
    assert_eq!(
        settle(&[Execution::NotDone, Execution::NotDone]),
        [Execution::NotDone, Execution::NotDone]
    );
}

#[test]
fn a_refusal_says_nothing_of_a_try_without_an_answer() {
    assert_eq!(
        settle(&[Execution::Unknown, Execution::NotDone]),
        [Execution::Unknown, Execution::Unknown]
    );
    let later =
        settle(&[Execution::Unknown, Execution::NotDone, Execution::NotDone, Execution::NotDone]);
    assert_eq!(later.last(), Some(&Execution::Unknown));
}

#[test]
fn a_call_is_done_once_one_try_is() {
    assert_eq!(
        settle(&[Execution::Unknown, Execution::Done]),
        [Execution::Unknown, Execution::Done]
    );
    assert_eq!(
        settle(&[Execution::NotDone, Execution::Done]),
        [Execution::NotDone, Execution::Done]
    );
}

#[test]
fn tries_and_open_ones_are_counted() {
    let mut tries = CallAttempts::default();
    for last in [Execution::Unknown, Execution::NotDone, Execution::Unknown] {
        tries.record_send();
        tries.record_outcome(last);
    }
    assert_eq!((tries.sent(), tries.unanswered()), (3, 2));
}

//! Tests what the answers to a repeated call prove.

use gaplock_policy::attempts::{CallAttempts, Execution};

/// Sends an attempt for each of these outcomes and returns the outcome of the call after each.
fn call_outcomes(attempts: &[Execution]) -> Vec<Execution> {
    let mut call = CallAttempts::default();
    let one = |&last: &Execution| {
        call.record_send();
        call.record_outcome(last)
    };
    attempts.iter().map(one).collect()
}

#[test]
fn a_refusal_decides_a_call_whose_attempts_were_all_answered() {
    assert_eq!(call_outcomes(&[Execution::NotDone]), [Execution::NotDone]);
    assert_eq!(
        call_outcomes(&[Execution::NotDone, Execution::NotDone]),
        [Execution::NotDone, Execution::NotDone]
    );
}

#[test]
fn a_refusal_says_nothing_about_an_unanswered_attempt() {
    assert_eq!(
        call_outcomes(&[Execution::Unknown, Execution::NotDone]),
        [Execution::Unknown, Execution::Unknown]
    );
    let later = call_outcomes(&[
        Execution::Unknown,
        Execution::NotDone,
        Execution::NotDone,
        Execution::NotDone,
    ]);
    assert_eq!(later.last(), Some(&Execution::Unknown));
}

#[test]
fn a_call_is_done_once_one_attempt_is() {
    assert_eq!(
        call_outcomes(&[Execution::Unknown, Execution::Done]),
        [Execution::Unknown, Execution::Done]
    );
    assert_eq!(
        call_outcomes(&[Execution::NotDone, Execution::Done]),
        [Execution::NotDone, Execution::Done]
    );
}

#[test]
fn attempts_and_unanswered_ones_are_counted() {
    let mut call = CallAttempts::default();
    for last in [Execution::Unknown, Execution::NotDone, Execution::Unknown] {
        call.record_send();
        call.record_outcome(last);
    }
    assert_eq!((call.sent(), call.unanswered()), (3, 2));
}

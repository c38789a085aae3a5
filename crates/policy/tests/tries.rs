//! What the answers to a repeated call prove.

use gaplock_policy::tries::{Fate, Tries};

/// Sends a try for each of these fates and returns what became of the call after each.
fn settle(fates: &[Fate]) -> Vec<Fate> {
    let mut tries = Tries::default();
    let one = |&last: &Fate| {
        tries.send();
        tries.settle(last)
    };
    fates.iter().map(one).collect()
}

#[test]
fn a_refusal_settles_a_call_whose_tries_were_all_answered() {
    assert_eq!(settle(&[Fate::NotDone]), [Fate::NotDone]);
    assert_eq!(settle(&[Fate::NotDone, Fate::NotDone]), [Fate::NotDone, Fate::NotDone]);
}

#[test]
fn a_refusal_says_nothing_of_a_try_without_an_answer() {
    assert_eq!(settle(&[Fate::Unknown, Fate::NotDone]), [Fate::Unknown, Fate::Unknown]);
    let later = settle(&[Fate::Unknown, Fate::NotDone, Fate::NotDone, Fate::NotDone]);
    assert_eq!(later.last(), Some(&Fate::Unknown));
}

#[test]
fn a_call_is_done_once_one_try_is() {
    assert_eq!(settle(&[Fate::Unknown, Fate::Done]), [Fate::Unknown, Fate::Done]);
    assert_eq!(settle(&[Fate::NotDone, Fate::Done]), [Fate::NotDone, Fate::Done]);
}

#[test]
fn tries_and_open_ones_are_counted() {
    let mut tries = Tries::default();
    for last in [Fate::Unknown, Fate::NotDone, Fate::Unknown] {
        tries.send();
        tries.settle(last);
    }
    assert_eq!((tries.sent(), tries.open()), (3, 2));
}

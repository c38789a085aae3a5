//! How long the leader waits for answers, by how long they took recently.

use gaplock_sched::answer_times::AnswerTimes;
use gaplock_types::time::{Instant, Millis};

#[test]
fn the_first_calls_and_calls_to_slow_workers_get_the_longest_time() {
    let mut times = AnswerTimes::default();
    let now = Instant(10_000);
    assert_eq!(times.order_timeout(now, 1), Millis(400));
    assert_eq!(times.renewal_margin(now), Millis(500));
    times.record(now, Millis(2));
    assert_eq!(times.order_timeout(now, 1), Millis(100));
    assert_eq!(times.renewal_margin(now), Millis(200));
    times.record(now, Millis(90));
    assert_eq!(times.order_timeout(now, 1), Millis(360));
    times.record(now, Millis(2));
    assert_eq!(times.order_timeout(now, 1), Millis(360), "a slow answer counts for a while");
    assert_eq!(times.order_timeout(now + Millis(5_000), 1), Millis(100));
}

/// Guards against a busy leader that takes its own delay for lost answers: it would send more calls and
/// never learn how long answers take.
#[test]
fn repeats_wait_longer_so_that_slower_answers_are_learned() {
    let mut times = AnswerTimes::default();
    let now = Instant(10_000);
    times.record(now, Millis(2));
    let waits: Vec<u64> = (1..=4).map(|attempt| times.order_timeout(now, attempt).0).collect();
    assert_eq!(waits, [100, 200, 400, 400]);
    times.record(now, Millis(150));
    assert_eq!(times.order_timeout(now, 1), Millis(400));
}

#[test]
fn answers_count_as_lost_while_many_workers_miss_some() {
    let mut times = AnswerTimes::default();
    let at = |ms: u64| Instant(10_000 + ms);
    assert!(!times.are_lost(at(0), 100));
    for ms in 0..3 {
        times.record_lost(at(ms));
    }
    assert!(times.are_lost(at(10), 100));
    assert!(!times.are_lost(at(10), 1_000), "three of a thousand are few");
    assert!(times.are_lost(at(1_500), 100));
    assert!(!times.are_lost(at(4_000), 100));
}

//! The order in which a leader handles the events that wait, and what it puts off while it is behind.

use gaplock_sched::delay::Delay;
use gaplock_sched::event_queue::{EventQueue, Urgency, MAX_PASSED_OVER};
use gaplock_types::time::{Instant, Millis};

fn pop_all(queue: &mut EventQueue<u32>, now: Instant) -> Vec<u32> {
    std::iter::from_fn(|| queue.pop(now).map(|(_, item)| item)).collect()
}

#[test]
fn urgent_events_go_first_and_equal_ones_in_order_of_arrival() {
    let mut queue = EventQueue::default();
    let arrivals = [
        (Urgency::Optional, 1),
        (Urgency::Urgent, 2),
        (Urgency::Usual, 3),
        (Urgency::Urgent, 4),
        (Urgency::Optional, 5),
    ];
    for (n, (urgency, item)) in arrivals.into_iter().enumerate() {
        queue.push(Instant(n as u64), urgency, item);
    }
    assert_eq!(queue.len(), 5);
    assert_eq!(pop_all(&mut queue, Instant(10)), [2, 4, 3, 1, 5]);
    assert!(queue.is_empty());
}

#[test]
fn the_wait_of_an_event_is_reported() {
    let mut queue = EventQueue::default();
    queue.push(Instant(100), Urgency::Usual, 1);
    assert_eq!(queue.pop(Instant(130)), Some((Millis(30), 1)));
    assert_eq!(queue.pop(Instant(130)), None);
}

/// A flood of urgent events stops neither the renewal of leases nor the readings of serving tasks.
#[test]
fn an_event_that_was_passed_over_for_long_takes_every_second_turn() {
    let mut queue = EventQueue::default();
    queue.push(Instant(0), Urgency::Optional, 100);
    queue.push(Instant(0), Urgency::Usual, 200);
    let overdue = Instant(MAX_PASSED_OVER.0);
    for item in 1..=4 {
        queue.push(overdue, Urgency::Urgent, item);
    }
    assert_eq!(pop_all(&mut queue, overdue), [200, 1, 100, 2, 3, 4]);
}

/// Lets a leader handle an event every 10 ms that has waited for `waited`, for `ms` milliseconds.
fn run(delay: &mut Delay, from: u64, ms: u64, waited: u64) {
    for at in (from..from + ms).step_by(10) {
        delay.record(Instant(at), Millis(waited));
    }
}

const INTERVAL: Millis = Millis(350);
const LIMIT: Millis = Millis(1_000);

#[test]
fn optional_work_is_put_off_while_events_wait_and_resumed_afterwards() {
    let mut delay = Delay::default();
    run(&mut delay, 1_000, 2_000, 1);
    assert_eq!(delay.stretched(INTERVAL, LIMIT), INTERVAL, "a leader that keeps up");
    run(&mut delay, 3_000, 2_000, 100);
    assert!(delay.puts_off());
    assert_eq!(delay.stretched(INTERVAL, LIMIT), LIMIT, "a leader that is behind");
    run(&mut delay, 5_000, 10_000, 1);
    assert_eq!(delay.stretched(INTERVAL, LIMIT), INTERVAL, "a leader that has caught up");
    assert!(!delay.puts_off());
}

/// Guards against readings that are put off by a leader on a weak host that keeps up: serving tasks lost more by
/// older readings than any task by the delay.
#[test]
fn delays_that_a_short_task_can_bear_put_nothing_off() {
    let mut delay = Delay::default();
    run(&mut delay, 1_000, 5_000, 25);
    assert!(!delay.puts_off());
}

#[test]
fn a_single_late_event_puts_nothing_off() {
    let mut delay = Delay::default();
    run(&mut delay, 1_000, 100, 1);
    delay.record(Instant(1_050), Millis(60));
    run(&mut delay, 1_100, 2_000, 1);
    assert_eq!(delay.stretched(INTERVAL, LIMIT), INTERVAL);
}

#[test]
fn a_limit_below_the_interval_shortens_nothing() {
    let mut delay = Delay::default();
    run(&mut delay, 1_000, 2_000, 100);
    assert_eq!(delay.stretched(INTERVAL, Millis(100)), INTERVAL);
}

//! Tests that slot counts are exact, waits are bounded and refusals are immediate.

use gaplock_policy::route::{RouteDecision, Router, Slot, WorkerUpdate};
use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};
use proptest::prelude::*;

const SLOTS: u32 = 4;

fn service() -> ids::ServiceId {
    "booking".into()
}

fn update(worker: &str, epoch: u64, open: bool) -> WorkerUpdate {
    WorkerUpdate {
        worker: worker.into(),
        partition: ids::PartitionId(0),
        epoch: ids::Epoch(epoch),
        slots: SLOTS,
        services: vec![service()],
        open,
    }
}

fn one_worker() -> Router {
    let mut r = Router::default();
    r.update_worker(update("w", 1, true));
    r.record_busy(&"w".into(), 0, 0);
    r
}

fn take(r: &mut Router, now: u64) -> Slot {
    match r.route(Instant(now), &service(), Instant(now + 1_000)) {
        RouteDecision::Slot(slot) => slot,
        other => panic!("the request should get a slot, not {other:?}"),
    }
}

#[test]
fn a_new_owner_hands_out_no_slot_before_the_worker_has_reported_its_load() {
    let mut r = Router::default();
    r.update_worker(update("w", 1, true));
    assert_eq!(r.free(&service()), 0);
    r.record_busy(&"w".into(), 3, 0);
    assert_eq!(r.free(&service()), 1);
}

#[test]
fn an_abandoned_request_keeps_its_slot_until_the_worker_reports_its_end() {
    let mut r = one_worker();
    let slot = take(&mut r, 0);
    r.abandon(&slot);
    assert_eq!(r.free(&service()), SLOTS - 1);
    let changes = r.changes(&"w".into());
    r.record_busy(&"w".into(), 0, changes);
    assert_eq!(r.free(&service()), SLOTS);
}

#[test]
fn a_report_from_before_an_abandonment_does_not_free_the_slot() {
    let mut r = one_worker();
    let then = r.changes(&"w".into());
    let slot = take(&mut r, 0);
    r.abandon(&slot);
    // The worker counted one request when it answered: this one.
    r.record_busy(&"w".into(), 1, then);
    assert_eq!(r.free(&service()), SLOTS - 1);
}

#[test]
fn a_request_that_cannot_end_in_time_is_refused_at_once() {
    let mut r = one_worker();
    let slots: Vec<Slot> = (0..SLOTS).map(|_| take(&mut r, 0)).collect();
    for slot in &slots {
        r.release_slot(slot, &service(), Some(100.0));
    }
    for _ in 0..SLOTS {
        take(&mut r, 100);
    }
    let decision = r.route(Instant(100), &service(), Instant(110));
    assert!(matches!(decision, RouteDecision::Refuse { after_s: 1 }), "{decision:?}");
}

#[test]
fn a_waiting_request_gets_the_next_slot_or_is_reported_as_late() {
    let mut r = one_worker();
    let slots: Vec<Slot> = (0..SLOTS).map(|_| take(&mut r, 0)).collect();
    let RouteDecision::Wait(first) = r.route(Instant(0), &service(), Instant(500)) else {
        panic!("the request should wait");
    };
    let RouteDecision::Wait(second) = r.route(Instant(0), &service(), Instant(60)) else {
        panic!("the request should wait");
    };
    assert_eq!(r.take_ready(Instant(59)), vec![(second, None)]);
    r.release_slot(&slots[0], &service(), Some(5.0));
    let ready = r.take_ready(Instant(60));
    assert!(matches!(ready.as_slice(), [(t, Some(_))] if *t == first), "{ready:?}");
}

#[test]
fn a_closed_partition_gets_no_requests() {
    let mut r = one_worker();
    r.close_partition(ids::PartitionId(0));
    assert_eq!(r.route(Instant(0), &service(), Instant(1_000)), RouteDecision::NoWorker);
}

proptest! {
    /// In any sequence of steps, the requests in progress, abandoned ones included, never exceed
    /// the slots.
    #[test]
    fn slots_are_never_exceeded(steps in proptest::collection::vec(0_u8..5, 1..200)) {
        let mut r = one_worker();
        let mut in_progress: Vec<Slot> = Vec::new();
        let mut abandoned = 0;
        for (now, step) in steps.into_iter().enumerate() {
            let now = now as u64;
            match step {
                0 | 1 => {
                    let deadline = Instant(now) + Millis(50);
                    if let RouteDecision::Slot(slot) = r.route(Instant(now), &service(), deadline) {
                        in_progress.push(slot);
                    }
                }
                2 => {
                    if let Some(slot) = in_progress.pop() {
                        r.release_slot(&slot, &service(), Some(3.0));
                    }
                }
                3 => {
                    if let Some(slot) = in_progress.pop() {
                        r.abandon(&slot);
                        abandoned += 1;
                    }
                }
                _ => {
                    let changes = r.changes(&"w".into());
                    r.record_busy(&"w".into(), in_progress.len() as u32 + abandoned, changes);
                }
            }
            for (_, slot) in r.take_ready(Instant(now)) {
                in_progress.extend(slot);
            }
            prop_assert!(in_progress.len() as u32 + abandoned <= SLOTS);
        }
    }
}

//! Tests single decisions: interference model, guard, fairness, health, retries, estimates.

use gaplock_policy::estimate::Estimator;
use gaplock_policy::fair::{self, PartnerShare};
use gaplock_policy::guard::{
    GuardAction, TailGuard, TailMeasurement, FULL_SPEED_PER_MILLE, MIN_SPEED_PER_MILLE,
};
use gaplock_policy::health::{FailureAction, HealthTracker};
use gaplock_policy::interference::{ExposureHistory, InterferenceModel, LoadBand};
use gaplock_policy::retry::RetryBudget;
use gaplock_policy::tail;
use gaplock_types::ids;
use gaplock_types::sizes::{MilliCores, Resources};
use gaplock_types::time::{Instant, Millis};
use gaplock_types::wire::WorkerClock;

#[test]
fn the_model_finds_the_interfering_class() {
    let (mut p, service) = (InterferenceModel::default(), ids::ServiceId::from("s"));
    for i in 0..400 {
        let (class, coefficient) = if i % 2 == 0 { ("loud", 5.0) } else { ("calm", 0.3) };
        p.observe(&service, &Vec::new(), LoadBand(1), 10_000.0);
        let shares = vec![(class.into(), 0.2)];
        p.observe(&service, &shares, LoadBand(1), 10_000.0 * (1.0 + coefficient * 0.2));
    }
    let slowdown = |class: &str| p.slowdown(&service, &vec![(class.into(), 0.2)], LoadBand(1));
    assert!((slowdown("loud") - 2.0).abs() < 0.05, "{}", slowdown("loud"));
    assert!((slowdown("calm") - 1.06).abs() < 0.05, "{}", slowdown("calm"));
    assert!(p.is_known(&service, &"loud".into(), LoadBand(1)));
    assert!(!p.is_known(&service, &"loud".into(), LoadBand(3)), "each load band has its own pairs");
}

#[test]
fn a_late_measurement_is_matched_to_what_ran_then_or_dropped() {
    let mut e = ExposureHistory::default();
    e.record(WorkerClock(0), vec![("a".into(), 0.1)]);
    e.record(WorkerClock(5_000), vec![("b".into(), 0.2)]);
    assert_eq!(e.during(WorkerClock(4_000), 1_000), Some(&vec![("a".into(), 0.1)]));
    assert_eq!(e.during(WorkerClock(5_500), 1_000), None, "it changed within the window");
    assert_eq!(e.during(WorkerClock(6_500), 1_000), Some(&vec![("b".into(), 0.2)]));
}

fn evaluate(g: &mut TailGuard, now: u64, taken: u64, worst: f64) -> GuardAction {
    g.evaluate(
        WorkerClock(now),
        WorkerClock(taken),
        Millis(1_000),
        TailMeasurement { worst, baseline: 0.4 },
    )
}

#[test]
fn the_guard_waits_for_the_effect_of_a_step_before_the_next_one() {
    let mut g = TailGuard::default();
    let GuardAction::Speed(slower) = evaluate(&mut g, 10_000, 7_000, 1.4) else {
        panic!("the guard should slow batch work down")
    };
    assert!(slower < FULL_SPEED_PER_MILLE);
    // Measurements from before the step do not show its effect.
    assert_eq!(evaluate(&mut g, 10_500, 7_500, 1.4), GuardAction::Nothing);
    assert_eq!(evaluate(&mut g, 13_900, 10_900, 1.4), GuardAction::Nothing);
    assert_ne!(evaluate(&mut g, 14_100, 11_100, 1.4), GuardAction::Nothing);
}

#[test]
fn the_guard_throttles_before_it_evicts_and_restores_full_speed() {
    let mut g = TailGuard::default();
    let mut evicted_at = None;
    for step in 0..20 {
        let now = 10_000 * (step + 1);
        if evaluate(&mut g, now, now - 1_000, 3.0) == GuardAction::EvictOne {
            evicted_at.get_or_insert((step, g.speed));
        }
    }
    assert_eq!(evicted_at.map(|(_, speed)| speed), Some(MIN_SPEED_PER_MILLE));
    for step in 20..40 {
        evaluate(&mut g, 10_000 * (step + 1), 10_000 * (step + 1) - 1_000, 0.5);
    }
    assert_eq!(g.speed, FULL_SPEED_PER_MILLE);
}

#[test]
fn missed_share_follows_the_objective() {
    let at_p99 = tail::missed_share(10.0, 30.0, 30.0);
    assert!((at_p99 - 0.01).abs() < 0.0005, "{at_p99}");
    assert!(tail::missed_share(10.0, 30.0, 20.0) > 0.01);
    assert!(tail::missed_share(10.0, 30.0, 60.0) < 0.001);
}

fn share(name: &str, held: u32, next: Option<bool>) -> PartnerShare {
    PartnerShare {
        partner: name.into(),
        held: Resources::new(held, 0, 0),
        quota: Resources::new(100, 100, 0),
        weight: 1,
        next: next.map(|urgent| (Resources::new(10, 10, 0), urgent)),
    }
}

#[test]
fn the_lowest_share_goes_next_and_urgent_work_first() {
    let total = Resources::new(100, 100, 0);
    let shares = [share("a", 30, Some(false)), share("b", 10, Some(false))];
    assert_eq!(fair::next_partner(&shares, &total), Some(1));
    let shares = [share("a", 30, Some(true)), share("b", 10, Some(false))];
    assert_eq!(fair::next_partner(&shares, &total), Some(0));
    // A partner does not get ahead by marking all its work as urgent.
    let shares = [share("a", 80, Some(true)), share("b", 10, Some(false)), share("c", 0, None)];
    assert_eq!(fair::next_partner(&shares, &total), Some(1));
    let shares = [share("a", 95, Some(false))];
    assert_eq!(fair::next_partner(&shares, &total), None, "the quota is used up");
}

fn job(number: u64) -> ids::JobId {
    ids::JobId { home: ids::PartitionId(0), number }
}

#[test]
fn a_bad_worker_is_quarantined_and_then_put_on_probation() {
    let (mut h, w) = (HealthTracker::default(), ids::WorkerId::from("w"));
    let now = Instant(0);
    assert_eq!(h.record_failure(now, &w, job(1)), FailureAction::None);
    assert_eq!(h.record_failure(now, &w, job(2)), FailureAction::None);
    assert_eq!(h.record_failure(now, &w, job(3)), FailureAction::Quarantine);
    assert!(!h.end_quarantine_if_due(Instant(29_000), &w));
    assert!(h.end_quarantine_if_due(Instant(31_000), &w) && h.on_probation(&w));
    // One failure on probation is enough, and the next quarantine is longer.
    assert_eq!(h.record_failure(Instant(31_000), &w, job(4)), FailureAction::Quarantine);
    assert!(!h.end_quarantine_if_due(Instant(62_000), &w));
    h.record_success(&w, job(5));
    assert!(!h.on_probation(&w));
}

#[test]
fn a_job_that_fails_on_every_worker_does_not_quarantine_the_fleet() {
    let mut h = HealthTracker::default();
    let actions: Vec<FailureAction> = (0..3)
        .map(|i| h.record_failure(Instant(0), &ids::WorkerId(format!("w{i}")), job(1)))
        .collect();
    assert_eq!(actions, [FailureAction::None, FailureAction::None, FailureAction::FailJob]);
}

#[test]
fn retries_are_a_tenth_of_first_attempts() {
    let mut b = RetryBudget::default();
    let allowed = (0..1_000).filter(|_| {
        b.earn();
        b.try_spend()
    });
    assert_eq!(allowed.count(), 100);
}

#[test]
fn reservations_follow_observed_use() {
    let (mut e, class) = (Estimator::default(), ids::BatchClass::from("c"));
    let declared = Resources::new(1_000, 512, 1);
    assert_eq!(e.reserve(&class, &declared), declared, "nothing is known yet");
    for _ in 0..200 {
        e.observe(&class, MilliCores(1_000), MilliCores(1_500));
    }
    let reserved = e.reserve(&class, &declared);
    assert!(reserved.cpu.0 >= 1_500 && reserved.cpu.0 < 1_600, "{reserved}");
    assert_eq!(
        (reserved.mem, reserved.acc),
        (declared.mem, declared.acc),
        "memory and accelerators are hard limits"
    );
}

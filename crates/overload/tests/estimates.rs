//! Tests of the correction of callers' estimates.

use gaplock_overload::estimates::EstimateRatios;
use gaplock_overload::summary::WorkClass;
use gaplock_types::time::Millis;

const BATCH: WorkClass = WorkClass::BestEffort;

/// Guards against a mean of single ratios: estimates that are off by 0.9 in both directions would be
/// "corrected" to several times the time that the queue's work takes.
#[test]
fn estimates_that_are_off_in_both_directions_need_no_correction() {
    let mut ratios = EstimateRatios::default();
    for n in 0..1_000 {
        let estimate = if n % 2 == 0 { 190 } else { 1_810 };
        ratios.record("q", BATCH, Millis(estimate), Millis(1_000));
    }
    let ratio = ratios.ratio("q", BATCH);
    assert!((0.8..1.1).contains(&ratio), "the correction is {ratio}, expected about 1");
}

#[test]
fn a_queue_whose_tasks_take_twice_their_estimate_is_corrected_apart_from_others() {
    let mut ratios = EstimateRatios::default();
    for _ in 0..100 {
        ratios.record("q", BATCH, Millis(850), Millis(1_700));
        ratios.record("q", WorkClass::Short, Millis(800), Millis(800));
    }
    let ratio = ratios.ratio("q", BATCH);
    assert!((1.9..=2.0).contains(&ratio), "the correction is {ratio}, expected about 2");
    assert!((ratios.ratio("q", WorkClass::Short) - 1.0).abs() < 0.01);
    assert!((ratios.ratio("other", BATCH) - 1.0).abs() < f64::EPSILON);
}

/// Guards against a caller whose estimates mean nothing: all times derived from them would be.
#[test]
fn the_correction_stays_within_its_bounds() {
    let mut ratios = EstimateRatios::default();
    for _ in 0..10_000 {
        ratios.record("low", BATCH, Millis(0), Millis(u64::MAX));
        ratios.record("high", BATCH, Millis(u64::MAX), Millis(0));
    }
    assert!(ratios.ratio("low", BATCH) <= 4.0);
    assert!(ratios.ratio("high", BATCH) >= 0.25);
    ratios.retain(|queue| queue == "low");
    assert!((ratios.ratio("high", BATCH) - 1.0).abs() < f64::EPSILON);
}

/// Guards against a successor that trusts the callers' estimates until it has seen tasks of its own, and against a
/// stored value that outweighs these for long or is not a number.
#[test]
fn a_restored_ratio_holds_until_new_tasks_outweigh_it() {
    let mut ratios = EstimateRatios::default();
    ratios.restore("batch", WorkClass::BestEffort, 2.5);
    let restored = ratios.ratio("batch", WorkClass::BestEffort);
    assert!((restored - 2.5).abs() < 0.01, "restored as {restored}");
    for _ in 0..100 {
        ratios.record("batch", WorkClass::BestEffort, Millis(1_000), Millis(1_000));
    }
    let later = ratios.ratio("batch", WorkClass::BestEffort);
    assert!(later < 1.3, "still {later} after a hundred exact estimates");
    ratios.restore("other", WorkClass::Short, f64::NAN);
    assert_eq!(ratios.ratio("other", WorkClass::Short), 1.0);
}

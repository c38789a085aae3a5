//! Tests that burn is computed correctly from counters, across windows and restarts of entries.

use std::collections::BTreeMap;

use gaplock_burn::burn::{self, Cause, Objective};
use gaplock_burn::html;
use gaplock_burn::sample::Sample;
use gaplock_burn::scrape;

fn metrics(good: u64, slow: u64, overloaded: u64) -> String {
    let answered = good + slow;
    format!(
        "# TYPE gaplock_service_requests counter\n\
         gaplock_service_requests_total{{service=\"s\",partner=\"p\",code=\"0\"}} {answered}\n\
         gaplock_service_requests_total{{service=\"s\",partner=\"p\",code=\"200\"}} {overloaded}\n\
         gaplock_service_requests_total{{service=\"s\",partner=\"p\",code=\"109\"}} 50\n\
         gaplock_service_latency_seconds_bucket{{le=\"0.025\",service=\"s\",partner=\"p\"}} {good}\n\
         gaplock_service_latency_seconds_bucket{{le=\"+Inf\",service=\"s\",partner=\"p\"}} {answered}\n"
    )
}

fn sample(at_s: u64, text: &str) -> Sample {
    let mut all = BTreeMap::new();
    scrape::add(text, &mut all);
    let counters = all.into_iter().collect();
    Sample { at_unix_ms: at_s * 1000, entry: "e".to_string(), counters }
}

fn objective() -> Objective {
    Objective { service: "s".to_string(), latency_ms: 25, good_percent: 99.0 }
}

#[test]
fn windows_separate_slow_from_overload_and_ignore_caller_faults() {
    let samples = [
        sample(0, &metrics(0, 0, 0)),
        sample(60, &metrics(900, 0, 0)),
        sample(120, &metrics(1_700, 100, 100)),
    ];
    let rows = burn::rows(&samples, &[objective()], &[60, 120]);
    let [row] = rows.as_slice() else { panic!("expected one row, got {rows:?}") };
    let [short, long] = row.windows.as_slice() else {
        panic!("expected two windows, got {:?}", row.windows)
    };
    assert_eq!((short.requests, short.bad), (1_000.0, 200.0));
    assert_eq!(short.causes.get(&Cause::Slow), Some(&100.0));
    assert_eq!(short.causes.get(&Cause::Overload), Some(&100.0));
    assert!((short.burn - 20.0).abs() < 1e-6 && row.fast);
    assert_eq!((long.requests, long.bad), (1_900.0, 200.0));
    assert!(row.slow);
}

#[test]
fn counters_reset_by_a_restart_count_from_zero() {
    let samples = [
        sample(0, &metrics(1_000, 0, 0)),
        sample(60, &metrics(10, 0, 0)),
        sample(120, &metrics(30, 0, 0)),
    ];
    let rows = burn::rows(&samples, &[objective()], &[120]);
    assert_eq!(rows[0].windows[0].requests, 30.0);
    assert!(!rows[0].fast && !rows[0].slow);
}

#[test]
fn the_page_is_self_contained_and_has_a_plot() {
    let samples: Vec<Sample> = (0..5).map(|i| sample(i * 60, &metrics(i * 100, i, 0))).collect();
    let page = html::page(&burn::rows(&samples, &[objective()], &[60])).unwrap();
    assert!(page.contains("<svg") && page.contains("s for p"));
    assert!(!page.contains("http://") || page.contains("http://www.w3.org/2000/svg"));
}

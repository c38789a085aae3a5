//! How often and when the leader sends renewals to its workers, on virtual time.

use gaplock_sched::renewals;
use gaplock_types::time::Millis;

use crate::simulation::{assert_no_violations, job, step, Simulation};

const WORKERS: usize = 60;

/// Renewals that are sent within this many milliseconds count as one burst.
const BURST_WINDOW_MS: u64 = 50;

/// Returns the size of the largest burst of renewals that was sent from `since` on.
fn largest_burst(sim: &Simulation, since: u64) -> usize {
    let times = sim.renewals.iter().map(|(at, _)| *at);
    let sent: Vec<u64> = times.filter(|at| *at >= since).collect();
    let within =
        |from: u64| sent.iter().filter(|at| (from..from + BURST_WINDOW_MS).contains(*at)).count();
    sent.iter().map(|from| within(*from)).max().unwrap_or(0)
}

#[test]
fn renewals_are_spread_out_after_a_takeover() {
    let mut sim = Simulation::open(71, WORKERS);
    sim.work_ms = 60_000;
    sim.submit(job(1, vec![step(WORKERS as u32 * 2, &[])]));
    sim.run(2_000);
    sim.start_new_leader();
    sim.run(300);
    let since = sim.now;
    sim.run(4_000);
    let most = largest_burst(&sim, since);
    assert!(
        most < WORKERS / 3,
        "{most} of {WORKERS} workers got a renewal within {BURST_WINDOW_MS} ms"
    );
    assert_no_violations(&sim);
}

/// Returns how many entries of the queue of due renewals are examined per renewal on a fleet of
/// `workers` workers with running tasks.
fn entries_examined_per_renewal(workers: usize) -> f64 {
    let mut sim = Simulation::open(72, workers);
    sim.work_ms = 60_000;
    sim.submit(job(1, vec![step(workers as u32, &[])]));
    sim.run(1_000);
    let before = sim.renewals_examined();
    let renewals = sim.renewals_within(2_000);
    (sim.renewals_examined() - before) as f64 / renewals as f64
}

#[test]
fn finding_a_due_renewal_costs_no_more_on_a_larger_fleet() {
    let (small, large) = (entries_examined_per_renewal(60), entries_examined_per_renewal(240));
    let ratio = large / small;
    assert!(
        ratio < 1.3,
        "{small:.1} entries examined per renewal, {large:.1} on a fleet four times as large"
    );
}

#[test]
fn renewals_wait_longer_on_large_fleets_but_no_longer_than_workers_hold_them() {
    let usual = Millis(1_000);
    assert_eq!(renewals::renewal_wait(usual, 66), usual);
    assert_eq!(renewals::renewal_wait(usual, 1_300), Millis(1_300));
    assert_eq!(renewals::renewal_wait(usual, 9_000), Millis(2_000));
}

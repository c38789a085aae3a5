//! A leader whose processor has less time than its work asks for, on virtual time.

use std::env;

use gaplock_jobs::{Job, JobKey, Step};
use gaplock_types::time::Millis;

use crate::simulation::{
    assert_all_jobs_end, assert_no_violations, job, step, Cost, Discipline, Faults, Simulation,
    ALLOWANCE_PERIOD_MS,
};

/// Workers that serve beside best-effort tasks, so that their readings are wanted often.
const WORKERS: usize = 300;

/// The cost of an event and of a call on a host with 0.12 of a core, the least that installations have: some 70 us
/// of a whole core each.
const WEAKEST_HOST: Cost = Cost { event_us: 600, call_us: 600 };

/// How long tasks run, and how many each short job has.
const WORK_MS: u64 = 800;
const TASKS: u32 = 10;

/// The time between short jobs, and how many are submitted.
const JOB_INTERVAL_MS: u64 = 100;
const JOBS: u64 = 40;

/// The time between best-effort jobs, and their tasks: with those of the short jobs about half a task a second
/// for each worker, as on the users' large installation.
const FILLER_INTERVAL_MS: u64 = 2_000;
const FILLER_TASKS: u32 = 150;

/// The objective of a short job: the stretched time of its tasks and the slack.
const OBJECTIVE_MS: u64 = WORK_MS * 3 / 2 + 250;

/// The least share of its worth that an installation requires for a class on a calm day.
const FLOOR: f64 = 0.47;

const SERVING_KEY: u64 = 1;
const FIRST_FILLER: u64 = 1_000;
const FIRST_SHORT: u64 = 10_000;

fn serving_job() -> Job {
    let (tail_target, image) = (Some(Millis(50)), Some("serving".to_string()));
    let count = WORKERS as u32;
    let most_per_worker = Some(1);
    let step = Step { lasting: true, tail_target, image, most_per_worker, ..step(count, &[]) };
    job(SERVING_KEY, vec![step])
}

fn filler_job(key: u64, count: u32) -> Job {
    let image = Some("filling".to_string());
    job(key, vec![Step { fills: true, image, ..step(count, &[]) }])
}

/// Runs short jobs beside serving and best-effort tasks; returns the simulation and how long each short job took.
fn run(seed: u64, cost: Cost, discipline: Discipline) -> (Simulation, Vec<u64>) {
    let mut sim = Simulation::open(seed, WORKERS);
    sim.work_ms = 60_000;
    sim.submit(serving_job());
    sim.readings.insert(JobKey(SERVING_KEY), 10);
    sim.run(3_000);
    // A best-effort task on each worker that lasts keeps serving and best-effort tasks mixed.
    sim.submit(filler_job(FIRST_FILLER, WORKERS as u32 * 2));
    sim.run(3_000);
    sim.work_ms = WORK_MS;
    sim.charge_leader(cost, discipline);
    let began = sim.now;
    let (mut next, mut filler, mut running, mut times) = (0, 0, Vec::new(), Vec::new());
    while times.len() < JOBS as usize {
        let at = sim.now - began;
        if next < JOBS && at == next * JOB_INTERVAL_MS {
            sim.submit(job(FIRST_SHORT + next, vec![step(TASKS, &[])]));
            running.push((FIRST_SHORT + next, sim.now));
            next += 1;
        }
        if at == filler * FILLER_INTERVAL_MS {
            filler += 1;
            sim.submit(filler_job(FIRST_FILLER + filler, FILLER_TASKS));
        }
        sim.run(1);
        let now = sim.now;
        running.retain(|(key, since)| {
            let ended = sim.is_completed(*key);
            if ended {
                times.push(now - since);
            }
            !ended
        });
        assert!(now - began < 60_000, "jobs do not end: {running:?}");
    }
    (sim, times)
}

fn share_in_time(times: &[u64]) -> f64 {
    times.iter().filter(|took| **took <= OBJECTIVE_MS).count() as f64 / times.len() as f64
}

/// Guards against short jobs that are late because the leader spends its processor on readings, in order of
/// arrival, while the starts and ends of their tasks wait.
#[test]
fn short_jobs_are_in_time_on_a_leader_whose_processor_binds() {
    for seed in 1..=2 {
        let (sim, times) = run(seed, WEAKEST_HOST, Discipline::ByUrgency);
        assert_no_violations(&sim);
        let share = share_in_time(&times);
        assert!(share >= FLOOR, "seed {seed}: {share:.2} in time");
    }
}

/// The same load binds the processor of a leader that handles events in order of arrival and puts nothing off.
#[test]
fn the_load_binds_a_leader_that_works_in_order_of_arrival() {
    let (_, times) = run(1, WEAKEST_HOST, Discipline::ByArrival);
    let share = share_in_time(&times);
    assert!(share < FLOOR, "{share:.2} in time");
}

/// Returns the longest time between two renewals of a worker from `since` on, in milliseconds.
fn longest_gap(sim: &Simulation, since: u64) -> u64 {
    let gap_at = |at: usize| {
        let sent = sim.renewals.iter().filter(|(time, to)| *to == at && *time >= since);
        let times: Vec<u64> = sent.map(|(time, _)| *time).chain([sim.now]).collect();
        times.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or(0)
    };
    (0..WORKERS).map(gap_at).max().unwrap_or(0)
}

/// Readings that are put off are still taken often enough to slow best-effort tasks down, and again if that does
/// not help, before a serving task has exceeded its target for too long; and no lease lapses.
#[test]
fn readings_and_leases_hold_on_a_leader_whose_processor_binds() {
    let cost = Cost { event_us: 900, call_us: 900 };
    let (sim, _) = run(3, cost, Discipline::ByUrgency);
    assert_no_violations(&sim);
    let gap = longest_gap(&sim, sim.now - 3_000);
    let limit = sim.settings.max_tail_excess.0 / 2;
    assert!(gap <= limit, "{gap} ms between two renewals of a worker");
}

/// How many random worlds are run in CI; `BUSY_LEADER_SEEDS` gives another number.
const SEEDS: u64 = 12;

/// Draws the cost of the leader's work, up to that at which it does nothing else, and its allowance.
fn draw_processor(sim: &mut Simulation) {
    let us = 200 + sim.draw(8_000);
    sim.charge_leader(Cost { event_us: us, call_us: us }, Discipline::ByUrgency);
    let allowance_ms = ALLOWANCE_PERIOD_MS / 5 + sim.draw(ALLOWANCE_PERIOD_MS);
    sim.processor.as_mut().expect("the leader is charged").allowance_ms = allowance_ms;
}

/// Slow and throttled leaders, lost in series beside lost and late calls, with cancellations: no task runs twice,
/// nothing of a cancelled job goes on, and all jobs end.
#[test]
fn slow_and_throttled_leaders_break_no_guarantee() {
    let seeds = env::var("BUSY_LEADER_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(SEEDS);
    for seed in 0..seeds {
        let mut sim = Simulation::open(7_000 + seed, 6);
        sim.faults = Faults {
            lost_per_mille: 20,
            unanswered_per_mille: 40,
            late_per_mille: 40,
            failing_per_mille: 20,
            unhealthy_per_mille: 10,
        };
        for key in 0..20 {
            draw_processor(&mut sim);
            sim.submit(job(key, vec![step(5, &[]), step(3, &[0])]));
            sim.run(300);
            if sim.draw(5) == 0 {
                sim.cancel(key);
            }
            if sim.draw(8) == 0 {
                let gap = sim.draw(3_000);
                sim.change_leader(gap);
            }
        }
        sim.charge_leader(Cost { event_us: 0, call_us: 0 }, Discipline::ByUrgency);
        sim.processor.as_mut().expect("the leader is charged").allowance_ms = ALLOWANCE_PERIOD_MS;
        assert_all_jobs_end(&mut sim, seed);
    }
}

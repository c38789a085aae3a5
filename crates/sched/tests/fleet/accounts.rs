//! The load account, on virtual time. All other tests of the fleet check its sums, too
//! ([`crate::simulation`], `accounts`).

use gaplock_jobs::job::Repeat;
use gaplock_jobs::{Job, Step};
use gaplock_overload::summary::{QueueLoad, WorkClass};
use gaplock_sched::load;
use gaplock_sched::message::{
    StoredLoad, StoredPoolLoad, StoredQueueLoad, MAX_STORED_LOADS, MAX_STORED_NAME_BYTES,
};
use gaplock_types::sizes::Resources;
use gaplock_types::time::Millis;

use crate::simulation::{assert_no_violations, job, long_running_step, step, Faults, Simulation};

/// Guards against sums that drift when tasks leave a state on a rare path: cancelled, failed, lost
/// with their worker, found by a successor, repeated or run as a gang.
#[test]
fn sums_agree_with_jobs_and_workers_under_faults() {
    for seed in 0..10 {
        let mut sim = Simulation::open(seed, 8);
        sim.faults = Faults {
            lost_per_mille: 20,
            unanswered_per_mille: 30,
            late_per_mille: 30,
            failing_per_mille: 60,
            unhealthy_per_mille: 10,
        };
        for key in 0..24 {
            let gang = Step { gang: true, ..step(3, &[]) };
            let best_effort = Step { fills: true, ..step(4, &[]) };
            let first_unix_ms = sim.unix();
            let repeat = Repeat { times: 3, first_unix_ms, every: Millis(900) };
            sim.submit(match key % 5 {
                0 => job(key, vec![gang, best_effort]),
                1 => job(key, vec![long_running_step(3)]),
                2 => Job { repeat: Some(repeat), ..job(key, vec![step(2, &[])]) },
                3 => job(key, vec![Step { duplicates: true, checkpoints: true, ..step(5, &[]) }]),
                _ => job(key, vec![step(5, &[]), step(3, &[0])]),
            });
            sim.run(250);
            match sim.draw(6) {
                0 => sim.cancel(key),
                1 => sim.change_leader(400),
                2 => sim.restart_worker(key as usize % 8),
                _ => {}
            }
        }
        sim.run(6_000);
        for key in 0..24 {
            sim.cancel(key);
        }
        sim.faults = Faults::default();
        sim.run(15_000);
        assert_no_violations(&sim);
    }
}

/// How often a job arrives in a burst, in milliseconds.
const ARRIVAL_EVERY: u64 = 100;

/// Lets 20 core seconds arrive per second at 16 cores that do 2.5 times their estimate.
fn burst(sim: &mut Simulation, keys: std::ops::Range<u64>) {
    for key in keys {
        let accepted_unix_ms = sim.unix();
        sim.submit(Job { accepted_unix_ms, ..job(key, vec![step(4, &[])]) });
        sim.run(ARRIVAL_EVERY);
    }
}

/// How long a successor's time to drain may differ from its predecessor's: until workers have
/// answered and the ends during the change of leader are counted.
const DRAIN_AGREES_WITHIN: u64 = 1_000;

/// Guards against a successor that knows no backlog, no arrivals or no time to drain for seconds,
/// so that it would accept everything in the middle of a burst.
#[test]
fn a_successor_in_a_burst_knows_the_load() {
    let mut sim = Simulation::open(60, 2);
    sim.work_ms = 1_250;
    burst(&mut sim, 0..150);
    let before = sim.short_load().expect("there is load");
    let estimated = |load: &QueueLoad, ratio: f64| (load.backlog_core_ms as f64 / ratio) as u64;
    let estimated_before = estimated(&before, sim.estimate_ratio(WorkClass::Short));
    let drain_before = before.time_to_drain().expect("work is completed");
    assert!(drain_before > Millis(5_000), "no burst: {before:?}");
    sim.lose_leader();
    sim.start_new_leader();
    let after = sim.short_load().expect("the successor has an account at once");
    // The correction of the estimates is up to 4 s older than what the predecessor knew last.
    let estimated_after = estimated(&after, sim.estimate_ratio(WorkClass::Short));
    assert!(estimated_after + 1 >= estimated_before, "{after:?} after {before:?}");
    assert_eq!(after.jobs, before.jobs);
    let arriving = after.arriving_core_ms_per_s as f64 / before.arriving_core_ms_per_s as f64;
    assert!((0.8..1.2).contains(&arriving), "{after:?} after {before:?}");
    let mut worst: f64 = 1.0;
    for passed in 0..50 {
        burst(&mut sim, 150 + passed..151 + passed);
        let load = sim.short_load().expect("there is load");
        let drain = load.time_to_drain().expect("a restored rate is known");
        let ratio = drain.0 as f64 / drain_before.0 as f64;
        if (passed + 1) * ARRIVAL_EVERY >= DRAIN_AGREES_WITHIN {
            worst = if (ratio - 1.0).abs() > (worst - 1.0).abs() { ratio } else { worst };
        }
    }
    assert!((0.67..1.5).contains(&worst), "time to drain became {worst} of {drain_before}");
    assert_no_violations(&sim);
}

/// Guards against a pool whose largest worker is forgotten when it shrinks or is lost: jobs that
/// only it can hold would pass for ones that can never run.
#[test]
fn the_largest_capacity_of_a_pool_is_remembered() {
    let mut sim = Simulation::open(62, 2);
    sim.run(500);
    let pool = |sim: &Simulation| {
        let cx = sim.cx.as_ref().expect("there is a leader");
        load::summary(cx, 1).pools.remove(0)
    };
    let (before, capacity) = (pool(&sim), sim.workers[0].info.capacity);
    assert_eq!(before.largest, capacity);
    for worker in 0..2 {
        sim.resize(worker, capacity.minus(&Resources::new(2_000, 0, 0)));
    }
    sim.crash(0);
    sim.unlist(0);
    sim.run(9_000);
    let after = pool(&sim);
    assert_eq!(after.largest, capacity);
    assert_eq!(after.capacity_millicores, u64::from(capacity.cpu.0) - 2_000);
}

/// Guards against a record that grows beyond its bound, and against one that a host of another
/// version cannot read.
#[test]
fn the_stored_load_is_bounded_and_readable_by_other_versions() {
    let queue = StoredQueueLoad {
        queue: "q".repeat(MAX_STORED_NAME_BYTES),
        class: WorkClass::LongRunning,
        completed_core_ms_per_s: u64::MAX,
        estimate_ratio: Some(1.0 / 3.0),
    };
    let pool = StoredPoolLoad {
        pool: "p".repeat(MAX_STORED_NAME_BYTES).as_str().into(),
        budget_millicores: Some(u64::MAX),
    };
    let largest =
        StoredLoad { queues: vec![queue; MAX_STORED_LOADS], pools: vec![pool; MAX_STORED_LOADS] };
    let text = serde_json::to_string(&largest).expect("the record can be encoded");
    assert!(text.len() <= 8 << 10, "{} bytes", text.len());
    let other = r#"{"queues":[{"queue":"q","class":"short","completed_core_ms_per_s":7,"new":1}],"new":{}}"#;
    let read: StoredLoad = serde_json::from_str(other).expect("another version's record is read");
    assert_eq!((read.queues[0].completed_core_ms_per_s, read.pools.len()), (7, 0));
}

/// Guards against a leader that shows, logs or stores load although that is turned off, and
/// against sums that are wrong after it is turned on again.
#[test]
fn a_leader_whose_account_is_off_shares_and_stores_nothing() {
    let mut sim = Simulation::open(61, 2);
    sim.settings.load_account = false;
    sim.start_new_leader();
    burst(&mut sim, 0..60);
    assert!(sim.short_load().is_none() && sim.load.queues.is_empty());
    sim.change_settings(|settings| settings.load_account = true);
    burst(&mut sim, 60..110);
    assert!(sim.short_load().is_some() && !sim.load.queues.is_empty());
    assert_no_violations(&sim);
}

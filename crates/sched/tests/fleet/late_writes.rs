//! Commits that the store carries out late: after their repeat, after its refusal, or after a newer
//! leader's claim.
//!
//! Guards against tasks that ended as done and are started again under the next leader. A commit
//! without an answer was repeated, the repeat was refused, the next commit had the same identifier,
//! and the late commit was taken for it. The cause: an answer to a repeated call was taken for the
//! outcome of the call. The logs of days that were run again show it
//! (`docs/incidents/twice-after-late-call.md`). The simulation checks that what the leader
//! considers stored is what the store holds, and that no task starts after its end was
//! acknowledged.

use crate::simulation::{
    assert_all_jobs_end, assert_no_violations, job, step, Faults, Simulation, WriteFaults,
};

/// No write gets an answer, and each is carried out seconds later.
const ALL_WRITES_LATE: WriteFaults = WriteFaults {
    lost_per_mille: 0,
    unanswered_per_mille: 0,
    late_per_mille: 1_000,
    refused_per_mille: 0,
};

/// All kinds of write faults.
const MIXED_WRITE_FAULTS: WriteFaults = WriteFaults {
    lost_per_mille: 50,
    unanswered_per_mille: 100,
    late_per_mille: 150,
    refused_per_mille: 150,
};

/// All kinds of order faults except refusals by overloaded workers.
const ORDER_FAULTS: Faults = Faults {
    lost_per_mille: 20,
    unanswered_per_mille: 50,
    late_per_mille: 50,
    failing_per_mille: 20,
    unhealthy_per_mille: 0,
};

#[test]
fn a_commit_carried_out_after_its_repeat_was_refused_is_not_taken_for_a_newer_one() {
    let mut sim = Simulation::open(101, 2);
    sim.run(100);
    sim.write_faults = ALL_WRITES_LATE;
    sim.submit(job(1, vec![step(4, &[]), step(4, &[0])]));
    sim.run(600);
    sim.write_faults = WriteFaults::default();
    sim.store_down = true;
    sim.run(9_000);
    sim.store_down = false;
    sim.run(2_000);
    sim.start_new_leader();
    sim.run(3_000);
    assert!(sim.is_completed(1));
    assert_eq!(sim.starts, 8, "tasks were started again after their ends");
    assert_no_violations(&sim);
}

#[test]
fn a_late_commit_of_a_previous_leader_changes_nothing() {
    let mut sim = Simulation::open(102, 2);
    sim.run(100);
    sim.write_faults = ALL_WRITES_LATE;
    sim.submit(job(1, vec![step(4, &[])]));
    sim.run(1_000);
    sim.start_new_leader();
    sim.write_faults = WriteFaults::default();
    sim.run(12_000);
    assert!(sim.is_completed(1));
    assert_eq!(sim.starts, 4, "tasks were started again after their ends");
    assert_no_violations(&sim);
}

#[test]
fn late_writes_and_orders_run_no_task_twice_across_leaders() {
    for seed in 0..30 {
        let mut sim = Simulation::open(seed, 6);
        sim.faults = ORDER_FAULTS;
        sim.write_faults = MIXED_WRITE_FAULTS;
        for key in 0..20 {
            sim.submit(job(key, vec![step(5, &[]), step(3, &[0])]));
            sim.run(200);
            match sim.draw(10) {
                0 => change_leader(&mut sim),
                1 => refuse_writes_for_a_while(&mut sim),
                _ => {}
            }
        }
        assert_all_jobs_end(&mut sim, seed);
    }
}

fn change_leader(sim: &mut Simulation) {
    let gap = sim.draw(3_000);
    sim.change_leader(gap);
}

/// Makes the store refuse writes for up to 6 s while tasks end, whether or not a commit is under
/// way.
fn refuse_writes_for_a_while(sim: &mut Simulation) {
    let length = sim.draw(6_000);
    sim.store_down = true;
    sim.run(length);
    sim.store_down = false;
}

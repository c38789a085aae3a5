//! Worker reports that arrive when their worker has terminated, or is about to.

use gaplock_types::time::Instant;

use crate::simulation::{assert_no_violations, job, long_running_step, Simulation};

/// Guards against tasks that wait for ever, seen with real processes beside crashing workers. The
/// last report of a worker arrived after another incarnation had answered in its place. The leader
/// then took the tasks listed in it to be running at the terminated worker, which it no longer
/// asks.
#[test]
fn a_report_that_arrives_after_its_worker_terminated_is_ignored() {
    let mut sim = Simulation::open(405, 6);
    sim.submit(job(1, vec![long_running_step(12)]));
    sim.run(1_000);
    let at = sim.busy_worker();
    let (sent, report) = (Instant(sim.now), sim.report(at));
    sim.crash_and_replace(at);
    while sim.cx.as_ref().is_some_and(|cx| !cx.workers[at].terminated) {
        sim.run(1);
    }
    sim.deliver_report(at, sent, report);
    sim.run(10_000);
    assert_eq!(sim.running_of(1), 12);
    assert_no_violations(&sim);
}

/// The last answer of a crashed worker is handled just after the directory has dropped its entry.
/// The leader must count the crash and not take the worker for one that left.
#[test]
fn an_answer_just_after_the_directory_entry_is_removed_does_not_hide_a_crash() {
    let mut sim = Simulation::open(407, 6);
    sim.submit(job(1, vec![long_running_step(6)]));
    sim.run(1_000);
    let at = sim.busy_worker();
    let (sent, report) = (Instant(sim.now), sim.report(at));
    sim.crash_and_replace(at);
    sim.unlist(at);
    sim.run(5);
    sim.deliver_report(at, sent, report);
    sim.run(9_000);
    assert!(sim.suspects() > 0, "the crash was not counted");
    assert_no_violations(&sim);
}

//! Commits that the store carries out late, after it has refused a repeat of them.
//!
//! Guards against dozens of tasks that had ended as done running again under the next leader. A
//! commit without an answer had been sent again and refused, and the next commit had the same ID
//! with other records. When the first one was carried out late, its ID was taken for that of the
//! newer commit, so that ends were acknowledged that were not stored. The answer to a repeated call
//! proves nothing about its earlier attempts. The logs of fifteen simulated days that were run
//! again showed this: in all seven in which a commit was found by its ID, an earlier commit of the
//! same number, with fewer records, was unanswered (`docs/incidents/twice-after-late-call.md`).

mod support;

use std::thread;
use std::time::Duration;

use gaplock_jobs::JobKey;
use gaplock_platform_standin::site::{self, two_steps};
use support::wait_for;

/// Where the leader stores the progress of jobs.
const PROGRESS: &str = "gaplock/progress/";

/// How many tasks the job has.
const TASKS: u64 = 10;

#[test]
fn a_commit_carried_out_after_its_repeat_was_refused_is_not_taken_for_a_newer_one() {
    let mut site = support::open_site(2, 4, Duration::from_millis(200));
    wait_for("the workers to be known", || site.has_stored_workers());
    let job = JobKey(1);
    let first = site.leader().expect("there is a leader");
    let other = 1 - first;
    site.store.hold_back_next(PROGRESS);
    assert_eq!(site.hosts[other].submit(job, &two_steps()), Some(200));
    wait_for("a commit without an answer", || site.store.has_held_back());
    site.store.set_writes_refused(true);
    wait_for("all starts", || site.fleet.starts() == TASKS);
    // The last tasks end, and the commits of their ends are refused.
    thread::sleep(Duration::from_millis(1_500));
    assert!(site.store.carry_out_held(), "the late commit's conditions no longer hold");
    site.store.set_writes_refused(false);
    let completed =
        |host: &site::Host| host.state(job).is_some_and(|(_, shown)| shown == "completed");
    wait_for("completion", || completed(&site.hosts[first]));
    // Ends that are stored have been acknowledged by now.
    thread::sleep(Duration::from_millis(500));
    site.hosts[first].kill().expect("the process runs");
    wait_for("another leader", || site.leader() == Some(other));
    wait_for("completion under the next leader", || completed(&site.hosts[other]));
    assert_eq!(site.fleet.starts(), TASKS, "tasks that had ended were started again");
    assert!(site.tasks_run_concurrently().is_empty());
}

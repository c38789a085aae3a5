//! Admission control with daemons of their own: a refusal on the way from a caller to the leader
//! and back.

mod support;

use std::thread;
use std::time::Duration;

use gaplock_jobs::JobKey;
use gaplock_platform_standin::site::two_steps;
use serde_json::json;
use support::wait_for;

/// Guards against a job that no worker can ever hold being accepted and shown as queued for ever,
/// against a refused job that is stored or started after all, and against refusals of other jobs.
#[test]
fn what_no_worker_can_hold_is_refused_by_every_host_and_never_starts() {
    let site = support::open_site(2, 2, Duration::from_millis(200));
    wait_for("the workers to be known", || site.has_stored_workers());
    let step = json!({"Count": 1, "Cpu": 10_000_000, "MemMb": 256, "EstimateMs": 1});
    let too_large = json!({"Spec": "text", "Steps": [step]}).to_string();
    // A host refuses once it has a load summary that names the pool; until then it admits.
    let mut probe = 100;
    for host in &site.hosts {
        wait_for("a load summary", || {
            probe += 1;
            host.submit(JobKey(probe), &too_large) == Some(503)
        });
    }
    for (host, key) in [(0, JobKey(1)), (1, JobKey(2))] {
        assert_eq!(site.hosts[host].submit(key, &too_large), Some(503));
        assert_eq!(site.hosts[1 - host].submit(key, &too_large), Some(503), "sent again");
        assert_eq!(site.hosts[host].submit(JobKey(10 + key.0), &two_steps()), Some(200));
    }
    thread::sleep(Duration::from_secs(3));
    for host in &site.hosts {
        for key in [1, 2] {
            let (status, _) = host.state(JobKey(key)).expect("the host answers");
            assert_eq!(status, 410, "job {key} is known though it was refused");
        }
        for key in [11, 12] {
            let shown = host.state(JobKey(key)).map(|(_, shown)| shown);
            assert_eq!(shown.as_deref(), Some("completed"), "job {key}");
        }
        assert!(!host.logged("job_refused").is_empty());
    }
    assert!(site.fleet.violations().is_empty(), "{:?}", site.fleet.violations());
}

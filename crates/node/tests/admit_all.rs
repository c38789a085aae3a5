//! The daemon with admission control turned off.

mod support;

use std::thread;
use std::time::Duration;

use gaplock_jobs::JobKey;
use gaplock_platform_standin::site::two_steps;
use serde_json::json;
use support::wait_for;

/// Guards against decisions of admission control where it is turned off: each job is accepted and
/// waits, also one that no worker can hold.
#[test]
fn a_host_without_admission_control_accepts_what_no_worker_can_hold() {
    std::env::set_var("GAPLOCK_ADMIT_ALL", "true");
    let site = support::open_site(2, 2, Duration::from_millis(200));
    wait_for("the workers to be known", || site.has_stored_workers());
    let step = json!({"Count": 1, "Cpu": 10_000_000, "MemMb": 256, "EstimateMs": 1});
    let too_large = json!({"Spec": "text", "Steps": [step]}).to_string();
    for (host, key) in [(0, JobKey(1)), (1, JobKey(2))] {
        assert_eq!(site.hosts[host].submit(key, &too_large), Some(200));
        assert_eq!(site.hosts[host].submit(JobKey(10 + key.0), &two_steps()), Some(200));
    }
    thread::sleep(Duration::from_secs(3));
    for host in &site.hosts {
        for (key, expected) in [(1, "queued"), (2, "queued"), (11, "completed")] {
            let shown = host.state(JobKey(key)).map(|(_, shown)| shown);
            assert_eq!(shown.as_deref(), Some(expected), "job {key}");
        }
        assert_eq!(host.metric("gaplock_refused_jobs"), None);
        assert!(host.logged("job_refused").is_empty());
    }
}

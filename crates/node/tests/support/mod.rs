//! Helpers shared by the tests with real processes: opening a site that is ready, and waiting for a
//! condition.

use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use gaplock_platform_standin::site::{self, Output, Plan, Site};

const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Opens a site whose hosts are ready and write their output to a file.
#[allow(dead_code)] // not every test that shares these helpers uses it
pub fn open_site(hosts: usize, workers: usize, work: Duration) -> Site {
    open_site_with(hosts, workers, work, Output::File)
}

/// Opens a site whose hosts are ready.
#[allow(dead_code)] // not every test that shares these helpers uses it
pub fn open_site_with(hosts: usize, workers: usize, work: Duration, output: Output) -> Site {
    open_plan(&plan(hosts, workers, work, output))
}

/// Returns the plan of a site whose settings are left to the daemon's defaults.
#[allow(dead_code)] // not every test that shares these helpers uses it
pub fn plan(hosts: usize, workers: usize, work: Duration, output: Output) -> Plan {
    Plan {
        program: PathBuf::from(env!("CARGO_BIN_EXE_gaplock-node")),
        dir: PathBuf::from(env!("CARGO_TARGET_TMPDIR")),
        hosts,
        workers,
        work,
        output,
        threads: None,
        status_s: None,
        limits: None,
    }
}

/// Opens a site after a plan, whose hosts are ready.
#[allow(dead_code)] // not every test that shares these helpers uses it
pub fn open_plan(plan: &Plan) -> Site {
    let site = site::open(plan).expect("the site starts");
    for host in &site.hosts {
        wait_for("readiness", || host.is_ready());
    }
    site
}

/// Waits until a condition is met, and fails the test if that takes too long.
pub fn wait_for(what: &str, mut met: impl FnMut() -> bool) {
    let began = Instant::now();
    while !met() {
        assert!(began.elapsed() < WAIT_LIMIT, "waited too long for {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Opens a site whose hosts have network links of these bandwidths, in Mbit/s, and are ready.
#[allow(dead_code)] // not every test that shares these helpers uses it
pub fn open_site_on_links(mbps: &[f64], workers: usize, work: Duration) -> Site {
    let plan = plan(mbps.len(), workers, work, Output::File);
    let site = site::open_on_links(&plan, mbps).expect("the site starts");
    for host in &site.hosts {
        wait_for("readiness", || host.is_ready());
    }
    site
}

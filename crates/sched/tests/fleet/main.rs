//! Tests of the scheduler against a simulated fleet on virtual time. [`world`] simulates the workers, the
//! store, the calls between them and their faults; each other module holds the tests of one subject.

mod backlogs;
mod bursts;
mod cancelled;
mod cancelled_mix;
mod cancelled_runs;
mod capacity;
mod checkpoints;
mod crashes;
mod directory_age;
mod evacuations;
mod foreign;
mod gangs;
mod innocents;
mod late_accounts;
mod late_paces;
mod late_starts;
mod late_upkeeps;
mod late_writes;
mod leaving;
mod odd_jobs;
mod packing;
mod promises;
mod renewals;
mod restarts;
mod sharing;
mod slow_workers;
mod takeovers;
mod trials;
mod waves;
mod whole_fleet;
mod withdrawals;
mod world;

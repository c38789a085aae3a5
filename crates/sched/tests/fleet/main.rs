//! Tests of the scheduler against a simulated fleet on virtual time. [`simulation`] simulates the workers,
//! the store, the calls between them and their faults; each other module holds the tests of one subject.

mod backlogs;
mod best_effort;
mod bursts;
mod cancelled;
mod cancelled_mix;
mod cancelled_runs;
mod capacity;
mod checkpoints;
mod crash_attribution;
mod crashes;
mod directory_age;
mod evacuations;
mod extreme_jobs;
mod foreign_entries;
mod gangs;
mod invariants;
mod large_fleets;
mod late_maintenance_orders;
mod late_pace_orders;
mod late_reports;
mod late_starts;
mod late_writes;
mod leaving_workers;
mod maintenance_waves;
mod packing;
mod renewals;
mod restarts;
mod shares;
mod simulation;
mod slow_workers;
mod suspect_isolation;
mod takeovers;
mod withdrawn_starts;

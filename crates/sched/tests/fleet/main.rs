//! The scheduler on virtual time, with a fleet that goes wrong in all the ways that workers do.

mod backlogs;
mod bursts;
mod capacity;
mod checkpoints;
mod crashes;
mod directory_age;
mod evacuations;
mod foreign;
mod gangs;
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
mod sharing;
mod slow_workers;
mod takeovers;
mod trials;
mod waves;
mod withdrawals;
mod world;

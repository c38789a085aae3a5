//! The functions that change the scheduler's state. They write the log lines of the changes and
//! queue the actions that the driver carries out.

pub mod abandoned_starts;
pub mod accounting;
pub mod best_effort_limits;
pub mod checkpoints;
pub mod commits;
pub mod crashes;
pub mod directory;
pub mod dispatch;
pub mod drain;
pub mod ends;
pub mod evacuation;
pub mod freshness;
pub mod gangs;
pub mod intake;
pub mod leases;
pub mod lifecycle;
pub mod maintenance;
pub mod moving;
pub mod orders;
pub mod pacing;
pub mod permits;
pub mod renewals;
pub mod restarts;
pub mod roster;
pub mod scarcity;
pub mod shares;
pub mod speed;
pub mod starts;
pub mod steering;
pub mod stragglers;
pub mod takeover;
pub mod terminated;
pub mod trace;
pub mod trials;
pub mod worker_report;

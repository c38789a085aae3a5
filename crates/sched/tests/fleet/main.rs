//! The scheduler on virtual time, with a fleet that goes wrong in all the ways that workers do.

mod gangs;
mod leaving;
mod promises;
mod renewals;
mod slow_workers;
mod waves;
mod world;

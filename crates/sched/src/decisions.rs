//! Functions that read the state and return an answer; they change nothing.

pub mod requests;
pub mod availability;
pub mod ranking;
pub mod interference;
pub mod best_effort;
pub mod leaving;
pub mod losses;
pub mod paces;
pub mod placement;
pub mod racks;
pub mod free_capacity;
pub mod slowness;
pub mod waves;

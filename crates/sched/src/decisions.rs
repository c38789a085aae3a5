//! Decision functions: they read the state and return an answer, and change nothing.

pub mod availability;
pub mod best_effort;
pub mod free_capacity;
pub mod interference;
pub mod leaving;
pub mod losses;
pub mod paces;
pub mod placement;
pub mod racks;
pub mod ranking;
pub mod requests;
pub mod shares;
pub mod slowness;
pub mod waves;

//! Decision functions: they read the state and return an answer, and change nothing.

pub mod availability;
pub mod best_effort;
pub mod concurrency_limit;
pub mod free_capacity;
pub mod interference;
pub mod leaving;
pub mod load;
pub mod losses;
pub mod order;
pub mod paces;
pub mod placement;
pub mod racks;
pub mod ranking;
pub mod requests;
pub mod run_times;
pub mod shares;
pub mod slack;
pub mod slowness;
pub mod steering;
pub mod waves;

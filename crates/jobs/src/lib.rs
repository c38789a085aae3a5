//! Plain data about jobs made of steps: what callers hand in, and how far each job has come.
//!
//! These types are what the scheduler, the store and the callers' interface have in common. They
//! hold no decision. `docs/PLATFORM.md` says which of them is stored under which key.

pub mod config;
pub mod job;
pub mod progress;

pub use job::{Job, JobKey, Step, TaskKey};

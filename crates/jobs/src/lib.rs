//! Data types for jobs made of steps: what callers submit, and the progress of each job.
//!
//! The scheduler, the store and the callers' interface share these types. They make no scheduling
//! decisions. `docs/PLATFORM.md` says which of them is stored under which key.

pub mod config;
pub mod job;
pub mod progress;

pub use job::{Job, JobKey, Step, TaskKey};

//! The scheduler's state and decisions, without any input or output.
//!
//! [`context::Context`] owns everything that the leader of an installation knows. It takes events,
//! each with the time at which it happened, and produces actions. A driver carries the actions out
//! and reports their results as events. `docs/PLATFORM.md` explains the design, above all why a new
//! leader learns from the workers themselves what they run.

pub mod changes;
pub mod context;
pub mod decisions;
pub mod interface;
pub mod state;

pub use changes::{commits, evacuation, freshness, pacing, permits, renewals, takeover};
pub use context::Context;
pub use decisions::{concurrency_limit, free_capacity, load, requests, shares};
pub use interface::message::{Action, Event};
pub use interface::settings::Settings;
pub use interface::{claims, commit_writer, event_queue, message, search_budget, settings};
pub use state::{answer_times, delay, job_table, worker};

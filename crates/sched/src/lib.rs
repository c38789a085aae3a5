//! The scheduler's decisions and state, without any input or output.
//!
//! [`context::Context`] owns everything that the leader of an installation knows. Events go in
//! with the time at which they happened, actions come out; a driver carries the actions out and
//! reports what became of them. `docs/PLATFORM.md` explains the design, above all why a successor
//! learns what runs from the workers themselves.

pub mod changes;
pub mod context;
pub mod decisions;
pub mod interface;
pub mod state;

pub use changes::{commits, evacuation, freshness, pacing, permits, renewals, takeover};
pub use context::Context;
pub use decisions::free_capacity;
pub use interface::message::{Action, Event};
pub use interface::settings::Settings;
pub use interface::{claims, commit_writer, message, search_budget, settings};
pub use state::{job_table, worker};

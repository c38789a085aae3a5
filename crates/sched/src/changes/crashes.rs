//! Tasks that crash the workers which run them.
//!
//! A run that goes with its worker leaves no listed end: only the loss of the worker tells of it. So
//! each worker that is lost without having left counts against the tasks that ran there. From then
//! on a task is a suspect. It starts again only once the count is stored, so that no successor forgets
//! it, and alone on a worker where one is free (`trials.rs`), so that a further crash takes nothing else
//! down and speaks against it alone. After three or four workers its job fails.
//!
//! What looks like a crash and is none is not counted, or taken back: a worker that leaves, leases that
//! were left to end, a worker that answers again. Many workers lost at one time raise a doubt only
//! (`docs/PLATFORM.md`, section Crashing tasks). `decisions/losses.rs` says against whom a loss speaks,
//! `evidence` counts it, `state/suspicion.rs` keeps it, `verdict` ends it, `inherited` finds what
//! predecessors saw, `recorded` stores where a suspect starts.

mod evidence;
mod inherited;
pub mod recorded_starts;
pub mod reserved;
mod resolution;
pub mod saved;

pub use evidence::worker_lost;
pub use inherited::{
    count_loss_of_holder, count_losses_without_holder, register_suspects, restore_suspicion,
};
pub use resolution::{check, worker_answers, worker_terminated};

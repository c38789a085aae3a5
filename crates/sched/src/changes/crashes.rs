//! Handles tasks that crash the workers that run them.
//!
//! A run that ends with its worker leaves no listed end; only the loss of the worker shows it. So
//! the loss of each worker that was not leaving counts against the tasks that ran there. From then
//! on such a task is a suspect. It starts again only after the count has been stored, so that no
//! successor forgets it, and alone on a worker if one is free (`trials.rs`), so that a further
//! crash takes down nothing else and counts against this task only. After three or four lost
//! workers its job fails.
//!
//! Losses that are no crashes are not counted, or are taken back: a worker that leaves, leases that
//! were left to expire on purpose, a worker that answers again. Many workers lost at one time leave
//! only a possible crash for each task (`docs/PLATFORM.md`, section Crashing tasks).
//! `decisions/losses.rs` decides against which tasks a loss counts, `evidence` counts it,
//! `state/crash_evidence.rs` holds it, `resolution` resolves it, `inherited` finds losses under
//! previous leaders, and `recorded_starts` stores where a suspect starts.

mod evidence;
mod inherited;
pub mod recorded_starts;
pub mod reserved;
mod resolution;
pub mod saved;

pub use evidence::worker_lost;
pub use inherited::{
    count_loss_of_holder, count_losses_without_holder, register_suspects, restore_crash_evidence,
};
pub use resolution::{check, worker_answers, worker_terminated};

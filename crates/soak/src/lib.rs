//! Long randomised runs of the coordination code on virtual time.
//!
//! The seed determines everything: which messages are lost, duplicated, delayed and thereby
//! reordered; which entries and workers are killed, frozen, partitioned or replaced; when the store
//! is down, slow or loses answers; and what callers and operators do. The nodes are those of the
//! daemons; the store and the workers are the models of the stand-ins. A run ends with a quiet phase
//! in which all work must finish, and then the checkers report their findings. The same seed gives
//! the same run.

pub mod check;
pub mod clients;
pub mod faults;
pub mod processes;
pub mod run;
pub mod seeds;
pub mod simulation;

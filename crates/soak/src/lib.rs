//! Long randomised runs of the coordination parts on virtual time.
//!
//! A seed decides everything: which messages are lost, doubled, delayed and so reordered, which
//! entries and workers are killed, frozen, cut off or replaced, when the store is down, slow or
//! loses answers, and what callers and operators do. The nodes are the daemons' own; the store
//! and the workers are the stand-ins' models. A run ends with a quiet time in which everything
//! must finish, and the judges are read. The same seed gives the same run.

pub mod check;
pub mod clients;
pub mod faults;
pub mod processes;
pub mod run;
pub mod seeds;
pub mod world;

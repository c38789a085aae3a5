//! Small models of the platform: its store, its host list and its workers.
//!
//! They replace the platform in tests, proofs and measurements, and are not shipped. The store and
//! the workers are sans-I/O models with a thin HTTP program around each, so that the soak test runs
//! the same model on virtual time that the proofs run as a process. Each worker contains a checker
//! that counts violations of invariants.

pub mod checker;
pub mod interference;
pub mod store;
pub mod worker;

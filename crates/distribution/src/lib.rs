//! How a version of the operators' configuration reaches every host, and what a host may answer by
//! the version that it has.
//!
//! All code here is sans-I/O: time is an argument, and the caller carries out the steps. The reasons
//! for the design are in `docs/design/configuration.md`.

pub mod knowledge;
pub mod message;
pub mod spread;

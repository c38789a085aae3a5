//! Decisions under overload: how much work each queue has, and what follows from that for starts
//! and for callers.
//!
//! All code here is sans-I/O: it works on plain data and takes the time as an argument. It knows
//! neither jobs nor hosts, so it can be embedded without the rest of the scheduler.
//! `docs/design/hard-load.md` describes the decisions and the loads that they handle.

pub mod account;
pub mod admission;
pub mod budget;
pub mod estimates;
pub mod share;
pub mod steer;
pub mod summary;

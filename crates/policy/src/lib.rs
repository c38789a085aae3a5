//! Scheduling and routing decisions: where work is placed, in which order, and what is throttled,
//! refused or retried.
//!
//! All code here is sans-I/O: time and randomness are arguments and decisions are return values, so
//! that a run can be replayed from its seed. Learned values are a cache that may be lost at any
//! time; this crate holds no state that must be durable. `docs/DECISIONS.md` gives the reason for
//! each rule.

pub mod announcements;
pub mod attempts;
pub mod authority;
pub mod connections;
pub mod estimate;
pub mod fair;
pub mod followers;
pub mod guard;
pub mod health;
pub mod interference;
pub mod placement;
pub mod refusals;
pub mod retry;
pub mod route;
pub mod store_outcome;
pub mod succession;
pub mod tail;

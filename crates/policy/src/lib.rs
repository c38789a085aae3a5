//! The decisions: where work goes, who goes first, what is throttled, refused or tried again.
//!
//! Everything here is sans-I/O: time and randomness come in as arguments and decisions go out as
//! values, so that seeds replay. Learnt values are a cache that may be lost at any time; nothing
//! that must last lives in this crate. `docs/DECISIONS.md` says why each rule is as it is.

pub mod attempts;
pub mod connections;
pub mod estimate;
pub mod fair;
pub mod followers;
pub mod guard;
pub mod health;
pub mod interference;
pub mod placement;
pub mod retry;
pub mod route;
pub mod store_outcome;
pub mod succession;
pub mod tail;

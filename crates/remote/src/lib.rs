//! Adapters to what the platform gives: its key-value service, its host list, its workers.
//!
//! One module for each outside system, so that another wire format touches nothing else. All
//! three speak HTTP over [`http`], a small keep-alive client that never reuses a connection on
//! which an answer is still owed and never takes a cut answer for a whole one.

pub mod clock;
pub mod hosts;
pub mod http;
pub mod store;
pub mod worker;

//! Clients of the platform's services: its key-value service, its host list and its workers.
//!
//! Each external system has a module of its own, so that a change of its wire format affects only
//! that module. All three use [`http`], a small keep-alive client that never reuses a connection on
//! which an answer is outstanding and never accepts a truncated answer as complete. The hosts'
//! clocks are read here too.

pub mod clock;
pub mod hosts;
pub mod http;
pub mod store;
pub mod wire;
pub mod worker;

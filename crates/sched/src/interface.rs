//! What the driver shares with the scheduler: events, actions, records, settings, and what is stored.

pub mod claims;
pub mod commit_writer;
pub mod message;
pub mod proof;
pub mod search_budget;
pub mod settings;

//! The types that the driver and the scheduler exchange: events, actions, stored records and
//! settings.

pub mod claims;
pub mod commit_writer;
pub mod event_queue;
pub mod message;
pub mod proof;
pub mod search_budget;
pub mod settings;

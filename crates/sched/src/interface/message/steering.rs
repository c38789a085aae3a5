//! The operators' instructions for queues.

use std::collections::BTreeMap;

use gaplock_overload::steer::Steer;

/// The operators' instructions, as stored at one revision of the store.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Steering {
    /// The store's revision at which they were read.
    pub revision: u64,
    /// The instruction for each queue that has one; its end may have passed.
    pub queues: BTreeMap<String, Steer>,
}

//! The operators' instruction on evacuated failure domains.

use std::collections::BTreeSet;

use gaplock_types::ids;

/// The failure domains that the operators have evacuated, as stored at one revision of the store.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Evacuated {
    /// The store's revision at which the instruction was read.
    pub revision: u64,
    /// All evacuated domains.
    pub domains: BTreeSet<ids::DomainId>,
}

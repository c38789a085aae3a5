//! The operators' word on evacuated failure domains.

use std::collections::BTreeSet;

use gaplock_types::ids;

/// The operators' word on which failure domains are evacuated, as it lay in the store at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Evacuated {
    /// The store's revision at which it was read.
    pub revision: u64,
    /// All evacuated domains.
    pub domains: BTreeSet<ids::DomainId>,
}

//! How far the store and its directory have been read.

use gaplock_types::time::Instant;

/// The store's revision at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RevisionSample {
    /// When the store was asked.
    pub sent: Instant,
    /// The revision that it was at then, or later.
    pub revision: u64,
}

/// A reading of the directory whose changes have been handed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DirectoryRead {
    /// When the directory was asked for.
    pub sent: Instant,
    /// The revision up to which it was read.
    pub revision: u64,
    /// Whether the answer left nothing out that had been written when it was asked for.
    pub complete: bool,
}

//! How far the store and its directory have been read.

use gaplock_types::time::Instant;

/// A reading of the store's revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RevisionSample {
    /// When the store was asked.
    pub sent: Instant,
    /// The revision at that time, or a later one.
    pub revision: u64,
}

/// A completed read of the directory; the events of its changes have been reported before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DirectoryRead {
    /// When the directory was requested.
    pub sent: Instant,
    /// The revision up to which it was read.
    pub revision: u64,
    /// Whether the answer contains everything that had been written when the directory was
    /// requested.
    pub complete: bool,
}

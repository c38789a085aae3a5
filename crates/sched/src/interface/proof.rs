//! What proves that a run is not at a worker and never will be.

/// Why the task of a run may go elsewhere though no end of the run is listed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseProof {
    /// No try of its start left this host.
    NeverSent,
    /// The worker refused its start.
    Refused,
    /// The worker had confirmed the run or its stop, and a later account does not list it.
    NotListed,
    /// All leases at the worker are over.
    LeaseOver,
    /// The worker's incarnation is over.
    WorkerGone,
}

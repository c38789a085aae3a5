//! Proofs that a run is not at a worker and never will be.

/// Why the task of a run may start elsewhere although no end of the run is listed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseProof {
    /// No attempt to start it left this host.
    NeverSent,
    /// The worker refused its start.
    Refused,
    /// The worker had confirmed the run or its stop, and a later report does not list it.
    NotListed,
    /// All leases at the worker have expired.
    LeaseOver,
    /// The worker's incarnation has ended.
    WorkerGone,
}

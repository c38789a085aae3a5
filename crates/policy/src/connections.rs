//! How many idle connections a leader keeps open to each worker.
//!
//! An idle connection saves a task start the time and cost of a new one. In a large fleet the
//! number of idle connections grows with the workers until the process has no file descriptor left
//! for a new connection, and then it can neither start tasks nor renew leases. The file descriptor
//! limit therefore bounds their number.

/// The maximum number of idle connections to one worker: one to renew its leases, the others for
/// orders.
const MAX_IDLE_PER_WORKER: usize = 4;

/// The share of the file descriptors that connections to workers may use, in percent. The others
/// are for files, callers, other hosts and the store, and for bursts of orders to single workers.
const DESCRIPTOR_SHARE_PERCENT: usize = 70;

/// Returns how many idle connections to each worker may be kept by a process that may open
/// `descriptors` files and leads `workers` workers. One more connection to each worker is in use.
pub fn idle_connections_per_worker(descriptors: usize, workers: usize) -> usize {
    let per_worker = descriptors * DESCRIPTOR_SHARE_PERCENT / 100 / workers.max(1);
    per_worker.saturating_sub(1).clamp(1, MAX_IDLE_PER_WORKER)
}

//! How many unused connections a leader keeps to each worker.
//!
//! A kept connection saves a start the time and price of a new one. On a large fleet the kept ones
//! grow with the workers until the process has no descriptor left for a new one, and then it can
//! neither start tasks nor renew leases. So their number is what the descriptors allow.

/// The most that are kept to one worker: one for its renewal, the others for orders.
const MAX_IDLE_PER_WORKER: usize = 4;

/// The part of the descriptors that connections to workers may take, in percent. The others are for
/// files, callers, other hosts and the store, and for bursts of orders to single workers.
const DESCRIPTOR_SHARE_PERCENT: usize = 70;

/// Returns how many unused connections may be kept to each worker, of a process that may open
/// `descriptors` files and leads `workers` workers. Each has a connection in use besides.
pub fn idle_connections_per_worker(descriptors: usize, workers: usize) -> usize {
    let for_each = descriptors * DESCRIPTOR_SHARE_PERCENT / 100 / workers.max(1);
    for_each.saturating_sub(1).clamp(1, MAX_IDLE_PER_WORKER)
}

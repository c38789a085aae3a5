//! What the coordination parts ask their driver to do, and what it tells them back.

use gaplock_policy::route;
use gaplock_types::{api, ids, wire};

/// Marks a store call, so that its answer finds its asker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct CallId(pub u64);

/// Marks a command whose sender waits for a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ReplyId(pub u64);

/// A key of the store with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Kv {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The modification index.
    pub index: ids::StoreIndex,
}

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Write `value` if the key's modification index is still `index` (0: does not exist).
    Cas {
        /// The key.
        key: String,
        /// The new value.
        value: Vec<u8>,
        /// The expected modification index.
        index: ids::StoreIndex,
    },
    /// Remove a key if its modification index is still `index`.
    Delete {
        /// The key.
        key: String,
        /// The expected modification index.
        index: ids::StoreIndex,
    },
    /// Read one key.
    Get {
        /// The key.
        key: String,
    },
    /// Read every key below a prefix, at one moment.
    List {
        /// The prefix.
        prefix: String,
    },
}

/// The answer to a [`StoreCall`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreAnswer {
    /// The write took effect; the key has this index now.
    Written(ids::StoreIndex),
    /// The write did not take effect, because the index differed.
    Conflict,
    /// The keys that were read.
    Read(Vec<Kv>),
    /// No answer, or an error: a write may or may not have taken effect.
    Unclear,
}

/// A command to a worker.
#[derive(Debug, Clone)]
pub enum WorkerCall {
    /// Take or renew the right to command it.
    Lease(wire::LeaseRequest),
    /// Start a run.
    Start(wire::StartRequest),
    /// Stop or throttle a run.
    Control(wire::ControlRequest),
}

/// A worker's answer.
#[derive(Debug, Clone)]
pub enum WorkerAnswer {
    /// The answer to a lease request.
    Lease(wire::LeaseReply),
    /// The answer to a command.
    Verdict(wire::CommandOutcome),
    /// No answer: the command may or may not have reached the worker.
    Unclear,
}

/// Something for the driver to do.
#[derive(Debug, Clone)]
pub enum Action {
    /// Call the store.
    Store {
        /// Marks the answer.
        call: CallId,
        /// The call.
        req: StoreCall,
    },
    /// Call a worker; the answer goes back to the partition.
    Worker {
        /// The partition.
        partition: ids::PartitionId,
        /// The worker.
        worker: ids::WorkerId,
        /// The worker's address.
        addr: String,
        /// The call.
        req: WorkerCall,
    },
    /// Answer a waiting command.
    Reply {
        /// Marks the command.
        id: ReplyId,
        /// The answer.
        reply: api::Reply,
    },
    /// Send a heartbeat to every peer.
    Beat(api::Heartbeat),
    /// Tell a peer that it should claim a partition now, because this entry has released it.
    HandOver {
        /// The peer.
        to: ids::EntryId,
        /// The partition.
        partition: ids::PartitionId,
    },
    /// Offer a worker's slots to the router.
    Offer(route::WorkerUpdate),
    /// Tell the router how many slots of a worker are taken, by the worker's word.
    Busy {
        /// The worker.
        worker: ids::WorkerId,
        /// Requests that it was working on.
        busy: u32,
        /// When the question was sent.
        asked_at: gaplock_types::time::Instant,
    },
    /// Send nothing more to a partition's workers.
    ClosePartition(ids::PartitionId),
    /// Send a command about a lent run to another partition's owner, wherever that is.
    Ask {
        /// The partition that asks.
        from: ids::PartitionId,
        /// The partition that is asked.
        to: ids::PartitionId,
        /// The lender's run.
        run: wire::Run,
        /// The command.
        command: api::Command,
    },
    /// Ask a peer for the configuration that it has in force.
    FetchConfig {
        /// The peer.
        from: ids::EntryId,
    },
    /// Answer a waiting confirmation.
    Confirmed {
        /// Marks the confirmation.
        id: ReplyId,
        /// The generation, or why not.
        outcome: std::result::Result<ids::Generation, api::Refusal>,
    },
    /// Put a configuration in force.
    InForce(std::sync::Arc<gaplock_types::config::Config>),
    /// Log a decision.
    Note(Note),
    /// Log and count a violated invariant; the offending action has been left out.
    Violated(gaplock_verify::Violation),
}

/// A decision worth a log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Note {
    /// What kind of decision, a fixed word for counting.
    pub kind: &'static str,
    /// What it is about.
    pub subject: String,
    /// The reason.
    pub why: String,
}

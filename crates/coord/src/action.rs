//! The actions that the coordination modules request from their driver, and the answers to them.
//!
//! They keep the modules free of I/O: the driver carries out the actions and reports the answers.

use gaplock_policy::route;
use gaplock_types::{api, ids, wire};

/// Identifies a store call, to match its answer to the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct CallId(pub u64);

/// Identifies a command whose sender waits for a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ReplyId(pub u64);

/// A key of the store, with its value.
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
    /// Read all keys below a prefix, in one consistent read.
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
    /// Acquire or renew the lease that allows the owner to command the worker.
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
    CommandOutcome(wire::CommandOutcome),
    /// No answer: the worker may or may not have received the command.
    Unclear,
}

/// An operation that the driver carries out.
#[derive(Debug, Clone)]
pub enum Action {
    /// Call the store.
    Store {
        /// Identifies the answer.
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
    /// Answer a command whose sender waits.
    Reply {
        /// Identifies the command.
        id: ReplyId,
        /// The answer.
        reply: api::Reply,
    },
    /// Send a heartbeat to every peer.
    Heartbeat(api::Heartbeat),
    /// Tell a peer to claim a partition now, because this entry has released it.
    HandOver {
        /// The peer.
        to: ids::EntryId,
        /// The partition.
        partition: ids::PartitionId,
    },
    /// Offer a worker's slots to the router.
    Offer(route::WorkerUpdate),
    /// Tell the router how many slots of a worker are occupied, as the worker reported.
    BusySlots {
        /// The worker.
        worker: ids::WorkerId,
        /// Requests that the worker was handling.
        busy: u32,
        /// When the worker was asked.
        asked_at: gaplock_types::time::Instant,
    },
    /// Stop sending requests to a partition's workers.
    ClosePartition(ids::PartitionId),
    /// Send a command about a lent run to the owner of another partition, on any entry.
    ForwardCommand {
        /// The partition that sends the command.
        from: ids::PartitionId,
        /// The partition that receives the command.
        to: ids::PartitionId,
        /// The run, as the lending partition identifies it.
        run: wire::Run,
        /// The command.
        command: api::Command,
    },
    /// Fetch the configuration that a peer has in force.
    FetchConfig {
        /// The peer.
        from: ids::EntryId,
    },
    /// Answer an operator who waits for the confirmation of a plan.
    Confirmed {
        /// Identifies the confirmation.
        id: ReplyId,
        /// The generation that the plan created, or the refusal.
        outcome: std::result::Result<ids::Generation, api::Refusal>,
    },
    /// Put a configuration in force in the driver.
    InForce(std::sync::Arc<gaplock_types::config::Config>),
    /// Log a decision.
    Decision(Decision),
    /// Log and count a violated invariant; the action that violates it was not taken.
    Violated(gaplock_verify::Violation),
}

/// A decision that is logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// The kind of decision, a fixed word by which decisions are counted.
    pub kind: &'static str,
    /// What the decision concerns.
    pub subject: String,
    /// The reason for the decision.
    pub why: String,
}

//! The contents of a partition's journal: records, which are committed in groups as entries.
//!
//! Records are the only durable form of a partition's state, so each change of it is one.

use gaplock_types::{api, ids, sizes, wire};
use serde::{Deserialize, Serialize};

/// One change of a partition's state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// An entry becomes the owner of the partition; this record fences all lower epochs.
    Claim,
    /// The owner releases the partition and does not renew leases any more.
    Release,
    /// A job is stored.
    JobAdd {
        /// The job's number in this partition.
        number: u64,
        /// The partner, or `gaplock` for service replicas.
        partner: ids::PartnerId,
        /// The submitter's request key.
        key: ids::RequestKey,
        /// A digest of the submission.
        digest: String,
        /// What kind of task it runs.
        kind: wire::TaskKind,
        /// What one task may use.
        demand: sizes::Resources,
        /// The declared work of one task, in milliseconds.
        work_ms: u64,
        /// The number of tasks.
        tasks: u32,
        /// Whether its tasks go ahead of the partner's other tasks.
        urgent: bool,
        /// When it was stored, in milliseconds since 1970.
        at_unix_ms: u64,
    },
    /// A job gets one more task, for example a service replica.
    TaskAdd {
        /// The job's number.
        number: u64,
    },
    /// A task is assigned to a worker. The start command is sent after this record is stored.
    Assign {
        /// The run.
        run: wire::Run,
        /// The worker.
        worker: ids::WorkerId,
        /// The worker's boot, which identifies its current incarnation.
        boot: wire::Boot,
        /// What is reserved on the worker.
        reserve: sizes::Resources,
    },
    /// A task is lent to another partition, which is notified after this record is stored.
    Lend {
        /// The run.
        run: wire::Run,
        /// The other partition.
        to: ids::PartitionId,
        /// What counts against the partner's quota.
        reserve: sizes::Resources,
    },
    /// A borrowed task starts at the lending partition's checkpoint.
    ResumeFrom {
        /// The task.
        task: ids::TaskId,
        /// The work that the checkpoint preserves, in milliseconds.
        checkpoint_ms: u64,
    },
    /// A run has stopped for certain; its task waits again.
    Requeue {
        /// The run.
        run: wire::Run,
        /// The work that the checkpoint preserves, in milliseconds.
        checkpoint_ms: u64,
        /// Whether gaplock evicted the run.
        evicted: bool,
        /// Whether the task itself failed.
        failed: bool,
        /// Whether the worker rebooted soon after the run's start.
        #[serde(default)]
        crashed: bool,
        /// Why.
        why: String,
    },
    /// A run finished its work.
    Finish {
        /// The run.
        run: wire::Run,
    },
    /// A task is abandoned and not run again.
    GiveUp {
        /// The task.
        task: ids::TaskId,
        /// Why.
        why: String,
    },
    /// A job, or one task of it, is cancelled: waiting tasks end, running ones are stopped.
    Cancel {
        /// The job's number.
        number: u64,
        /// The index of the one task to cancel; `None` cancels the whole job.
        index: Option<u32>,
    },
    /// A cancelled run has stopped for certain.
    Cancelled {
        /// The run.
        run: wire::Run,
    },
    /// An ended job is removed.
    JobForget {
        /// The job's number.
        number: u64,
    },
    /// A request that must not be repeated is claimed.
    OnceClaim {
        /// Partner and key.
        id: String,
        /// A digest of the request.
        digest: String,
        /// Who claimed it.
        claimer: String,
        /// When, in milliseconds since 1970.
        at_unix_ms: u64,
    },
    /// A claimed request has ended; `NotRun` removes the claim.
    OnceEnd {
        /// Partner and key.
        id: String,
        /// How it ended.
        end: api::OnceEnd,
    },
    /// An old claim is removed, or only its stored answer.
    OnceForget {
        /// Partner and key.
        id: String,
        /// Whether the claim itself is removed too.
        whole: bool,
    },
    /// An operator declared a worker's current boot dead.
    WorkerDead {
        /// The worker.
        worker: ids::WorkerId,
    },
    /// A worker declared dead has answered again under another boot.
    WorkerBack {
        /// The worker.
        worker: ids::WorkerId,
    },
}

/// A group of records that is committed atomically.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The position in the journal.
    pub seq: ids::Seq,
    /// The epoch of the owner that wrote it.
    pub epoch: ids::Epoch,
    /// The owner that wrote it.
    pub owner: ids::Member,
    /// The records, in order.
    pub records: Vec<Record>,
}

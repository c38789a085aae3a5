//! What a partition's journal holds: records, committed in groups as entries.

use gaplock_types::{api, ids, sizes, wire};
use serde::{Deserialize, Serialize};

/// One change of a partition's state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// An entry takes the partition over; every entry of a lower epoch is fenced by this record.
    Claim,
    /// The owner gives the partition up and will not renew leases any more.
    Release,
    /// A job is stored.
    JobAdd {
        /// The job's number in this partition.
        number: u64,
        /// The partner, or `gaplock` for service replicas.
        partner: ids::PartnerId,
        /// The submitter's key.
        key: ids::RequestKey,
        /// A digest of the submission.
        digest: String,
        /// What it is.
        kind: wire::TaskKind,
        /// What one task may hold.
        demand: sizes::Resources,
        /// Declared work of one task.
        work_ms: u64,
        /// Tasks.
        tasks: u32,
        /// Whether it goes first.
        urgent: bool,
        /// When it was stored, in milliseconds since 1970.
        at_unix_ms: u64,
    },
    /// A job gets one more task, as for a service replica.
    TaskAdd {
        /// The job's number.
        number: u64,
    },
    /// A task is assigned to a worker; its start is sent after this record is stored.
    Assign {
        /// The run.
        run: wire::Run,
        /// The worker.
        worker: ids::WorkerId,
        /// The worker's boot.
        boot: wire::Boot,
        /// What is reserved.
        reserve: sizes::Resources,
    },
    /// A task is lent to another partition, which is told after this record is stored.
    Lend {
        /// The run.
        run: wire::Run,
        /// The other partition.
        to: ids::PartitionId,
        /// What counts against the partner's quota.
        reserve: sizes::Resources,
    },
    /// A borrowed task begins at the lender's checkpoint.
    ResumeFrom {
        /// The task.
        task: ids::TaskId,
        /// Work that is kept, in milliseconds.
        checkpoint_ms: u64,
    },
    /// A run is proven stopped; its task waits again.
    Requeue {
        /// The run.
        run: wire::Run,
        /// Work that is kept, in milliseconds.
        checkpoint_ms: u64,
        /// Whether gaplock moved it away.
        evicted: bool,
        /// Whether the task itself failed.
        failed: bool,
        /// Whether its worker booted anew soon after its start.
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
    /// A task is given up.
    GiveUp {
        /// The task.
        task: ids::TaskId,
        /// Why.
        why: String,
    },
    /// A job, or one task of it, is not wanted any more; waiting tasks end, running ones are
    /// stopped.
    Cancel {
        /// The job's number.
        number: u64,
        /// One task only.
        index: Option<u32>,
    },
    /// A cancelled run is proven stopped.
    Cancelled {
        /// The run.
        run: wire::Run,
    },
    /// An ended job is forgotten.
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
    /// A claimed request has ended; `NotRun` gives the claim back.
    OnceEnd {
        /// Partner and key.
        id: String,
        /// How.
        end: api::OnceEnd,
    },
    /// An old claim is forgotten, or only its kept answer.
    OnceForget {
        /// Partner and key.
        id: String,
        /// Whether the claim goes too.
        whole: bool,
    },
    /// An operator declared a worker's boot dead.
    WorkerDead {
        /// The worker.
        worker: ids::WorkerId,
    },
    /// A worker declared dead has been heard again under another boot.
    WorkerBack {
        /// The worker.
        worker: ids::WorkerId,
    },
}

/// A group of records that became true together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The position in the journal.
    pub seq: ids::Seq,
    /// The writer's epoch.
    pub epoch: ids::Epoch,
    /// The writer.
    pub owner: ids::Member,
    /// The records, in order.
    pub records: Vec<Record>,
}

//! Messages of the interface for callers, of the interface for operators' intents, and between
//! entries.

use serde::{Deserialize, Serialize};

use crate::codes;
use crate::config;
use crate::ids;
use crate::sizes;
use crate::wire;

/// A refusal or outcome as callers and operators receive it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// The result code's number.
    pub code: u16,
    /// The result code's name.
    pub name: String,
    /// Whether the work ran.
    pub ran: codes::Ran,
    /// An explanation for people.
    pub message: String,
    /// After how many seconds to retry.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u32>,
}

impl Refusal {
    /// Creates a refusal whose message ends with the remedy from the result code table.
    pub fn new(code: codes::Code, why: impl Into<String>) -> Self {
        let row = code.row();
        let why = why.into();
        let message =
            if why.is_empty() { row.remedy.to_string() } else { format!("{why}. {}", row.remedy) };
        let retry_after_s = row.remedy.contains("Retry-After").then_some(1);
        Self { code: row.number, name: row.name.to_string(), ran: row.ran, message, retry_after_s }
    }

    /// Sets after how many seconds the caller should retry.
    pub fn with_retry_after(mut self, seconds: u32) -> Self {
        self.retry_after_s = Some(seconds);
        self
    }

    /// Returns the code that this refusal carries.
    pub fn result_code(&self) -> codes::Code {
        codes::Code::from_number(self.code).unwrap_or(codes::Code::Internal)
    }
}

/// A job as its submitter describes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The batch class.
    pub class: ids::BatchClass,
    /// The resources that one task may use.
    pub demand: sizes::Resources,
    /// Declared work of one task, in milliseconds of run time without interference.
    pub work_ms: u64,
    /// How many tasks the job has.
    #[serde(default = "one_task")]
    pub tasks: u32,
    /// Whether it is scheduled before the partner's other work.
    #[serde(default)]
    pub urgent: bool,
}

fn one_task() -> u32 {
    1
}

/// The maximum number of tasks of one job.
pub const JOB_MAX_TASKS: u32 = 256;

/// The status of one task of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task.
    pub task: ids::TaskId,
    /// The name of its state in `charts/task.chart`.
    pub state: String,
    /// The worker that runs it.
    pub worker: Option<ids::WorkerId>,
    /// How often it has been assigned.
    pub attempts: u32,
    /// How often it has been evicted.
    pub evictions: u32,
    /// Why it waits, or how it ended.
    pub why: String,
}

/// The status of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    pub job: ids::JobId,
    /// The partner that submitted it.
    pub partner: ids::PartnerId,
    /// Its class or service.
    pub kind: wire::TaskKind,
    /// Its tasks.
    pub tasks: Vec<TaskStatus>,
    /// Whether every task has ended.
    pub ended: bool,
    /// The latest scheduling decisions about it, oldest first.
    pub history: Vec<String>,
}

/// A plan: what an operator's intent would change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The plan's id, with which it is confirmed.
    pub id: ids::PlanId,
    /// The generation that the plan would change.
    pub base: ids::Generation,
    /// What would change, one sentence for each change.
    pub changes: Vec<String>,
    /// What is refused, and why; a plan with refusals cannot be confirmed.
    pub refused: Vec<String>,
    /// For how long the plan can be confirmed, in seconds.
    pub lifetime_s: u64,
    /// The configuration that is in force once the plan is confirmed.
    pub wanted: config::Config,
}

/// Which entries use a generation of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// The newest generation that this entry knows to be accepted.
    pub generation: ids::Generation,
    /// The plan that made it.
    pub plan: ids::PlanId,
    /// Entries in which it is in force.
    pub in_force: Vec<ids::EntryId>,
    /// Entries that are not known to use it yet.
    pub waiting: Vec<ids::EntryId>,
}

/// One past generation of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HistoryRow {
    /// The generation.
    pub generation: ids::Generation,
    /// Who confirmed it.
    pub by: String,
    /// When it was confirmed, in milliseconds since 1970.
    pub at_unix_ms: u64,
    /// What changed, one sentence for each change.
    pub changes: Vec<String>,
    /// The plan that made it. A repeated confirmation finds the outcome of its plan by this; empty
    /// in rows of earlier versions.
    #[serde(default)]
    pub plan: ids::PlanId,
}

/// How many requests of a service an entry can accept.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The service.
    pub service: ids::ServiceId,
    /// Free slots on the workers that the entry owns.
    pub free: u32,
}

/// What an entry sends to each peer, several times within its lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: ids::Member,
    /// Whether the sender's last store call within its lease succeeded.
    pub store_ok: bool,
    /// Whether the sender is stopping.
    pub stopping: bool,
    /// The generation in force at the sender.
    pub generation: ids::Generation,
    /// The partitions it owns, with their epochs.
    pub owned: Vec<(ids::PartitionId, ids::Epoch)>,
    /// How many requests it can accept, by service.
    pub load: Vec<ServiceLoad>,
    /// The free capacity of those of its partitions in which no task waits.
    #[serde(default)]
    pub rooms: Vec<FreeCapacity>,
}

/// A command to the owner of a partition, forwarded by the entry that received it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Store a job; repeats with the same key store one job only.
    Submit {
        /// The partner that submits the job.
        partner: ids::PartnerId,
        /// The submitter's key for this job.
        key: ids::RequestKey,
        /// The job.
        spec: JobSpec,
    },
    /// Cancel a job.
    Cancel {
        /// The partner that cancels; `None` for operators' tools.
        partner: Option<ids::PartnerId>,
        /// The job.
        job: ids::JobId,
    },
    /// Return the status of a job.
    Status {
        /// The partner that asks; `None` for operators' tools.
        partner: Option<ids::PartnerId>,
        /// The job.
        job: ids::JobId,
    },
    /// Claim the single run of a request that must not be repeated.
    OnceClaim {
        /// The partner that sends the request.
        partner: ids::PartnerId,
        /// The caller's key.
        key: ids::RequestKey,
        /// A digest of the request, so that a key that is reused for another request is refused.
        digest: String,
        /// Identifies the claimer: repeats of its claim are granted again, claims of others are
        /// not.
        claimer: String,
    },
    /// Store how a claimed request ended.
    OnceDone {
        /// The partner that sent the request.
        partner: ids::PartnerId,
        /// The caller's key.
        key: ids::RequestKey,
        /// The claimer; the end of a claim of another claimer is not stored.
        claimer: String,
        /// How it ended.
        end: OnceEnd,
    },
    /// Record an operator's declaration that a worker's host is switched off, so that its tasks may
    /// run elsewhere.
    ConfirmDead {
        /// The worker.
        worker: ids::WorkerId,
        /// The boot that the operator was shown: a declaration that arrives late does not apply to
        /// a newer one.
        #[serde(default)]
        boot: Option<wire::Boot>,
    },
    /// Run a task that another partition lends, or return its state; may be repeated.
    Borrow(Loan),
    /// List the partition's jobs and workers, for operators.
    Survey,
}

/// A task that one partition lends to another one, which runs it in its place.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Loan {
    /// The lender's run.
    pub run: wire::Run,
    /// What the task is.
    pub kind: wire::TaskKind,
    /// The partner on whose behalf it runs.
    pub partner: ids::PartnerId,
    /// The resources that it may use.
    pub demand: sizes::Resources,
    /// Its work, in milliseconds of run time without interference.
    pub work_ms: u64,
    /// The checkpoint from which it resumes, in milliseconds of work.
    pub resume_ms: u64,
    /// Whether it is urgent.
    pub urgent: bool,
    /// Whether it is to be stopped and returned to the lender.
    pub stop: bool,
}

/// The state of a lent task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LoanState {
    /// It waits for a worker.
    Waiting,
    /// It is assigned to a worker, or has just been stored.
    Running,
    /// It finished.
    Done,
    /// It failed there and is not retried.
    Failed,
    /// It was stopped and has left its worker.
    Stopped,
}

/// The borrower's report on a lent task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoanReport {
    /// Its state.
    pub state: LoanState,
    /// Work that is saved in a checkpoint, in milliseconds.
    pub checkpoint_ms: u64,
}

/// The free capacity of a partition. It is part of every heartbeat, so its serialized form is a
/// plain list of numbers: partition, processors, memory, accelerators.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(from = "[u32; 4]", into = "[u32; 4]")]
pub struct FreeCapacity {
    /// The partition.
    pub partition: ids::PartitionId,
    /// The free resources of the worker that has the most.
    pub free: sizes::Resources,
}

impl From<[u32; 4]> for FreeCapacity {
    fn from([partition, cpu, mem, acc]: [u32; 4]) -> Self {
        let free = sizes::Resources::new(cpu, mem, acc);
        Self { partition: ids::PartitionId(partition), free }
    }
}

impl From<FreeCapacity> for [u32; 4] {
    fn from(room: FreeCapacity) -> Self {
        [room.partition.0, room.free.cpu.0, room.free.mem.0, room.free.acc]
    }
}

/// How a request that must not be repeated ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum OnceEnd {
    /// It ran and gave this answer.
    Ran {
        /// The HTTP status.
        status: u16,
        /// The body in base 64; none if it was too large to keep.
        body: Option<String>,
    },
    /// It certainly did not run; the claim is released.
    NotRun,
    /// It may have run.
    Unknown,
}

/// The owner's answer to a [`Command`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The job is stored.
    Submitted(ids::JobId),
    /// The command was carried out.
    Done,
    /// The state of a lent task.
    Loan(LoanReport),
    /// The job's status.
    Status(JobStatus),
    /// The claim is granted: the claimer runs the request once.
    Granted,
    /// The request was claimed before and has ended.
    Ended(OnceEnd),
    /// The partition's jobs and workers.
    Survey(PartitionSummary),
    /// The command was refused.
    Refused(Refusal),
}

/// A worker as its owner knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerRow {
    /// The worker.
    pub worker: ids::WorkerId,
    /// Its boot, as its owner knows it.
    #[serde(default)]
    pub boot: Option<wire::Boot>,
    /// Its failure domain.
    pub domain: ids::DomainId,
    /// Its partition.
    pub partition: ids::PartitionId,
    /// Its owner.
    pub owner: ids::EntryId,
    /// The name of its state in `charts/upstream.chart`.
    pub state: String,
    /// The resources that are assigned on it.
    pub used: sizes::Resources,
    /// Its capacity.
    pub capacity: sizes::Resources,
    /// The number of its tasks.
    pub tasks: u32,
}

/// A job in a [`PartitionSummary`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRow {
    /// The job.
    pub job: ids::JobId,
    /// Its partner.
    pub partner: ids::PartnerId,
    /// Its class or service.
    pub kind: wire::TaskKind,
    /// Tasks that wait for a worker.
    pub queued: u32,
    /// Tasks assigned to a worker.
    pub running: u32,
    /// Tasks that succeeded.
    pub done: u32,
    /// Tasks that failed or were cancelled.
    pub lost: u32,
}

/// The workers and jobs of a partition, as its owner knows them.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct PartitionSummary {
    /// The workers.
    pub workers: Vec<WorkerRow>,
    /// The jobs.
    pub jobs: Vec<JobRow>,
}

/// A service request that one entry forwards to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Forward {
    /// The service.
    pub service: ids::ServiceId,
    /// The path below the service.
    pub path: String,
    /// The body in base 64.
    pub body: String,
    /// How long the caller will still wait, in milliseconds.
    pub deadline_ms: u64,
    /// The request id, for logs.
    pub request_id: String,
    /// Whether the request may be sent twice.
    pub repeatable: bool,
}

/// The answer to a [`Forward`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ForwardReply {
    /// The worker's complete answer.
    Answer {
        /// The HTTP status.
        status: u16,
        /// The body in base 64.
        body: String,
    },
    /// The request was refused or failed.
    Refused(Refusal),
}

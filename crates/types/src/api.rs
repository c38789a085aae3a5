//! Messages of the caller and intent interfaces, and between entries.

use serde::{Deserialize, Serialize};

use crate::codes;
use crate::config;
use crate::ids;
use crate::sizes;
use crate::wire;

/// A refusal or outcome as callers and operators read it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// The result code's number.
    pub code: u16,
    /// The result code's name.
    pub name: String,
    /// Whether the work ran.
    pub ran: codes::Ran,
    /// One sentence for a person.
    pub message: String,
    /// When to come back, in seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u32>,
}

impl Refusal {
    /// Builds a refusal with the table's remedy as last sentence.
    pub fn new(code: codes::Code, why: impl Into<String>) -> Self {
        let row = code.row();
        let why = why.into();
        let message =
            if why.is_empty() { row.remedy.to_string() } else { format!("{why}. {}", row.remedy) };
        let retry_after_s = row.remedy.contains("Retry-After").then_some(1);
        Self { code: row.number, name: row.name.to_string(), ran: row.ran, message, retry_after_s }
    }

    /// Sets when the caller should come back.
    pub fn with_retry_after(mut self, seconds: u32) -> Self {
        self.retry_after_s = Some(seconds);
        self
    }

    /// Returns the code that this refusal carries.
    pub fn result_code(&self) -> codes::Code {
        codes::Code::from_number(self.code).unwrap_or(codes::Code::Internal)
    }
}

/// A job as its submitter states it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The batch class.
    pub class: ids::BatchClass,
    /// What one task may hold.
    pub demand: sizes::Resources,
    /// Declared work of one task, in milliseconds of undisturbed run time.
    pub work_ms: u64,
    /// How many tasks the job has.
    #[serde(default = "one_task")]
    pub tasks: u32,
    /// Whether it goes ahead of the partner's other work.
    #[serde(default)]
    pub urgent: bool,
}

fn one_task() -> u32 {
    1
}

/// The most tasks that one job may have.
pub const JOB_MAX_TASKS: u32 = 256;

/// Where one task of a job stands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task.
    pub task: ids::TaskId,
    /// The state by the name in `charts/task.chart`.
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

/// Where a job stands.
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
    /// The latest decisions about it, oldest first.
    pub history: Vec<String>,
}

/// A plan: what a stated intent would change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The plan's id, for its confirmation.
    pub id: ids::PlanId,
    /// The generation that it was made against.
    pub base: ids::Generation,
    /// What would change, a sentence each.
    pub changes: Vec<String>,
    /// What is refused and why; a plan with refusals cannot be confirmed.
    pub refused: Vec<String>,
    /// How long the plan can be confirmed, in seconds.
    pub lifetime_s: u64,
    /// The configuration that a confirmation would put in force.
    pub wanted: config::Config,
}

/// How far a generation has come.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// The newest generation that this entry knows to be accepted.
    pub generation: ids::Generation,
    /// The plan that made it.
    pub plan: ids::PlanId,
    /// Entries in which it is in force.
    pub in_force: Vec<ids::EntryId>,
    /// Entries that are not known to have it.
    pub waiting: Vec<ids::EntryId>,
}

/// One past generation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HistoryRow {
    /// The generation.
    pub generation: ids::Generation,
    /// Who confirmed it.
    pub by: String,
    /// When, in milliseconds since 1970.
    pub at_unix_ms: u64,
    /// What changed, a sentence each.
    pub changes: Vec<String>,
    /// The plan that made it, by which a repeated confirmation learns what became of the plan;
    /// empty in rows of earlier versions.
    #[serde(default)]
    pub plan: ids::PlanId,
}

/// How many requests of a service an entry could take.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The service.
    pub service: ids::ServiceId,
    /// Free slots on the workers that the entry owns.
    pub free: u32,
}

/// What an entry tells each peer, several times within its lease.
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
    /// What it could take.
    pub load: Vec<ServiceLoad>,
    /// Its partitions in which nothing waits, with their room.
    #[serde(default)]
    pub rooms: Vec<FreeCapacity>,
}

/// A command to the owner of a partition, forwarded by the entry that received it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Store a job; repeats of one key store one job.
    Submit {
        /// Who submits.
        partner: ids::PartnerId,
        /// The submitter's key for this job.
        key: ids::RequestKey,
        /// The job.
        spec: JobSpec,
    },
    /// Cancel a job.
    Cancel {
        /// Who cancels; operators' tools name none.
        partner: Option<ids::PartnerId>,
        /// The job.
        job: ids::JobId,
    },
    /// Tell where a job stands.
    Status {
        /// Who asks; operators' tools name none.
        partner: Option<ids::PartnerId>,
        /// The job.
        job: ids::JobId,
    },
    /// Claim the one run of a request that must not be repeated.
    OnceClaim {
        /// Who asks.
        partner: ids::PartnerId,
        /// The caller's key.
        key: ids::RequestKey,
        /// A digest of the request, so that a key reused for another request is refused.
        digest: String,
        /// Marks the claimer: repeats of its claim are granted again, others' are not.
        claimer: String,
    },
    /// Store how a claimed request ended.
    OnceDone {
        /// Who asked.
        partner: ids::PartnerId,
        /// The caller's key.
        key: ids::RequestKey,
        /// The claimer; the end of another's claim is not stored.
        claimer: String,
        /// How it ended.
        end: OnceEnd,
    },
    /// An operator declares a worker's host switched off, so that its tasks may run elsewhere.
    ConfirmDead {
        /// The worker.
        worker: ids::WorkerId,
        /// The boot that the operator was shown: a declaration that comes late says nothing of a
        /// newer one.
        #[serde(default)]
        boot: Option<wire::Boot>,
    },
    /// Run a task that another partition lends, or tell how it stands; may be repeated.
    Borrow(Loan),
    /// List the partition's jobs and workers, for operators.
    Survey,
}

/// A task that one partition lends to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Loan {
    /// The lender's run.
    pub run: wire::Run,
    /// What it is.
    pub kind: wire::TaskKind,
    /// On whose behalf it runs.
    pub partner: ids::PartnerId,
    /// What it may hold.
    pub demand: sizes::Resources,
    /// Its work.
    pub work_ms: u64,
    /// The checkpoint from which it resumes.
    pub resume_ms: u64,
    /// Whether it goes first.
    pub urgent: bool,
    /// Whether it is to be stopped and come back.
    pub stop: bool,
}

/// How a lent task stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LoanState {
    /// It waits for a worker.
    Waiting,
    /// It is assigned to a worker, or has just been stored.
    Running,
    /// It finished.
    Done,
    /// It failed for good there.
    Failed,
    /// It was stopped and has left its worker.
    Stopped,
}

/// The borrower's word on a lent task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoanReport {
    /// How it stands.
    pub state: LoanState,
    /// Work that is kept, in milliseconds.
    pub checkpoint_ms: u64,
}

/// What a partition could take at once. It travels in every heartbeat, so its serialised form is a
/// plain list of numbers: partition, processors, memory, accelerators.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(from = "[u32; 4]", into = "[u32; 4]")]
pub struct FreeCapacity {
    /// The partition.
    pub partition: ids::PartitionId,
    /// The most that one worker has free.
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
    /// It ran with this answer.
    Ran {
        /// The HTTP status.
        status: u16,
        /// The body in base 64; none if it was too large to keep.
        body: Option<String>,
    },
    /// It is certain that it did not run; the claim is given back.
    NotRun,
    /// It may have run.
    Unknown,
}

/// The owner's answer to a [`Command`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The job is stored.
    Submitted(ids::JobId),
    /// Done.
    Done,
    /// How a lent task stands.
    Loan(LoanReport),
    /// The job's status.
    Status(JobStatus),
    /// The claim is the asker's: run the request once.
    Granted,
    /// The request was claimed before and has ended.
    Ended(OnceEnd),
    /// The partition's jobs and workers.
    Survey(PartitionSummary),
    /// Refused.
    Refused(Refusal),
}

/// A worker as its owner sees it.
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
    /// How it stands, by the name in `charts/upstream.chart`.
    pub state: String,
    /// What is assigned to it.
    pub used: sizes::Resources,
    /// What it can carry.
    pub capacity: sizes::Resources,
    /// Its tasks.
    pub tasks: u32,
}

/// A job in a survey.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRow {
    /// The job.
    pub job: ids::JobId,
    /// Its partner.
    pub partner: ids::PartnerId,
    /// Its class or service.
    pub kind: wire::TaskKind,
    /// Tasks by state.
    pub queued: u32,
    /// Tasks assigned to a worker.
    pub running: u32,
    /// Tasks that ended well.
    pub done: u32,
    /// Tasks that failed or were cancelled.
    pub lost: u32,
}

/// What an owner knows of its partition.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct PartitionSummary {
    /// The workers.
    pub workers: Vec<WorkerRow>,
    /// The jobs.
    pub jobs: Vec<JobRow>,
}

/// A service request on its way from one entry to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Forward {
    /// The service.
    pub service: ids::ServiceId,
    /// The path below the service.
    pub path: String,
    /// The body in base 64.
    pub body: String,
    /// How long the caller still waits, in milliseconds.
    pub deadline_ms: u64,
    /// The request id, for logs.
    pub request_id: String,
    /// Whether the request may be sent twice.
    pub repeatable: bool,
}

/// The answer to a [`Forward`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ForwardReply {
    /// The worker's whole answer.
    Answer {
        /// The HTTP status.
        status: u16,
        /// The body in base 64.
        body: String,
    },
    /// Refused or failed.
    Refused(Refusal),
}

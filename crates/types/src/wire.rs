//! Messages of the platform's worker protocol, as `docs/DESIGN.md` describes it.

use serde::{Deserialize, Serialize};

use crate::ids;
use crate::sizes;

/// A reading of one worker's own monotonic clock, in milliseconds since its boot.
///
/// It means something to that worker only; an owner sends it back to show how old its wish is.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WorkerClock(pub u64);

/// The random number that a worker draws at its boot.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Boot(pub u64);

/// One attempt at one task.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Run {
    /// The task.
    pub task: ids::TaskId,
    /// The attempt's number.
    pub attempt: ids::Attempt,
}

/// What a task is, for its worker and for the decisions about it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskKind {
    /// A replica of a latency-critical service.
    Service(ids::ServiceId),
    /// A batch task of a class.
    Batch(ids::BatchClass),
}

/// Asks a worker for the right to command it, and renews its tasks' leases.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The partition whose owner asks.
    pub partition: ids::PartitionId,
    /// The owner's epoch; the worker refuses one below the highest that it has seen.
    pub epoch: ids::Epoch,
    /// The owner.
    pub owner: ids::Member,
    /// The boot that the owner believes in; a different one renews nothing.
    pub boot: Option<Boot>,
    /// The worker's clock as the owner last read it; tasks are renewed until `seen + ttl_ms`.
    pub seen: Option<WorkerClock>,
    /// The tasks' lease, in milliseconds.
    pub ttl_ms: u64,
    /// Ended runs whose end the owner has stored; the worker may forget them.
    pub acked: Vec<Run>,
}

/// How a run stands at its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RunState {
    /// It runs, perhaps throttled.
    Running,
    /// It finished its work.
    Done,
    /// It failed.
    Failed,
    /// It was stopped, by command or because its lease lapsed.
    Stopped,
}

/// One run as its worker sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// The run.
    pub run: Run,
    /// How it stands.
    pub state: RunState,
    /// Work done, in milliseconds of undisturbed run time.
    pub progress_ms: u64,
    /// Work that its last checkpoint holds, in milliseconds.
    pub checkpoint_ms: u64,
}

/// A worker's answer to [`LeaseRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseReply {
    /// The highest epoch that the worker has seen.
    pub epoch: ids::Epoch,
    /// The worker's boot.
    pub boot: Boot,
    /// The worker's clock.
    pub clock: WorkerClock,
    /// Whether the worker's host is leaving.
    pub leaving: bool,
    /// Service requests that it is working on.
    pub slots_busy: u32,
    /// Every run it knows, ended ones until they are acknowledged.
    pub runs: Vec<RunReport>,
    /// Its late measurement of itself.
    pub usage: Option<Usage>,
}

/// Starts a run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StartRequest {
    /// The commanding owner's epoch.
    pub epoch: ids::Epoch,
    /// The boot that the owner believes in; another one refuses.
    pub boot: Boot,
    /// The worker's clock as the owner last read it; the task's lease ends at `seen + ttl_ms`.
    pub seen: WorkerClock,
    /// The task's first lease, in milliseconds.
    pub ttl_ms: u64,
    /// The run.
    pub run: Run,
    /// What it is.
    pub kind: TaskKind,
    /// What it may hold.
    pub demand: sizes::Resources,
    /// How much work it has, in milliseconds of undisturbed run time; services have none.
    pub work_ms: u64,
    /// The checkpoint from which it resumes, in milliseconds of work.
    pub resume_ms: u64,
}

/// Stops a run or throttles it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ControlRequest {
    /// The commanding owner's epoch.
    pub epoch: ids::Epoch,
    /// The boot that the owner believes in.
    pub boot: Boot,
    /// The run.
    pub run: Run,
    /// The wish.
    pub control: Control,
}

/// What is to be done with a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Control {
    /// Stop at once.
    Stop,
    /// Write a checkpoint, then stop.
    CheckpointAndStop,
    /// Run at this many thousandths of full speed.
    Throttle(u32),
}

/// A worker's answer to a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CommandOutcome {
    /// Done, or done before.
    Done,
    /// The command's epoch is below the worker's.
    StaleEpoch,
    /// The worker has booted since.
    OtherBoot,
    /// The command is older than the lease it asks for.
    TooLate,
    /// The worker's capacity does not hold it.
    NoRoom,
    /// The worker's host is leaving.
    Leaving,
    /// The worker does not know the run.
    UnknownRun,
    /// The start itself failed.
    Failed,
}

/// A worker's late measurement.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// When it was taken, by the worker's clock.
    pub taken: WorkerClock,
    /// Processors in use, in thousandths of a core.
    pub cpu: sizes::MilliCores,
    /// Each service's 99th percentile over the measured window, in microseconds.
    pub services: Vec<ServiceUsage>,
    /// What each run used.
    pub runs: Vec<RunUsage>,
}

/// A run's share of a [`Usage`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunUsage {
    /// The run.
    pub run: Run,
    /// Processors that it used, in thousandths of a core.
    pub cpu: sizes::MilliCores,
}

/// A service's share of a [`Usage`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceUsage {
    /// The service.
    pub service: ids::ServiceId,
    /// Requests in the window.
    pub requests: u32,
    /// Median of service time, in microseconds.
    pub p50_us: u64,
    /// 99th percentile of service time, in microseconds.
    pub p99_us: u64,
}

/// One host of the platform's host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The worker that it carries.
    pub worker: ids::WorkerId,
    /// Its address, an IP number with a port.
    pub addr: String,
    /// Its failure domain.
    pub domain: ids::DomainId,
    /// Its rack.
    pub rack: ids::RackId,
    /// What it can carry.
    pub capacity: sizes::Resources,
    /// Service requests that it works on at once.
    pub slots: u32,
    /// Connections that it accepts at once.
    pub connections: u32,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// The header that carries the commanding epoch of a service request.
pub const EPOCH_HEADER: &str = "x-gaplock-epoch";
/// The header that carries a worker's refusal, a [`CommandOutcome`] in JSON; such a request did not run.
pub const REFUSAL_HEADER: &str = "x-worker-refusal";

//! Messages of the platform's worker protocol, which `docs/DESIGN.md` describes.

use serde::{Deserialize, Serialize};

use crate::ids;
use crate::sizes;

/// A reading of one worker's own monotonic clock, in milliseconds since its boot.
///
/// It has a meaning only for that worker; an owner sends it back to show how old its command is.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WorkerClock(pub u64);

/// The random number that a worker draws when it boots.
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

/// What a task is, for its worker and for scheduling.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskKind {
    /// A replica of a latency-critical service.
    Service(ids::ServiceId),
    /// A batch task of a class.
    Batch(ids::BatchClass),
}

/// Asks a worker for the right to send it commands, and renews its tasks' leases.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The partition whose owner asks.
    pub partition: ids::PartitionId,
    /// The owner's epoch; the worker refuses one below the highest that it has seen.
    pub epoch: ids::Epoch,
    /// The owner.
    pub owner: ids::Member,
    /// The boot that the owner expects; a worker with a different one renews nothing.
    pub boot: Option<Boot>,
    /// The worker's clock as the owner last read it; tasks are renewed until `seen + ttl_ms`.
    pub seen: Option<WorkerClock>,
    /// The duration of the tasks' leases, in milliseconds.
    pub ttl_ms: u64,
    /// Ended runs whose end the owner has stored; the worker may remove them.
    pub acked: Vec<Run>,
}

/// The state of a run at its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RunState {
    /// It is running, perhaps throttled.
    Running,
    /// It finished its work.
    Done,
    /// It failed.
    Failed,
    /// It was stopped, by a command or because its lease expired.
    Stopped,
}

/// One run as its worker reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// The run.
    pub run: Run,
    /// Its state.
    pub state: RunState,
    /// Work done, in milliseconds of run time without interference.
    pub progress_ms: u64,
    /// Work that its last checkpoint contains, in milliseconds.
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
    /// The number of service requests that it is working on.
    pub slots_busy: u32,
    /// All runs that it knows; ended ones are listed until they are acknowledged.
    pub runs: Vec<RunReport>,
    /// Its measurement of itself, which arrives late.
    pub usage: Option<Usage>,
}

/// Starts a run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StartRequest {
    /// The epoch of the owner that sends the command.
    pub epoch: ids::Epoch,
    /// The boot that the owner expects; a worker with a different one refuses.
    pub boot: Boot,
    /// The worker's clock as the owner last read it; the task's lease ends at `seen + ttl_ms`.
    pub seen: WorkerClock,
    /// The duration of the task's first lease, in milliseconds.
    pub ttl_ms: u64,
    /// The run.
    pub run: Run,
    /// What it runs.
    pub kind: TaskKind,
    /// The resources that it may use.
    pub demand: sizes::Resources,
    /// How much work it has, in milliseconds of run time without interference; 0 for services.
    pub work_ms: u64,
    /// The checkpoint from which it resumes, in milliseconds of work.
    pub resume_ms: u64,
}

/// Stops a run or throttles it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ControlRequest {
    /// The epoch of the owner that sends the command.
    pub epoch: ids::Epoch,
    /// The boot that the owner expects.
    pub boot: Boot,
    /// The run.
    pub run: Run,
    /// What to do with the run.
    pub control: Control,
}

/// A command for a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Control {
    /// Stop at once.
    Stop,
    /// Write a checkpoint, then stop.
    CheckpointAndStop,
    /// Run at this speed, in thousandths of full speed.
    Throttle(u32),
}

/// A worker's answer to a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CommandOutcome {
    /// The command was carried out, now or before.
    Done,
    /// The command's epoch is lower than the worker's.
    StaleEpoch,
    /// The worker has a different boot than the owner expects.
    OtherBoot,
    /// The command arrived after the end of the lease that it asks for.
    TooLate,
    /// The run does not fit the worker's capacity.
    NoRoom,
    /// The worker's host is leaving.
    Leaving,
    /// The worker does not know the run.
    UnknownRun,
    /// The start itself failed.
    Failed,
}

/// A worker's measurement of itself, which arrives late.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// When it was taken, by the worker's clock.
    pub taken: WorkerClock,
    /// Processors in use, in thousandths of a core.
    pub cpu: sizes::MilliCores,
    /// Each service's requests, and median and 99th percentile of its service time, over the
    /// measured window.
    pub services: Vec<ServiceUsage>,
    /// What each run used.
    pub runs: Vec<RunUsage>,
}

/// What one run used, as part of a [`Usage`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunUsage {
    /// The run.
    pub run: Run,
    /// Processors that it used, in thousandths of a core.
    pub cpu: sizes::MilliCores,
}

/// What was measured of one service, as part of a [`Usage`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceUsage {
    /// The service.
    pub service: ids::ServiceId,
    /// The number of requests in the window.
    pub requests: u32,
    /// Median of service time, in microseconds.
    pub p50_us: u64,
    /// 99th percentile of service time, in microseconds.
    pub p99_us: u64,
}

/// One host of the platform's host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The worker that runs on it.
    pub worker: ids::WorkerId,
    /// Its address, an IP address with a port.
    pub addr: String,
    /// Its failure domain.
    pub domain: ids::DomainId,
    /// Its rack.
    pub rack: ids::RackId,
    /// Its capacity.
    pub capacity: sizes::Resources,
    /// How many service requests it can work on at once.
    pub slots: u32,
    /// How many connections it accepts at once.
    pub connections: u32,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// The header that carries the owner's epoch with a service request.
pub const EPOCH_HEADER: &str = "x-gaplock-epoch";
/// The header that carries a worker's refusal, a [`CommandOutcome`] in JSON; a request that is
/// refused in this way did not run.
pub const REFUSAL_HEADER: &str = "x-worker-refusal";

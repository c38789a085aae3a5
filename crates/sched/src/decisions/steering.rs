//! What the operators' instructions allow.

use gaplock_jobs::TaskKey;
use gaplock_overload::steer::Instruction;
use gaplock_overload::summary::WorkClass;

use crate::state::job_table::{self, JobEntry};
use crate::state::State;

/// Returns the instruction that is in force for a queue.
pub fn instruction(cx: &State, queue: &str) -> Option<Instruction> {
    let steer = cx.steering.queues.get(queue)?;
    steer.is_in_force(cx.unix_ms).then_some(steer.instruction)
}

/// Returns whether a task is a best-effort one of a queue whose best-effort work is held. If its run
/// were stopped, it could not start again before the hold ends.
pub fn is_held(cx: &State, task: TaskKey) -> bool {
    let held = |entry: &JobEntry| instruction(cx, &entry.job.queue) == Some(Instruction::Hold);
    let entry = cx.jobs.get(&task.job).filter(|entry| held(entry));
    entry.and_then(|entry| entry.step(task)).is_some_and(|step| step.fills)
}

/// Returns whether the instruction for its queue allows that a task is started now. Each member of
/// a gang is asked about alone, so a gang that starts may go beyond a cap.
pub fn allows_start(cx: &State, task: TaskKey) -> bool {
    if cx.steering.queues.is_empty() {
        return true;
    }
    let Some(entry) = cx.jobs.get(&task.job) else { return true };
    let Some(step) = entry.step(task).filter(|step| step.fills) else { return true };
    match instruction(cx, &entry.job.queue) {
        Some(Instruction::Hold) => false,
        Some(Instruction::Cap(millicores)) => {
            let at = entry.load_queue.class(job_table::work_class(step));
            let running = cx.load.running_millicores(at);
            debug_assert_eq!(job_table::work_class(step), WorkClass::BestEffort);
            running + u64::from(step.demand.cpu.0) <= millicores
        }
        Some(Instruction::Floor(_)) | None => true,
    }
}

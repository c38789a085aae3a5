//! Tests the validation of jobs and the text form of their keys.

use gaplock_jobs::job::{validate, JobError, MAX_TASKS_PER_JOB, SPEC_MAX_BYTES};
use gaplock_jobs::{progress, Job, JobKey, Step, TaskKey};

fn job(steps: Vec<Step>) -> Job {
    Job {
        key: JobKey(7),
        queue: "q".into(),
        spec: String::new(),
        steps,
        repeat: None,
        accepted_unix_ms: 0,
        accepting_queue: None,
    }
}

fn step(count: u32, after: &[u16]) -> Step {
    Step { count, after: after.to_vec(), ..Step::default() }
}

#[test]
fn a_job_must_have_steps_in_order_with_tasks() {
    assert_eq!(validate(&job(vec![])), Err(JobError::NoSteps));
    assert_eq!(validate(&job(vec![step(0, &[])])), Err(JobError::EmptyStep));
    assert_eq!(validate(&job(vec![step(1, &[0])])), Err(JobError::InvalidStepOrder));
    assert_eq!(validate(&job(vec![step(1, &[]), step(1, &[0])])), Ok(()));
}

#[test]
fn the_number_of_tasks_and_the_length_of_the_spec_are_limited() {
    let most = u32::try_from(MAX_TASKS_PER_JOB).expect("MAX_TASKS_PER_JOB fits in 32 bits");
    assert_eq!(validate(&job(vec![step(most, &[])])), Ok(()));
    assert_eq!(
        validate(&job(vec![step(u32::MAX, &[]), step(1, &[])])),
        Err(JobError::TooManyTasks)
    );
    let long = Job { spec: "x".repeat(SPEC_MAX_BYTES + 1), ..job(vec![step(1, &[])]) };
    assert_eq!(validate(&long), Err(JobError::SpecTooLong));
}

#[test]
fn keys_are_parsed_as_they_are_printed() {
    let task = TaskKey { job: JobKey(0x5c0e_7a21_d94b_36f8), round: 0, step: 1, index: 17 };
    assert_eq!(task.to_string(), "5c0e7a21d94b36f8.0.1.17");
    assert_eq!("5c0e7a21d94b36f8.0.1.17".parse(), Ok(task));
    assert!("5c0e7a21d94b36f8.0.1".parse::<TaskKey>().is_err());
    assert!("5C0E7A21D94B36F8".parse::<JobKey>().is_err(), "upper-case digits are rejected");
    assert!("5c0e".parse::<JobKey>().is_err());
}

#[test]
fn indices_are_packed_into_ranges() {
    let packed = progress::pack([0, 1, 2, 5, 7, 8]);
    assert_eq!(packed, [(0, 2), (5, 5), (7, 8)]);
    assert_eq!(progress::unpack(&packed).collect::<Vec<_>>(), [0, 1, 2, 5, 7, 8]);
}

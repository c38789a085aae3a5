//! Checks timelines that are assembled from log lines of several hosts.

use expect_test::expect;

const LOG: &str = r#"
   0.2 edge-2 {"timestamp":"T03","level":"INFO","event":"run_ended","task":"00000000000000aa.0.0.0","run":4097,"how":"Done"}
   0.1 edge-1 {"timestamp":"T01","level":"INFO","event":"job_handed_in","job":"00000000000000aa","outcome":"Stored"}
not a line of ours
   0.1 edge-2 {"timestamp":"T00","level":"INFO","event":"leadership_claimed","term":1}
   0.1 edge-2 {"timestamp":"T02","level":"INFO","event":"start_ordered","task":"00000000000000aa.0.0.0","run":4097,"waited_ms":3}
   0.1 edge-2 {"timestamp":"T02","level":"INFO","event":"start_ordered","task":"00000000000000ab.0.0.0","run":4097}
   0.1 edge-2 {"timestamp":"T025","level":"INFO","event":"takeover_began","term":2}
"#;

#[test]
fn a_timeline_is_sorted_by_time_and_includes_leadership_changes() {
    let timeline = gaplock_explain::timeline(LOG, "00000000000000aa");
    expect![[r#"
        T01 job_handed_in - job=00000000000000aa outcome=Stored
        T02 start_ordered 00000000000000aa.0.0.0 run=4097 waited_ms=3
        T025 takeover_began - term=2
        T03 run_ended 00000000000000aa.0.0.0 how=Done run=4097
    "#]]
    .assert_eq(&gaplock_explain::render(&timeline));
}

const PREEMPTION: &str = r#"
{"timestamp":"T01","level":"INFO","event":"start_ordered","task":"00000000000000aa.0.0.3","run":4097,"worker":"w1@1","waited_ms":3}
{"timestamp":"T02","level":"INFO","event":"shares_enforced","pool":"hollow","excess":14800}
{"timestamp":"T03","level":"INFO","event":"task_preempted","task":"00000000000000aa.0.0.3","run":4097,"worker":"w1@1","frees":13000,"waiting":545200,"waited_ms":1700,"predicted_wait_ms":1470}
{"timestamp":"T03","level":"INFO","event":"stop_ordered","task":"00000000000000aa.0.0.3","run":4097,"worker":"w1@1","why":"short tasks wait for its room"}
{"timestamp":"T03","level":"INFO","event":"task_preempted","task":"00000000000000ab.0.0.0","run":4097,"worker":"w2@1","frees":13000}
"#;

/// Guards against a preemption that the timeline of the preempted task's job leaves out.
#[test]
fn a_preemption_is_in_the_timeline_of_its_job() {
    let timeline = gaplock_explain::timeline(PREEMPTION, "00000000000000aa");
    expect![[r#"
        T01 start_ordered 00000000000000aa.0.0.3 run=4097 waited_ms=3 worker=w1@1
        T03 task_preempted 00000000000000aa.0.0.3 frees=13000 predicted_wait_ms=1470 run=4097 waited_ms=1700 waiting=545200 worker=w1@1
        T03 stop_ordered 00000000000000aa.0.0.3 run=4097 why=short tasks wait for its room worker=w1@1
    "#]]
    .assert_eq(&gaplock_explain::render(&timeline));
}

#[test]
fn a_job_that_no_line_names_has_an_empty_timeline() {
    assert!(gaplock_explain::timeline(LOG, "00000000000000ff").is_empty());
}

const BACKLOG_LOG: &str = r#"
{"timestamp":"T00","event":"queue_backlogged","queue":"q","drain_ms":1}
{"timestamp":"T01","event":"job_known","job":"00000000000000aa","queue":"q"}
{"timestamp":"T02","event":"queue_backlogged","queue":"q","drain_ms":9000}
{"timestamp":"T02","event":"queue_backlogged","queue":"other","drain_ms":8000}
{"timestamp":"T03","event":"start_ordered","task":"00000000000000aa.0.0.0","run":4097}
{"timestamp":"T04","event":"queue_backlogged","queue":"q","drain_ms":7000}
{"timestamp":"T05","event":"job_ended","job":"00000000000000aa"}
"#;

/// Guards against a wait that is shown without the backlog of its queue, and against timelines full
/// of backlogs that the job did not wait for.
#[test]
fn the_backlog_of_the_queue_is_shown_while_the_job_waits() {
    let timeline = gaplock_explain::timeline(BACKLOG_LOG, "00000000000000aa");
    expect![[r#"
        T01 job_known - job=00000000000000aa queue=q
        T02 queue_backlogged - drain_ms=9000 queue=q
        T03 start_ordered 00000000000000aa.0.0.0 run=4097
        T05 job_ended - job=00000000000000aa
    "#]]
    .assert_eq(&gaplock_explain::render(&timeline));
}

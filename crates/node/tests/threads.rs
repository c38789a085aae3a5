//! Work on a separate thread is not queued behind the tasks of a busy host.
//!
//! Guards against a stale view of the directory. With 3,000 workers the directory was read on the
//! one thread that runs all calls to workers, and each part of its answers waited there; after a
//! change of leader the view was over a second old.

use std::sync::mpsc;
use std::time::Duration;
use std::{env, future};

use async_std::task;

#[path = "../src/threads.rs"]
mod threads;

/// Far longer than a thread needs to start.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Waits several times, as a call does for the parts of its answer.
async fn read_in_parts(done: mpsc::Sender<()>) {
    for _part in 0..10 {
        task::sleep(Duration::from_millis(1)).await;
    }
    done.send(()).expect("the test waits for the message");
}

#[test]
fn a_read_on_a_separate_thread_ends_while_all_other_tasks_are_blocked() {
    env::set_var("ASYNC_STD_THREAD_COUNT", "1");
    let (begun, has_begun) = mpsc::channel();
    let (release, released) = mpsc::channel::<()>();
    task::spawn(async move {
        begun.send(()).expect("the test waits for the message");
        released.recv().expect("the test releases the task");
        future::ready(()).await;
    });
    has_begun.recv_timeout(TIMEOUT).expect("the task occupies the only thread");

    let (done, is_done) = mpsc::channel();
    let (queued, is_queued) = mpsc::channel();
    task::spawn(read_in_parts(queued));
    threads::spawn("reading", read_in_parts(done)).expect("there is a thread");
    is_done.recv_timeout(TIMEOUT).expect("a read on a separate thread ends");
    assert!(is_queued.try_recv().is_err(), "the other tasks were not blocked");
    release.send(()).expect("the task waits for its release");
    is_queued.recv_timeout(TIMEOUT).expect("the other tasks go on");
}

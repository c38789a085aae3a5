//! What has a thread of its own does not wait behind the tasks of a busy host.
//!
//! Seen on 3,000 workers: the directory was read in the one thread that carries all calls to workers, and each
//! part of its answers waited there; after a change of leader the view was over a second old.

use std::sync::mpsc;
use std::time::Duration;
use std::{env, future};

use async_std::task;

#[path = "../src/threads.rs"]
mod threads;

/// Far above what a thread needs to begin.
const LONG: Duration = Duration::from_secs(20);

/// Waits several times, as a call does for the parts of its answer.
async fn read_in_parts(done: mpsc::Sender<()>) {
    for _part in 0..10 {
        task::sleep(Duration::from_millis(1)).await;
    }
    done.send(()).expect("the test waits for it");
}

#[test]
fn a_reading_on_its_own_thread_ends_while_all_other_tasks_stand_still() {
    env::set_var("ASYNC_STD_THREAD_COUNT", "1");
    let (begun, has_begun) = mpsc::channel();
    let (release, released) = mpsc::channel::<()>();
    task::spawn(async move {
        begun.send(()).expect("the test waits for it");
        released.recv().expect("the test releases it");
        future::ready(()).await;
    });
    has_begun.recv_timeout(LONG).expect("the only thread is taken");

    let (done, is_done) = mpsc::channel();
    let (queued, is_queued) = mpsc::channel();
    task::spawn(read_in_parts(queued));
    threads::spawn("reading", read_in_parts(done)).expect("there is a thread");
    is_done.recv_timeout(LONG).expect("a reading on its own thread ends");
    assert!(is_queued.try_recv().is_err(), "nothing held the other tasks up");
    release.send(()).expect("the task waits for it");
    is_queued.recv_timeout(LONG).expect("the other tasks go on");
}

//! Threads for what must not wait its turn behind the calls of a busy leader.

use std::future::Future;
use std::{io, thread};

use async_std::task;

/// The thread's stack: twice the usual one, since this thread's executor also takes on other tasks, whose
/// states are large without optimisation. Only what is used is paid for.
const STACK_BYTES: usize = 4 << 20;

/// Runs a future on a thread of its own.
///
/// # Errors
/// Returns the error of the system that gives no thread.
pub fn spawn(name: &str, future: impl Future<Output = ()> + Send + 'static) -> io::Result<()> {
    let builder = thread::Builder::new().name(name.to_string()).stack_size(STACK_BYTES);
    builder.spawn(move || task::block_on(future)).map(drop)
}

//! Separate threads for work that must not be queued behind the calls of a busy leader.

use std::future::Future;
use std::{io, thread};

use async_std::task;

/// The thread's stack size: twice the usual one, since this thread's executor also runs other
/// tasks, whose futures are large in builds without optimization. Unused stack takes no memory.
const STACK_BYTES: usize = 4 << 20;

/// Runs a future on a separate thread.
///
/// # Errors
/// Returns the system's error if no thread can be created.
pub fn spawn(name: &str, future: impl Future<Output = ()> + Send + 'static) -> io::Result<()> {
    let builder = thread::Builder::new().name(name.to_string()).stack_size(STACK_BYTES);
    builder.spawn(move || task::block_on(future)).map(drop)
}

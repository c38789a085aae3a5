//! Applies the operators' instructions for queues.
//!
//! An instruction concerns starts only: what runs is not stopped. Held best-effort tasks are not
//! moved either, since they could not start again elsewhere.

use std::mem;

use crate::changes::trace;
use crate::interface::message::Steering;
use crate::state::State;

/// Applies the instructions that the store holds. An older reading changes nothing.
pub fn apply(cx: &mut State, mut steering: Steering) {
    if steering.revision < cx.steering.revision {
        return;
    }
    let unix_ms = cx.unix_ms;
    steering.queues.retain(|_, steer| steer.is_in_force(unix_ms));
    let before = mem::replace(&mut cx.steering, steering);
    if before.queues == cx.steering.queues {
        return;
    }
    for (queue, steer) in &cx.steering.queues {
        if before.queues.get(queue) != Some(steer) {
            trace::queue_steered(queue, steer);
        }
    }
    let ended = before.queues.keys().filter(|queue| !cx.steering.queues.contains_key(*queue));
    ended.for_each(|queue| trace::queue_steering_ended(queue));
    cx.pass_wanted = true;
}

/// Ends the instructions whose time has passed.
pub fn check(cx: &mut State) {
    let unix_ms = cx.unix_ms;
    if cx.steering.queues.values().all(|steer| steer.is_in_force(unix_ms)) {
        return;
    }
    cx.steering.queues.retain(|queue, steer| {
        let in_force = steer.is_in_force(unix_ms);
        if !in_force {
            trace::queue_steering_ended(queue);
        }
        in_force
    });
    cx.pass_wanted = true;
}

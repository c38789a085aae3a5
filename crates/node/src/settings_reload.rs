//! Puts changes of the settings file into force while the process runs.
//!
//! The file may change with or without a signal, so it is also read periodically. Addresses stay as
//! they were at the start; the scheduler's settings follow the file.

use std::fs;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use gaplock_platform::installation;
use gaplock_sched::Event;

use crate::node::{Node, Role};

/// How often the file is read without a signal; a change must be in force within 2 s.
const READ_EVERY: Duration = Duration::from_millis(1_000);

/// Watches the settings file until the process stops.
pub async fn run(node: Arc<Node>, path: PathBuf) {
    let mut known = fs::read(&path).unwrap_or_default();
    while !node.is_stopping() {
        task::sleep(READ_EVERY).await;
        match fs::read(&path) {
            Ok(text) if text != known => {
                apply(&node, &text);
                known = text;
            }
            Ok(_) => {}
            Err(e) => tracing::warn!(event = "settings_unreadable", error = %e),
        }
    }
}

fn apply(node: &Arc<Node>, text: &[u8]) {
    let installation = match installation::decode(text) {
        Ok(installation) => installation,
        Err(e) => {
            tracing::warn!(event = "settings_malformed", error = %e);
            return;
        }
    };
    let mut settings = node.settings();
    installation::apply(&installation, &mut settings);
    let changed = settings != node.settings();
    tracing::info!(event = "reload", changed);
    if !changed {
        return;
    }
    node.set_settings(settings.clone());
    if let Role::Leader(engine) = node.role() {
        engine.send(Event::Settings(Box::new(settings)));
    }
}

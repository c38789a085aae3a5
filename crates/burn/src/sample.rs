//! Takes samples, the counters of an entry at one time.

use std::collections::BTreeMap;
use std::time::Duration;

use gaplock_remote::clock;
use gaplock_remote::http::{Call, Client};
use http_types::Method;
use serde::{Deserialize, Serialize};

use crate::scrape::{self, Counters, Key};

/// The counters of one entry at one time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// When the sample was taken, in milliseconds since 1970.
    pub at_unix_ms: u64,
    /// The entry's health address.
    pub entry: String,
    /// The counters by service and partner. They are a list because JSON objects need strings as keys.
    pub counters: Vec<(Key, Counters)>,
}

/// The longest wait for an entry's metrics, so that one that hangs does not delay the other samples for long.
const SCRAPE_TIMEOUT: Duration = Duration::from_secs(3);

/// Samples the counters of every entry at these health addresses, except those that don't answer.
pub async fn take(health: &[String]) -> Vec<Sample> {
    let now = clock::unix_ms();
    let mut samples = Vec::new();
    for entry in health {
        let client = Client::open(entry, 0);
        let (method, path) = (Method::Get, "/metrics");
        let call = Call { method, path, headers: &[], body: Vec::new(), timeout: SCRAPE_TIMEOUT };
        let Ok(answer) = client.call(call).await else {
            eprintln!(
                "warning: can't read metrics of entry at {entry}; it is left out of this sample"
            );
            continue;
        };
        let mut all = BTreeMap::new();
        scrape::add(&String::from_utf8_lossy(&answer.body), &mut all);
        let counters = all.into_iter().collect();
        samples.push(Sample { at_unix_ms: now, entry: entry.clone(), counters });
    }
    samples
}

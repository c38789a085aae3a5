//! Simulates callers behind a load balancer: they send requests through the entries that are ready,
//! and count the outcomes that are reported to them.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::task;
use gaplock_remote::http::Answer;
use gaplock_types::{api, codes};
use http_types::Method;
use serde_json::{json, Value};

use crate::calls;
use crate::site;

/// The outcomes that were reported to callers, by request.
#[derive(Debug, Default, Clone)]
pub struct Tally {
    /// Requests that were completely answered.
    pub answered: Vec<String>,
    /// Requests that were refused as "not run".
    pub not_run: Vec<String>,
    /// Requests that were answered with the outcome unknown.
    pub unknown: Vec<String>,
    /// Requests without a complete answer: the connection ended or the caller timed out.
    pub cut_off: Vec<String>,
    /// Requests that received the answer to another request, or a part of an answer.
    pub wrong: Vec<String>,
    /// The number of refusals by code.
    pub codes: BTreeMap<u16, u64>,
    /// The number of refusals by message.
    pub messages: BTreeMap<String, u64>,
}

impl Tally {
    /// Returns how many requests were sent.
    pub fn total(&self) -> usize {
        self.answered.len()
            + self.not_run.len()
            + self.unknown.len()
            + self.cut_off.len()
            + self.wrong.len()
    }

    fn record(&mut self, op: String, body: &Value, answer: std::io::Result<Answer>) {
        let Ok(answer) = answer else {
            self.cut_off.push(op);
            return;
        };
        if answer.status == 200 {
            let own_answer = answer.json::<Value>().as_ref() == Some(body);
            if own_answer { &mut self.answered } else { &mut self.wrong }.push(op);
            return;
        }
        let refusal: Option<api::Refusal> = answer.json();
        let ran = refusal.as_ref().map_or(codes::Ran::Unknown, |r| r.ran);
        *self.codes.entry(refusal.as_ref().map_or(0, |r| r.code)).or_default() += 1;
        let message = refusal.map(|r| r.message).unwrap_or_default();
        *self.messages.entry(message).or_default() += 1;
        match ran {
            codes::Ran::No => self.not_run.push(op),
            codes::Ran::Yes | codes::Ran::Unknown => self.unknown.push(op),
        }
    }
}

/// The load balancer: sends callers in turn to the entries that are ready.
#[derive(Debug, Clone, Default)]
pub struct Balancer {
    /// The callers' addresses of the entries that are ready.
    ready: Arc<Mutex<Vec<String>>>,
    /// The callers' and health addresses of all entries.
    known: Arc<Mutex<Vec<(String, String)>>>,
    next_turn: Arc<AtomicU64>,
}

/// How often the balancer asks the entries for their readiness.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(50);

impl Balancer {
    /// Sets the addresses of the entries, for callers and for health checks.
    pub fn set_entries(&self, entries: Vec<(String, String)>) {
        *self.known.lock().expect("the lock is not poisoned") = entries;
    }

    /// Starts to poll the readiness of the entries, until `stop` is set.
    pub fn spawn(&self, stop: Arc<AtomicBool>) {
        let this = self.clone();
        task::spawn(async move {
            while !stop.load(Ordering::SeqCst) {
                this.poll().await;
                task::sleep(READINESS_POLL_INTERVAL).await;
            }
        });
    }

    async fn poll(&self) {
        let known = self.known.lock().expect("the lock is not poisoned").clone();
        let mut ready = Vec::new();
        for (callers, health) in known {
            let answer = calls::call(&health, Method::Get, "/ready", &[], Vec::new(), 300).await;
            if answer.is_ok_and(|a| a.status == 200) {
                ready.push(callers);
            }
        }
        *self.ready.lock().expect("the lock is not poisoned") = ready;
    }

    /// Returns the callers' address of the next ready entry.
    pub fn next(&self) -> Option<String> {
        let ready = self.ready.lock().expect("the lock is not poisoned");
        let turn = self.next_turn.fetch_add(1, Ordering::SeqCst) as usize;
        (!ready.is_empty()).then(|| ready[turn % ready.len()].clone())
    }
}

/// How many callers there are and what each of them sends.
#[derive(Debug, Clone)]
pub struct LoadSpec {
    /// The number of concurrent callers.
    pub callers: usize,
    /// The pause of a caller between two requests.
    pub pause: Duration,
    /// The deadline that each request carries, in milliseconds.
    pub deadline_ms: u64,
    /// Whether each request has an idempotency key and so runs at most once.
    pub once: bool,
    /// The size of the padding in each body, in bytes.
    pub padding: usize,
    /// The prefix of each request's name.
    pub prefix: &'static str,
}

impl Default for LoadSpec {
    fn default() -> Self {
        Self {
            callers: 8,
            pause: Duration::from_millis(5),
            deadline_ms: 3_000,
            once: false,
            padding: 0,
            prefix: "r",
        }
    }
}

/// Callers that are running.
pub struct Load {
    stop: Arc<AtomicBool>,
    tally: Arc<Mutex<Tally>>,
    callers: Vec<task::JoinHandle<()>>,
}

/// Starts the callers.
pub fn spawn(balancer: &Balancer, spec: &LoadSpec) -> Load {
    let stop = Arc::new(AtomicBool::new(false));
    let tally: Arc<Mutex<Tally>> = Arc::default();
    let callers = (0..spec.callers)
        .map(|c| {
            let (balancer, spec) = (balancer.clone(), spec.clone());
            let (stop, tally) = (Arc::clone(&stop), Arc::clone(&tally));
            task::spawn(async move {
                let mut n = 0;
                while !stop.load(Ordering::SeqCst) {
                    n += 1;
                    send(&balancer, &spec, format!("{}-{c}-{n}", spec.prefix), &tally).await;
                    task::sleep(spec.pause).await;
                }
            })
        })
        .collect();
    Load { stop, tally, callers }
}

async fn send(balancer: &Balancer, spec: &LoadSpec, op: String, tally: &Mutex<Tally>) {
    let Some(addr) = balancer.next() else { return };
    let body = json!({"op": op, "pad": "x".repeat(spec.padding)});
    let answer = send_to(&addr, spec, &op, &body).await;
    tally.lock().expect("the lock is not poisoned").record(op, &body, answer);
}

/// Sends one request to one entry.
///
/// # Errors
/// Returns an error if no complete answer arrives.
pub async fn send_to(
    addr: &str,
    spec: &LoadSpec,
    op: &str,
    body: &Value,
) -> std::io::Result<Answer> {
    let path = format!("/v1/services/{}/check", site::SERVICE);
    let deadline = spec.deadline_ms.to_string();
    let mut headers = vec![("x-gaplock-deadline-ms", deadline.as_str())];
    if spec.once {
        headers.push(("idempotency-key", op));
    }
    let key = site::PARTNER_KEYS[0].1;
    calls::ask(addr, Method::Post, &path, key, &headers, body.clone()).await
}

impl Load {
    /// Returns the outcomes so far.
    pub fn so_far(&self) -> Tally {
        self.tally.lock().expect("the lock is not poisoned").clone()
    }

    /// Stops the callers, each after its current request, and returns all outcomes.
    pub async fn stop(self) -> Tally {
        self.stop.store(true, Ordering::SeqCst);
        for caller in self.callers {
            caller.await;
        }
        let tally = self.tally.lock().expect("the lock is not poisoned").clone();
        tally
    }
}

//! Callers behind a balancer: they send through ready entries and tally what they are told.

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

/// What callers were told, by request.
#[derive(Debug, Default, Clone)]
pub struct Tally {
    /// Whole answers to the caller's own request.
    pub answered: Vec<String>,
    /// Refused as "not run".
    pub not_run: Vec<String>,
    /// Told that the outcome is unknown.
    pub unknown: Vec<String>,
    /// No whole answer: a connection ended or the caller gave up.
    pub cut_off: Vec<String>,
    /// Another's answer, or a part of one.
    pub wrong: Vec<String>,
    /// Refusals by code.
    pub codes: BTreeMap<u16, u64>,
    /// Refusals by their sentence.
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

    fn note(&mut self, op: String, body: &Value, answer: std::io::Result<Answer>) {
        let Ok(answer) = answer else {
            self.cut_off.push(op);
            return;
        };
        if answer.status == 200 {
            let own = answer.json::<Value>().as_ref() == Some(body);
            if own { &mut self.answered } else { &mut self.wrong }.push(op);
            return;
        }
        let refusal: Option<api::Refusal> = answer.json();
        let ran = refusal.as_ref().map_or(codes::Ran::Unknown, |r| r.ran);
        *self.codes.entry(refusal.as_ref().map_or(0, |r| r.code)).or_default() += 1;
        let sentence = refusal.map(|r| r.message).unwrap_or_default();
        *self.messages.entry(sentence).or_default() += 1;
        match ran {
            codes::Ran::No => self.not_run.push(op),
            codes::Ran::Yes | codes::Ran::Unknown => self.unknown.push(op),
        }
    }
}

/// The balancer: which entries get callers now.
#[derive(Debug, Clone, Default)]
pub struct Balancer {
    ready: Arc<Mutex<Vec<String>>>,
    known: Arc<Mutex<Vec<(String, String)>>>,
    turn: Arc<AtomicU64>,
}

const BALANCER_POLL: Duration = Duration::from_millis(50);

impl Balancer {
    /// Sets the entries' callers and health addresses.
    pub fn set_entries(&self, entries: Vec<(String, String)>) {
        *self.known.lock().expect("lock") = entries;
    }

    /// Begins to poll the entries' readiness until `stop`.
    pub fn spawn(&self, stop: Arc<AtomicBool>) {
        let this = self.clone();
        task::spawn(async move {
            while !stop.load(Ordering::SeqCst) {
                this.poll().await;
                task::sleep(BALANCER_POLL).await;
            }
        });
    }

    async fn poll(&self) {
        let known = self.known.lock().expect("lock").clone();
        let mut ready = Vec::new();
        for (callers, health) in known {
            let answer = calls::call(&health, Method::Get, "/ready", &[], Vec::new(), 300).await;
            if answer.is_ok_and(|a| a.status == 200) {
                ready.push(callers);
            }
        }
        *self.ready.lock().expect("lock") = ready;
    }

    /// Returns the next entry's callers address.
    pub fn next(&self) -> Option<String> {
        let ready = self.ready.lock().expect("lock");
        let turn = self.turn.fetch_add(1, Ordering::SeqCst) as usize;
        (!ready.is_empty()).then(|| ready[turn % ready.len()].clone())
    }
}

/// What each caller sends.
#[derive(Debug, Clone)]
pub struct LoadSpec {
    /// Callers at once.
    pub callers: usize,
    /// The pause between two requests of one caller.
    pub pause: Duration,
    /// The deadline that is sent along, in milliseconds.
    pub deadline_ms: u64,
    /// Whether each request has a key and so runs at most once.
    pub once: bool,
    /// Bytes of padding in each body.
    pub padding: usize,
    /// The first part of each request's name.
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

/// Running callers.
pub struct Load {
    stop: Arc<AtomicBool>,
    tally: Arc<Mutex<Tally>>,
    callers: Vec<task::JoinHandle<()>>,
}

/// Starts callers.
pub fn spawn(balancer: &Balancer, wish: &LoadSpec) -> Load {
    let stop = Arc::new(AtomicBool::new(false));
    let tally: Arc<Mutex<Tally>> = Arc::default();
    let callers = (0..wish.callers)
        .map(|c| {
            let (balancer, wish) = (balancer.clone(), wish.clone());
            let (stop, tally) = (Arc::clone(&stop), Arc::clone(&tally));
            task::spawn(async move {
                let mut n = 0;
                while !stop.load(Ordering::SeqCst) {
                    n += 1;
                    send(&balancer, &wish, format!("{}-{c}-{n}", wish.prefix), &tally).await;
                    task::sleep(wish.pause).await;
                }
            })
        })
        .collect();
    Load { stop, tally, callers }
}

async fn send(balancer: &Balancer, wish: &LoadSpec, op: String, tally: &Mutex<Tally>) {
    let Some(addr) = balancer.next() else { return };
    let body = json!({"op": op, "pad": "x".repeat(wish.padding)});
    let answer = send_to(&addr, wish, &op, &body).await;
    tally.lock().expect("lock").note(op, &body, answer);
}

/// Sends one request to one entry.
///
/// # Errors
/// Returns an error where no whole answer came.
pub async fn send_to(
    addr: &str,
    wish: &LoadSpec,
    op: &str,
    body: &Value,
) -> std::io::Result<Answer> {
    let path = format!("/v1/services/{}/check", site::SERVICE);
    let deadline = wish.deadline_ms.to_string();
    let mut headers = vec![("x-gaplock-deadline-ms", deadline.as_str())];
    if wish.once {
        headers.push(("idempotency-key", op));
    }
    let key = site::PARTNER_KEYS[0].1;
    calls::ask(addr, Method::Post, &path, key, &headers, body.clone()).await
}

impl Load {
    /// Returns what has been told so far.
    pub fn so_far(&self) -> Tally {
        self.tally.lock().expect("lock").clone()
    }

    /// Lets every caller end its request, and returns what they were told.
    pub async fn stop(self) -> Tally {
        self.stop.store(true, Ordering::SeqCst);
        for caller in self.callers {
            caller.await;
        }
        let tally = self.tally.lock().expect("lock").clone();
        tally
    }
}

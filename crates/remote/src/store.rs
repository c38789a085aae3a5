//! The client of the platform's key-value service. `docs/DESIGN.md`, section Store, describes its
//! HTTP protocol.
//!
//! The protocol is the published key-value interface with `cas` transactions and blocking reads
//! by index. Every call is counted, because the platform counts calls and charges for them.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time;

use base64::Engine;
use gaplock_coord::action::{Kv, StoreAnswer, StoreCall};
use gaplock_types::ids;
use http_types::Method;
use serde::{Deserialize, Serialize};

use crate::http;

const MAX_IDLE_CONNECTIONS: usize = 8;

/// Calls made so far, by kind.
#[derive(Debug, Default)]
pub struct CallCounts {
    /// Writes and deletions.
    pub writes: AtomicU64,
    /// Reads of one key or a prefix, blocking reads included.
    pub reads: AtomicU64,
    /// Blocking reads.
    pub watches: AtomicU64,
    /// Calls without a clear answer, so that it is unknown whether a write was carried out.
    pub unclear: AtomicU64,
}

/// The client of the key-value service.
#[derive(Debug)]
pub struct Store {
    http: http::Client,
    limit: time::Duration,
    /// Calls made so far.
    pub counts: CallCounts,
}

/// One operation of a transaction.
#[derive(Debug, Serialize, Deserialize)]
pub struct TxnOp {
    /// The operation.
    #[serde(rename = "KV")]
    pub kv: TxnKv,
}

/// A key-value operation.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct TxnKv {
    /// `cas` or `delete-cas`.
    pub verb: String,
    /// The key.
    pub key: String,
    /// The value in base 64.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
    /// The expected modification index.
    pub index: u64,
}

/// The answer to a transaction.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct TxnAnswer {
    /// Results, one for each operation.
    #[serde(default)]
    pub results: Vec<TxnResult>,
}

/// One result of a transaction.
#[derive(Debug, Serialize, Deserialize)]
pub struct TxnResult {
    /// The key after the transaction.
    #[serde(rename = "KV")]
    pub kv: KvRow,
}

/// A key as the service returns it.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct KvRow {
    /// The key.
    pub key: String,
    /// The value in base 64.
    #[serde(default)]
    pub value: Option<String>,
    /// The modification index.
    pub modify_index: u64,
}

/// The header with the index from which the next blocking read continues.
pub const INDEX_HEADER: &str = "x-consul-index";

impl Store {
    /// Builds a client for the service at `addr`; a call may take at most `limit`.
    pub fn open(addr: &str, limit: time::Duration) -> Self {
        Self {
            http: http::Client::open(addr, MAX_IDLE_CONNECTIONS),
            limit,
            counts: CallCounts::default(),
        }
    }

    /// Sends a call and returns its answer.
    pub async fn call(&self, call: &StoreCall) -> StoreAnswer {
        let answer = match call {
            StoreCall::Cas { key, value, index } => {
                let value = base64::engine::general_purpose::STANDARD.encode(value);
                self.transact("cas", key, Some(value), *index).await
            }
            StoreCall::Delete { key, index } => {
                self.transact("delete-cas", key, None, *index).await
            }
            StoreCall::Get { key } => self.read(&format!("/v1/kv/{key}"), self.limit).await.0,
            StoreCall::List { prefix } => {
                self.read(&format!("/v1/kv/{prefix}?recurse=true"), self.limit).await.0
            }
        };
        if answer == StoreAnswer::Unclear {
            self.counts.unclear.fetch_add(1, Ordering::Relaxed);
        }
        answer
    }

    /// Waits until `key` has changed since `index` or `wait` has passed. Returns the key as it is
    /// then, and the index from which to continue. With index 0 it does not wait.
    pub async fn watch(&self, key: &str, index: u64, wait: time::Duration) -> (StoreAnswer, u64) {
        self.counts.watches.fetch_add(1, Ordering::Relaxed);
        let path = format!("/v1/kv/{key}?index={index}&wait={}ms", wait.as_millis());
        self.read(&path, self.limit + wait).await
    }

    async fn transact(
        &self,
        verb: &str,
        key: &str,
        value: Option<String>,
        index: ids::StoreIndex,
    ) -> StoreAnswer {
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        let kv = TxnKv { verb: verb.to_string(), key: key.to_string(), value, index: index.0 };
        let body =
            serde_json::to_vec(&[TxnOp { kv }]).expect("a transaction always serializes to JSON");
        let call = http::Call {
            method: Method::Put,
            path: "/v1/txn",
            headers: &[("content-type", "application/json")],
            body,
            timeout: self.limit,
        };
        let Ok(answer) = self.http.call(call).await else { return StoreAnswer::Unclear };
        match answer.status {
            200 => {
                // The next write of the key needs the index of this one; without it the answer is
                // unclear.
                let results = answer.json::<TxnAnswer>().map(|a| a.results).unwrap_or_default();
                let index = results.first().map(|r| ids::StoreIndex(r.kv.modify_index));
                index.map_or(StoreAnswer::Unclear, StoreAnswer::Written)
            }
            409 => StoreAnswer::Conflict,
            _ => StoreAnswer::Unclear,
        }
    }

    async fn read(&self, path: &str, limit: time::Duration) -> (StoreAnswer, u64) {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        let call = http::Call {
            method: Method::Get,
            path,
            headers: &[],
            body: Vec::new(),
            timeout: limit,
        };
        let Ok(answer) = self.http.call(call).await else { return (StoreAnswer::Unclear, 0) };
        let index = answer.header(INDEX_HEADER).and_then(|v| v.parse().ok()).unwrap_or(0);
        match answer.status {
            404 => (StoreAnswer::Read(Vec::new()), index),
            200 => (answer.json().and_then(decode).unwrap_or(StoreAnswer::Unclear), index),
            _ => (StoreAnswer::Unclear, 0),
        }
    }
}

fn decode(rows: Vec<KvRow>) -> Option<StoreAnswer> {
    let decode_row = |row: KvRow| {
        let text = row.value.unwrap_or_default();
        let value = base64::engine::general_purpose::STANDARD.decode(text).ok()?;
        Some(Kv { key: row.key, value, index: ids::StoreIndex(row.modify_index) })
    };
    rows.into_iter().map(decode_row).collect::<Option<Vec<Kv>>>().map(StoreAnswer::Read)
}

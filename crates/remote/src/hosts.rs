//! The client of the platform's host list, which shows live and leaving hosts with some delay.
//!
//! Each read sends the entity tag of the last one, so that an unchanged list costs only a few
//! hundred bytes.

use std::sync::Mutex;
use std::time;

use gaplock_types::wire;
use http_types::Method;

use crate::http;

/// The client of the host list.
#[derive(Debug)]
pub struct HostList {
    http: http::Client,
    tag: Mutex<Option<String>>,
    limit: time::Duration,
}

impl HostList {
    /// Builds a client for the list at `addr`.
    pub fn open(addr: &str, limit: time::Duration) -> Self {
        Self { http: http::Client::open(addr, 1), tag: Mutex::new(None), limit }
    }

    /// Reads the list. Returns none if it is unchanged or can't be read.
    pub async fn read(&self) -> Option<Vec<wire::Host>> {
        let tag = self.tag.lock().expect("no holder of the lock panics").clone();
        let headers: Vec<(&str, &str)> =
            tag.iter().map(|t| ("if-none-match", t.as_str())).collect();
        let call = http::Call {
            method: Method::Get,
            path: "/v1/hosts",
            headers: &headers,
            body: Vec::new(),
            timeout: self.limit,
        };
        let answer = self.http.call(call).await.ok()?;
        if answer.status != 200 {
            return None;
        }
        let hosts = answer.json()?;
        let tag = answer.header("etag").map(str::to_string);
        *self.tag.lock().expect("no holder of the lock panics") = tag;
        Some(hosts)
    }
}

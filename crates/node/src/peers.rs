//! Calls between hosts, as JSON-RPC over WebSocket by `jsonrpsee`.
//!
//! Followers call only the leader: they send heartbeats and the jobs and cancellations of callers,
//! and query job states. The leader calls a follower only to invite it to lead. Safety depends on
//! none of these calls, and none is sent again automatically: the library neither reconnects nor
//! repeats calls, and a connection on which a call got no answer is dropped.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::future;
use gaplock_distribution::message::{PartAnswer, PartRequest};
use gaplock_jobs::config::Config;
use gaplock_jobs::progress::JobState;
use gaplock_jobs::{Job, JobKey};
use gaplock_overload::admission::{Arrival, Decision};
use gaplock_overload::summary::{LoadSummary, SummaryVersion};
use gaplock_policy::refusals::StoreRevision;
use gaplock_policy::store_outcome::StoreOutcome;
use gaplock_policy::succession;
use gaplock_types::ids;
use gaplock_types::time::{Instant, Millis};
use jsonrpsee::core::client::ClientT;
use jsonrpsee::core::params::ArrayParams;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::announcements::Notice;

/// The time limit of a call to the leader; it normally takes a millisecond or two.
const CALL_LIMIT: Duration = Duration::from_millis(700);

/// The time limit of an invitation: the claim takes three calls to the store, each of which takes
/// up to 0.4 s where the store is slow.
const INVITE_LIMIT: Duration = Duration::from_millis(2_000);

/// The time limit for opening a connection.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// The largest size of a message; the size of a job is limited by the limits for callers, far below
/// this.
pub const MAX_MESSAGE_BYTES: u32 = 4 << 20;

/// Why a call got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum PeerError {
    /// There was no connection; the call was not sent.
    #[display("no connection to the host; the call was not sent")]
    NotSent,
    /// The call was sent but not answered; it may have been carried out.
    #[display("the host did not answer; the call may have been carried out")]
    Unclear,
}

impl std::error::Error for PeerError {}

/// A follower's heartbeat.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct Heartbeat {
    /// The follower's host.
    pub host: ids::EntryId,
    /// How long ago the store last answered the follower.
    pub store_age: Millis,
    /// The version of the follower's configuration; 0 for none.
    pub config_version: u64,
    /// Whether the follower fetches the configuration by itself; `false` from an earlier version.
    #[serde(default)]
    pub reads_parts: bool,
    /// The address at which the follower accepts calls of other hosts.
    pub addr: String,
    /// The capacity of the follower's host as a leader.
    pub strength: succession::LeaderCapacity,
    /// How long the follower's process has been running.
    pub running_for: Millis,
    /// The newest load summary that the follower has.
    #[serde(default)]
    pub load: SummaryVersion,
    /// The follower's failure domain; `None` from an earlier version.
    #[serde(default)]
    pub domain: Option<ids::DomainId>,
    /// The last answer that the follower got from a leader.
    #[serde(default)]
    pub echo: Option<Echo>,
    /// How long ago a call of the follower to the store failed, if none has succeeded since.
    #[serde(default)]
    pub store_failed: Option<Millis>,
}

/// The leader's answer that a heartbeat returns. It shows the leader when the follower sent the
/// heartbeat, however long that was under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct Echo {
    /// The number of the leadership.
    pub term: u64,
    /// The reading of the leader's clock.
    pub at: Instant,
    /// How long ago the follower got the answer; zero in the answer itself.
    #[serde(default)]
    pub age: Millis,
}

/// A notice to the host of a former leader that another host leads now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Superseded {
    /// The number of the new leadership.
    pub term: u64,
}

/// A leader's invitation to a follower to claim the leadership at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Invitation {
    /// The store's revision of the claim that is to be replaced.
    pub claim: u64,
}

/// How many jobs of a queue have not begun.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct QueueCount {
    /// The queue.
    pub queue: String,
    /// The number of its jobs none of whose tasks has begun.
    pub waiting: u32,
}

/// The leader's answer to a heartbeat.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub enum HeartbeatAnswer {
    /// This host does not lead.
    NotLeader,
    /// This host leads, but may not act until the store or enough hosts answer it again.
    Waiting(Echo),
    /// This host leads.
    Leader {
        /// How long ago the leader's configuration was last known to be the newest.
        config_age: Millis,
        /// The version of the leader's configuration; 0 from an earlier version.
        #[serde(default)]
        config_version: u64,
        /// The revision of the store up to which the leader knows all changes of the configuration.
        #[serde(default)]
        config_revision: Option<u64>,
        /// The highest revision of the store that the leader has learned of. A follower that knows
        /// it recognizes older markers of refused jobs.
        #[serde(default)]
        store_revision: u64,
        /// The configuration in force, for a follower of an earlier version whose own is older.
        config: Option<Box<Config>>,
        /// Queues with jobs that have not begun.
        waiting: Vec<QueueCount>,
        /// The host that should claim first if the leader is lost.
        successor: Option<ids::EntryId>,
        /// The largest leader capacity of all hosts that the leader knows, itself included.
        strongest: succession::LeaderCapacity,
        /// The pause after which the follower should send its next heartbeat.
        #[serde(default)]
        beat_after: Millis,
        /// Whether the follower should check whether the store answers it. Its report ends the
        /// leadership if the store no longer answers the leader.
        #[serde(default = "check_store_by_default")]
        check_store: bool,
        /// The load of all queues and pools, if it is newer than what the follower has.
        #[serde(default)]
        load: Option<Box<LoadSummary>>,
        /// What the follower's next heartbeat returns.
        #[serde(default)]
        echo: Echo,
        /// Whether the follower should check the store without waiting for its next heartbeat.
        #[serde(default)]
        check_now: bool,
    },
}

/// The default for answers of an earlier version, whose followers check the store without being
/// asked.
fn check_store_by_default() -> bool {
    true
}

/// A leader's answer to a query for a job's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum StatusAnswer {
    /// This host does not lead, or does not know the job yet.
    Unknown,
    /// The job's state.
    State(JobState),
}

/// The notice of a stored job. A host of an earlier version names no revision; the leader then learns
/// of the job by reading the inbox.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct JobNotice {
    #[serde(flatten)]
    job: Job,
    #[serde(default)]
    stored_at: u64,
}

impl From<JobNotice> for Notice {
    fn from(notice: JobNotice) -> Self {
        Self::Job { job: Arc::new(notice.job), stored_at: StoreRevision(notice.stored_at) }
    }
}

/// The notice of a stored cancellation.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
#[serde(untagged)]
pub enum CancelNotice {
    /// With the revision at which it is stored.
    Stored { key: JobKey, stored_at: u64 },
    /// From a host of an earlier version. The leader learns of the cancellation by reading the inbox.
    Key(JobKey),
}

impl From<CancelNotice> for Notice {
    fn from(notice: CancelNotice) -> Self {
        let (key, stored_at) = match notice {
            CancelNotice::Stored { key, stored_at } => (key, stored_at),
            CancelNotice::Key(key) => (key, 0),
        };
        Self::Cancel { key, stored_at: StoreRevision(stored_at) }
    }
}

/// The answer to the question whether a job is admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum AdmitAnswer {
    /// This host does not lead, or has no recent load summary.
    NotDecided,
    /// The leader's decision.
    Decided(Decision),
}

pub const HEARTBEAT: &str = "heartbeat";
pub const JOB_STORED: &str = "job_stored";
pub const CANCEL_STORED: &str = "cancel_stored";
pub const STORE_JOB: &str = "store_job";
pub const STORE_CANCEL: &str = "store_cancel";
pub const STATUS: &str = "status";
pub const ADMIT: &str = "admit";
pub const INVITE: &str = "invite";
pub const SUPERSEDED: &str = "superseded";
pub const CONFIG_PART: &str = "config_part";

/// The client for calls to other hosts. Its connection is opened on first use and again after a
/// fault.
#[derive(Default)]
pub struct PeerClient {
    client: Mutex<Option<(String, Arc<WsClient>)>>,
}

impl PeerClient {
    async fn client(&self, addr: &str) -> Result<Arc<WsClient>, PeerError> {
        let known = self.client.lock().expect("no holder of the lock panics").clone();
        if let Some((known_addr, client)) = known {
            if known_addr == addr && client.is_connected() {
                return Ok(client);
            }
        }
        let building = WsClientBuilder::default()
            .connection_timeout(CONNECT_LIMIT)
            .request_timeout(INVITE_LIMIT)
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .build(format!("ws://{addr}"));
        let client = future::timeout(CONNECT_LIMIT, building)
            .await
            .map_err(|_| PeerError::NotSent)?
            .map_err(|_| PeerError::NotSent)?;
        let client = Arc::new(client);
        let mut known = self.client.lock().expect("no holder of the lock panics");
        *known = Some((addr.to_string(), Arc::clone(&client)));
        Ok(client)
    }

    async fn call<T: DeserializeOwned>(
        &self,
        addr: &str,
        method: &str,
        body: &impl Serialize,
    ) -> Result<T, PeerError> {
        self.call_within(addr, method, body, CALL_LIMIT).await
    }

    async fn call_within<T: DeserializeOwned>(
        &self,
        addr: &str,
        method: &str,
        body: &impl Serialize,
        limit: Duration,
    ) -> Result<T, PeerError> {
        let client = self.client(addr).await?;
        let mut params = ArrayParams::new();
        params.insert(body).map_err(|_| PeerError::NotSent)?;
        let answer = future::timeout(limit, client.request(method, params)).await;
        if let Ok(Ok(answer)) = answer {
            return Ok(answer);
        }
        // A connection on which a call got no answer is not used again.
        let mut known = self.client.lock().expect("no holder of the lock panics");
        if known.as_ref().is_some_and(|(_, c)| Arc::ptr_eq(c, &client)) {
            *known = None;
        }
        Err(PeerError::Unclear)
    }

    /// Sends a heartbeat.
    ///
    /// # Errors
    /// [`PeerError`] if no answer came.
    pub async fn heartbeat(
        &self,
        addr: &str,
        heartbeat: &Heartbeat,
    ) -> Result<HeartbeatAnswer, PeerError> {
        self.call(addr, HEARTBEAT, heartbeat).await
    }

    /// Requests a part of the configuration.
    ///
    /// # Errors
    /// As [`PeerClient::heartbeat`].
    pub async fn config_part(
        &self,
        addr: &str,
        request: &PartRequest,
    ) -> Result<PartAnswer, PeerError> {
        self.call(addr, CONFIG_PART, request).await
    }

    /// Notifies the leader of something that this host has stored; returns whether the called host
    /// leads.
    ///
    /// # Errors
    /// As [`PeerClient::heartbeat`].
    pub async fn notify_stored(&self, addr: &str, notice: &Notice) -> Result<bool, PeerError> {
        match notice {
            Notice::Job { job, stored_at } => {
                let notice = JobNotice { job: Job::clone(job), stored_at: stored_at.0 };
                self.call(addr, JOB_STORED, &notice).await
            }
            Notice::Cancel { key, stored_at } => {
                let notice = CancelNotice::Stored { key: *key, stored_at: stored_at.0 };
                self.call(addr, CANCEL_STORED, &notice).await
            }
        }
    }

    /// Asks the leader to store a job that this host cannot store.
    ///
    /// # Errors
    /// As [`PeerClient::heartbeat`].
    pub async fn store_job(&self, addr: &str, job: &Job) -> Result<StoreOutcome, PeerError> {
        self.call(addr, STORE_JOB, job).await
    }

    /// Asks the leader to store a cancellation that this host cannot store.
    ///
    /// # Errors
    /// As [`PeerClient::heartbeat`].
    pub async fn store_cancel(&self, addr: &str, key: JobKey) -> Result<StoreOutcome, PeerError> {
        self.call(addr, STORE_CANCEL, &key).await
    }

    /// Invites a follower to claim the leadership; returns whether it now leads.
    ///
    /// # Errors
    /// As [`PeerClient::heartbeat`].
    pub async fn invite(&self, addr: &str, invitation: Invitation) -> Result<bool, PeerError> {
        self.call_within(addr, INVITE, &invitation, INVITE_LIMIT).await
    }

    /// Notifies a former leader's host that another host leads; returns the name of the host that
    /// answers, which leads under no earlier term from then on.
    ///
    /// # Errors
    /// As [`PeerClient::heartbeat`].
    pub async fn notify_superseded(
        &self,
        addr: &str,
        notice: Superseded,
    ) -> Result<ids::EntryId, PeerError> {
        self.call(addr, SUPERSEDED, &notice).await
    }

    /// Waits until the open connection is lost; forever if there is none.
    pub async fn wait_until_lost(&self) {
        let known = self.client.lock().expect("no holder of the lock panics").clone();
        match known {
            Some((addr, client)) => {
                let why = client.on_disconnect().await;
                tracing::debug!(event = "connection_lost", addr, error = %why);
            }
            None => future::pending::<()>().await,
        }
    }

    /// Asks the leader whether a job is admitted.
    ///
    /// # Errors
    /// As [`PeerClient::heartbeat`].
    pub async fn admit(&self, addr: &str, arrival: &Arrival) -> Result<AdmitAnswer, PeerError> {
        self.call(addr, ADMIT, arrival).await
    }

    /// Queries a job's state.
    ///
    /// # Errors
    /// As [`PeerClient::heartbeat`].
    pub async fn status(&self, addr: &str, key: JobKey) -> Result<StatusAnswer, PeerError> {
        self.call(addr, STATUS, &key).await
    }
}

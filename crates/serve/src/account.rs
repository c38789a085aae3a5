//! The ledger of a running process: hands out connections and memory, closes evicted connections,
//! and counts and logs what was refused.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::budget::{Amount, Budget, Bytes, Class, ConnectionId, Ledger, Phase};

/// Why a client was refused, or its connection closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, derive_more::Display)]
pub enum Reason {
    /// There was no connection left for its class.
    #[display("no-connection")]
    NoConnection,
    /// There was no memory left for its class.
    #[display("no-memory")]
    NoMemory,
    /// It was evicted for another client.
    #[display("evicted")]
    Evicted,
    /// It did nothing, or did not end a message, for too long.
    #[display("expired")]
    Expired,
    /// Its head was longer than the limit.
    #[display("head-too-large")]
    HeadTooLarge,
    /// Its head was malformed.
    #[display("head-malformed")]
    HeadMalformed,
    /// Its head did not arrive in time.
    #[display("head-timeout")]
    HeadTimeout,
    /// Its body was larger than the limit.
    #[display("body-too-large")]
    BodyTooLarge,
    /// Its body was malformed, ended early or did not arrive in time.
    #[display("body-truncated")]
    BodyTruncated,
    /// Its message was malformed or larger than the limit.
    #[display("message-refused")]
    MessageRefused,
    /// It did not read its answer in time.
    #[display("answer-unread")]
    AnswerUnread,
}

/// The interval at which one kind of refusal is logged at most.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// A closure that closes an evicted connection.
type Closer = Box<dyn Fn() + Send>;

#[derive(Debug, Clone, Copy, Default)]
struct Count {
    total: u64,
    logged: Option<Duration>,
}

struct State {
    ledger: Ledger,
    closers: HashMap<ConnectionId, Closer>,
    counts: HashMap<(Class, Reason), Count>,
}

/// The account of a process. All its listeners share one.
pub struct Account {
    opened: Instant,
    state: Mutex<State>,
}

/// Opens the account of a process.
pub fn open(budget: Budget) -> Arc<Account> {
    let state =
        State { ledger: Ledger::new(budget), closers: HashMap::new(), counts: HashMap::new() };
    Arc::new(Account { opened: Instant::now(), state: Mutex::new(state) })
}

impl Account {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Opens a connection; `close` is called if it has to give way to another one.
    pub fn connect(
        self: &Arc<Self>,
        class: Class,
        close: impl Fn() + Send + 'static,
    ) -> Option<Held> {
        let mut state = self.state();
        let grant = state.ledger.open(class, self.opened.elapsed());
        let closed = state.take_closers(&grant.evicted);
        if let Some(id) = grant.granted {
            state.closers.insert(id, Box::new(close));
        }
        drop(state);
        self.close_evicted(class, closed);
        if grant.granted.is_none() {
            self.count(class, Reason::NoConnection);
        }
        grant.granted.map(|id| Held { account: Arc::clone(self), class, id })
    }

    fn close_evicted(&self, class: Class, closers: Vec<Closer>) {
        for close in closers {
            close();
            self.count(class, Reason::Evicted);
        }
    }

    /// Closes the connections of a class that have been in a phase for longer than `max_age`.
    pub fn expire(&self, class: Class, phase: Phase, max_age: Duration) {
        let mut state = self.state();
        let expired = state.ledger.expire(class, phase, max_age, self.opened.elapsed());
        let closers = state.take_closers(&expired);
        drop(state);
        for close in closers {
            close();
            self.count(class, Reason::Expired);
        }
    }

    /// Counts a refusal; logs at most one line of each kind in [`LOG_INTERVAL`].
    pub fn count(&self, class: Class, reason: Reason) {
        let now = self.opened.elapsed();
        let mut state = self.state();
        let count = state.counts.entry((class, reason)).or_default();
        count.total += 1;
        let is_due = count.logged.is_none_or(|at| now.saturating_sub(at) >= LOG_INTERVAL);
        if is_due {
            count.logged = Some(now);
        }
        let total = count.total;
        drop(state);
        if is_due {
            tracing::info!(event = "client_refused", class = %class, reason = %reason, total);
        }
    }

    /// Returns how often clients were refused so far, by class and reason.
    pub fn counts(&self) -> Vec<((Class, Reason), u64)> {
        self.state().counts.iter().map(|(&kind, count)| (kind, count.total)).collect()
    }

    /// Returns what a class holds now.
    pub fn used(&self, class: Class) -> Amount {
        self.state().ledger.used(class)
    }
}

impl State {
    fn take_closers(&mut self, evicted: &[ConnectionId]) -> Vec<Closer> {
        evicted.iter().filter_map(|id| self.closers.remove(id)).collect()
    }
}

/// A connection with what is charged to it. Dropping it takes all charges back.
pub struct Held {
    account: Arc<Account>,
    class: Class,
    id: ConnectionId,
}

impl Held {
    /// Charges memory before it is used. Returns `false` if there is none, or if the connection was
    /// evicted.
    pub fn charge(&self, memory: Bytes) -> bool {
        let mut state = self.account.state();
        let grant = state.ledger.charge(self.id, memory, self.account.opened.elapsed());
        let closed = state.take_closers(&grant.evicted);
        drop(state);
        self.account.close_evicted(self.class, closed);
        grant.granted.is_some()
    }

    /// Charges memory that is in use already.
    pub fn add(&self, memory: Bytes) {
        self.account.state().ledger.add(self.id, memory);
    }

    /// Takes a charge back.
    pub fn release(&self, memory: Bytes) {
        self.account.state().ledger.release(self.id, memory);
    }

    /// Sets what the connection is doing. Returns `false` if it was evicted.
    pub fn enter(&self, phase: Phase) -> bool {
        self.account.state().ledger.enter(self.id, phase, self.account.opened.elapsed())
    }

    /// Counts a refusal of this client.
    pub fn count(&self, reason: Reason) {
        self.account.count(self.class, reason);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let mut state = self.account.state();
        state.ledger.close(self.id);
        let closer = state.closers.remove(&self.id);
        drop(state);
        drop(closer);
    }
}

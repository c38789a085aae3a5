//! What a process may hold for its clients, and who gives way when that is used up, without I/O.
//!
//! All listeners of a process draw on one [`Ledger`]. Each class of clients has a reserved part that
//! no other class can use; the rest goes to whoever comes first. Where nothing is left for a class,
//! connections of the same class that keep a request or a place without using it are closed, so that
//! clients that hold on to their connections do not lock out the others (docs/OPERATIONS.md, Limits
//! on clients).

use std::collections::BTreeMap;
use std::time::Duration;

/// A number of bytes.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    derive_more::Display,
    derive_more::FromStr,
    derive_more::Add,
    derive_more::Sum,
)]
pub struct Bytes(pub u64);

/// What a client wants from the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, derive_more::Display)]
pub enum Class {
    /// Requests of callers.
    #[display("callers")]
    Callers,
    /// Checks of a load balancer.
    #[display("readiness")]
    Readiness,
    /// Reads of the metrics.
    #[display("metrics")]
    Metrics,
    /// Calls of other hosts.
    #[display("hosts")]
    Hosts,
}

impl Class {
    /// Every class.
    pub const ALL: [Self; 4] = [Self::Callers, Self::Readiness, Self::Metrics, Self::Hosts];

    fn index(self) -> usize {
        self as usize
    }

    /// Returns the share of the budget that only this class can use, in sixteenths. The shares
    /// leave an eighth for whoever comes first.
    fn reserved_sixteenths(self) -> u64 {
        match self {
            Self::Callers => 8,
            Self::Hosts => 4,
            Self::Readiness | Self::Metrics => 1,
        }
    }

    /// Returns what a connection is charged from its start: its task and buffers, and what the
    /// kernel may buffer for it in both directions ([`RECEIVE_BUFFER`], [`SEND_BUFFER`]).
    pub fn connection_bytes(self) -> Bytes {
        match self {
            Self::Hosts => Bytes(8 << 10) + RECEIVE_BUFFER,
            _ => Bytes(8 << 10) + RECEIVE_BUFFER + SEND_BUFFER,
        }
    }
}

/// How much the kernel may buffer of what arrives on a connection.
pub const RECEIVE_BUFFER: Bytes = Bytes(16 << 10);

/// How much the kernel may buffer of what is sent on a connection.
pub const SEND_BUFFER: Bytes = Bytes(16 << 10);

/// An amount of both resources.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Amount {
    /// The memory.
    pub memory: Bytes,
    /// The connections.
    pub connections: usize,
}

/// The budget of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    /// What all clients may hold together.
    pub total: Amount,
    reserved: [Amount; 4],
}

/// The part of a process's memory that its clients may hold. The rest is for the process's own
/// state.
const MEMORY_DIVISOR: u64 = 4;

/// The descriptors of a process that are kept for files.
const FILE_DESCRIPTORS: usize = 200;

/// The part of the other descriptors that connections of clients may take. A leader's connections
/// to workers take up to 70% of all.
const DESCRIPTOR_DIVISOR: usize = 4;

/// The fewest connections of a budget; with fewer, some class would have none.
const MIN_CONNECTIONS: usize = 16;

/// The least memory of a budget. The part of callers then holds one body of 256 KiB with forty times
/// as much for its handling, which is the most that one request needs with common limits.
const MIN_MEMORY: Bytes = Bytes(20 << 20);

/// Derives the budget from the memory and the descriptors that the process may use.
pub fn of_process(memory: Bytes, descriptors: usize) -> Budget {
    let connections = descriptors.saturating_sub(FILE_DESCRIPTORS) / DESCRIPTOR_DIVISOR;
    divide(Amount {
        memory: Bytes(memory.0 / MEMORY_DIVISOR).max(MIN_MEMORY),
        connections: connections.max(MIN_CONNECTIONS),
    })
}

/// Divides `total` between the classes.
pub fn divide(total: Amount) -> Budget {
    let reserved = Class::ALL.map(|class| Amount {
        memory: Bytes(total.memory.0 / 16 * class.reserved_sixteenths()),
        connections: total.connections * class.reserved_sixteenths() as usize / 16,
    });
    Budget { total, reserved }
}

/// Returns a budget of one class alone, which has no bound on memory.
pub fn unshared(connections: usize) -> Budget {
    let total = Amount { memory: Bytes(u64::MAX), connections };
    Budget { total, reserved: [Amount::default(); 4] }
}

/// Identifies a connection within a ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, derive_more::Display)]
pub struct ConnectionId(u64);

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It is between two requests.
    Idle,
    /// A request is arriving.
    Reading,
    /// A complete request is handled or answered; the connection is never closed meanwhile.
    Busy,
}

#[derive(Debug)]
struct Connection {
    class: Class,
    phase: Phase,
    /// When the phase began.
    since: Duration,
    memory: Bytes,
}

/// How long a connection may be idle or reading, whatever else is short.
pub const MIN_AGE: Duration = Duration::from_millis(500);

/// The account of all connections of a process.
#[derive(Debug)]
pub struct Ledger {
    budget: Budget,
    used: [Amount; 4],
    connections: BTreeMap<ConnectionId, Connection>,
    next: u64,
}

/// The answer to a request for a connection or for memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant<T> {
    /// What is granted, if anything.
    pub granted: Option<T>,
    /// Connections that have to be closed; they are no longer accounted for.
    pub evicted: Vec<ConnectionId>,
}

impl Ledger {
    /// Builds the ledger of a process without connections.
    pub fn new(budget: Budget) -> Self {
        Self { budget, used: Default::default(), connections: BTreeMap::new(), next: 0 }
    }

    /// Returns what a class uses.
    pub fn used(&self, class: Class) -> Amount {
        self.used[class.index()]
    }

    /// Returns the most that a class can use while the others use what they use now.
    fn limit(&self, class: Class) -> Amount {
        let mut limit = self.budget.total;
        for other in Class::ALL.into_iter().filter(|&other| other != class) {
            let (used, reserved) = (self.used[other.index()], self.budget.reserved[other.index()]);
            limit.memory.0 = limit.memory.0.saturating_sub(used.memory.max(reserved.memory).0);
            limit.connections =
                limit.connections.saturating_sub(used.connections.max(reserved.connections));
        }
        limit
    }

    /// Returns by how much a class lacks `more`.
    fn missing(&self, class: Class, more: Amount) -> Amount {
        let (limit, used) = (self.limit(class), self.used(class));
        let memory = used.memory.0.saturating_add(more.memory.0).saturating_sub(limit.memory.0);
        let connections = (used.connections + more.connections).saturating_sub(limit.connections);
        Amount { memory: Bytes(memory), connections }
    }

    /// Opens a connection, which begins idle.
    pub fn open(&mut self, class: Class, now: Duration) -> Grant<ConnectionId> {
        let more = Amount { memory: class.connection_bytes(), connections: 1 };
        let Some(evicted) = self.make_room(class, more, None, now) else {
            return Grant { granted: None, evicted: Vec::new() };
        };
        let id = ConnectionId(self.next);
        self.next += 1;
        let connection =
            Connection { class, phase: Phase::Idle, since: now, memory: Bytes::default() };
        self.connections.insert(id, connection);
        self.used[class.index()].connections += 1;
        self.add(id, more.memory);
        Grant { granted: Some(id), evicted }
    }

    /// Charges memory to a connection. Grants nothing to a connection that was evicted.
    pub fn charge(&mut self, id: ConnectionId, memory: Bytes, now: Duration) -> Grant<()> {
        let more = Amount { memory, connections: 0 };
        let class = self.connections.get(&id).map(|c| c.class);
        let evicted = class.and_then(|class| self.make_room(class, more, Some(id), now));
        let granted = evicted.is_some().then(|| self.add(id, memory));
        Grant { granted, evicted: evicted.unwrap_or_default() }
    }

    /// Charges memory that is held already, whether or not it fits.
    pub fn add(&mut self, id: ConnectionId, memory: Bytes) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.memory = connection.memory + memory;
        let used = &mut self.used[connection.class.index()].memory;
        *used = *used + memory;
    }

    /// Takes a charge back.
    pub fn release(&mut self, id: ConnectionId, memory: Bytes) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let memory = memory.0.min(connection.memory.0);
        connection.memory.0 -= memory;
        self.used[connection.class.index()].memory.0 -= memory;
    }

    /// Sets what a connection is doing. Returns `false` if it was evicted.
    pub fn enter(&mut self, id: ConnectionId, phase: Phase, now: Duration) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        (connection.phase, connection.since) = (phase, now);
        true
    }

    /// Closes a connection and takes all its charges back.
    pub fn close(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else { return };
        let used = &mut self.used[connection.class.index()];
        used.connections -= 1;
        used.memory.0 -= connection.memory.0;
    }

    /// Evicts the connections of a class that have been in a phase for longer than `max_age`.
    pub fn expire(
        &mut self,
        class: Class,
        phase: Phase,
        max_age: Duration,
        now: Duration,
    ) -> Vec<ConnectionId> {
        let expired = self.connections.iter().filter(|(_, c)| {
            c.class == class && c.phase == phase && now.saturating_sub(c.since) > max_age
        });
        let expired: Vec<_> = expired.map(|(&id, _)| id).collect();
        expired.iter().for_each(|&id| self.close(id));
        expired
    }

    /// Evicts as many connections as it takes until `more` fits. For a place, those go first that
    /// have been idle or reading for longest: a host that sends heartbeats is idle for shorter than a
    /// client that stalls. For memory, those go first whose requests take longest to arrive, since
    /// idle connections hold little. Returns `None`, and evicts none, if that is not enough.
    fn make_room(
        &mut self,
        class: Class,
        more: Amount,
        own: Option<ConnectionId>,
        now: Duration,
    ) -> Option<Vec<ConnectionId>> {
        let mut missing = self.missing(class, more);
        if missing == Amount::default() {
            return Some(Vec::new());
        }
        let first = if missing.connections > 0 { None } else { Some(Phase::Reading) };
        let mut evicted = Vec::new();
        while missing != Amount::default() {
            let id = self
                .next_candidate(class, first, now, |id| Some(id) == own || evicted.contains(&id))?;
            missing.memory.0 = missing.memory.0.saturating_sub(self.connections[&id].memory.0);
            missing.connections = missing.connections.saturating_sub(1);
            evicted.push(id);
        }
        evicted.iter().for_each(|&id| self.close(id));
        Some(evicted)
    }

    /// Returns the connection of a class that has been idle or reading for longest; those in phase
    /// `first` come before others.
    fn next_candidate(
        &self,
        class: Class,
        first: Option<Phase>,
        now: Duration,
        is_excluded: impl Fn(ConnectionId) -> bool,
    ) -> Option<ConnectionId> {
        let old_enough = |c: &Connection| now.saturating_sub(c.since) >= MIN_AGE;
        let open = self.connections.iter().filter(|(&id, c)| {
            c.class == class && c.phase != Phase::Busy && old_enough(c) && !is_excluded(id)
        });
        open.min_by_key(|(_, c)| (first.is_some_and(|first| c.phase != first), c.since))
            .map(|(&id, _)| id)
    }
}

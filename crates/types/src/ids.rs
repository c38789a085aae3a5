//! Typed identifiers, so that the identifier of a worker cannot be passed where that of a task is
//! expected.

use std::fmt;
use std::str;

/// The text of an identifier could not be parsed.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("`{text}` is not a {kind}: {why}")]
pub struct ParseError {
    /// The rejected text.
    pub text: String,
    /// The kind of identifier that was expected.
    pub kind: &'static str,
    /// What is wrong with the text.
    pub why: &'static str,
}

const NAME_MAX_BYTES: usize = 64;

fn check_name(text: &str, kind: &'static str) -> Result<(), ParseError> {
    let fail = |why| Err(ParseError { text: text.to_string(), kind, why });
    if text.is_empty() {
        return fail("it is empty");
    }
    if text.len() > NAME_MAX_BYTES {
        return fail("it is longer than 64 bytes");
    }
    if !text.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.:".contains(&b)) {
        return fail("only letters, digits, `-`, `_`, `.` and `:` are allowed");
    }
    Ok(())
}

/// Declares an identifier that consists of text.
macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// Returns the identifier's text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.to_string())
            }
        }
    };
}

/// Declares a name-like identifier: text of at most 64 letters, digits, `-`, `_`, `.` and `:`.
macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        text_id!($(#[$doc])* $name);

        impl str::FromStr for $name {
            type Err = ParseError;
            fn from_str(text: &str) -> Result<Self, ParseError> {
                check_name(text, $kind)?;
                Ok(Self(text.to_string()))
            }
        }
    };
}

name_id!(
    /// The name of an entry, from the settings of its process.
    EntryId, "entry name");
name_id!(
    /// A worker's name in the platform's lists; a restarted worker may keep it.
    WorkerName, "worker name");
text_id!(
    /// One incarnation of a worker. If the platform reports when it started, the text is
    /// `NAME@MILLISECONDS`, so that nothing reported about a previous incarnation is attributed to
    /// this one.
    WorkerId);
name_id!(
    /// The platform's name of a host. Workers start and end on it over time.
    HostId, "host name");
name_id!(
    /// A failure domain, such as `vrhnika-hall`.
    DomainId, "failure domain name");
name_id!(
    /// A rack within a failure domain.
    RackId, "rack name");
name_id!(
    /// A partner (Ljubljana) or team (Klang Valley) on whose behalf work runs.
    PartnerId, "partner name");
name_id!(
    /// A latency-critical service, such as `coldtrace` or `booking`.
    ServiceId, "service name");
name_id!(
    /// A class of batch work whose tasks interfere with services alike.
    BatchClass, "batch class name");
name_id!(
    /// An operator's plan that waits for confirmation.
    PlanId, "plan id");
name_id!(
    /// A caller's key that identifies repeats of one request.
    RequestKey, "request key");

/// Separates a worker's name from its start time in a [`WorkerId`]; no name contains it.
const START_TIME_SEPARATOR: char = '@';

impl WorkerId {
    /// Creates the id of the incarnation of a worker that started at `started`, in milliseconds
    /// since 1970, if that time is known.
    pub fn of(name: &WorkerName, started: Option<u64>) -> Self {
        match started {
            Some(ms) => Self(format!("{name}{START_TIME_SEPARATOR}{ms}")),
            None => Self(name.0.clone()),
        }
    }

    /// Returns the name of the worker.
    pub fn name(&self) -> WorkerName {
        let name = self.0.split_once(START_TIME_SEPARATOR).map_or(self.as_str(), |(name, _)| name);
        WorkerName::from(name)
    }
}

impl str::FromStr for WorkerId {
    type Err = ParseError;
    fn from_str(text: &str) -> Result<Self, ParseError> {
        const KIND: &str = "worker name";
        let Some((name, started)) = text.split_once(START_TIME_SEPARATOR) else {
            check_name(text, KIND)?;
            return Ok(Self(text.to_string()));
        };
        check_name(name, KIND)?;
        let ms = started.parse().map_err(|_| ParseError {
            text: text.to_string(),
            kind: KIND,
            why: "milliseconds were expected behind `@`",
        })?;
        Ok(Self::of(&WorkerName::from(name), Some(ms)))
    }
}

/// Declares a number that is used as an identifier or an increasing counter.
macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $prefix:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// Returns the next number.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        }

        impl str::FromStr for $name {
            type Err = ParseError;
            fn from_str(text: &str) -> Result<Self, ParseError> {
                text.strip_prefix($prefix)
                    .and_then(|digits| digits.parse().ok())
                    .map(Self)
                    .ok_or_else(|| ParseError {
                        text: text.to_string(),
                        kind: stringify!($name),
                        why: concat!("`", $prefix, "` and a number were expected"),
                    })
            }
        }
    };
}

number_id!(
    /// A partition: some of the racks of one failure domain, with the journal of the work on them.
    PartitionId, u32, "p");
number_id!(
    /// The number of a partition's ownership, which increases with each new owner; a higher one
    /// fences every lower one.
    Epoch, u64, "e");
number_id!(
    /// The position of an entry in a partition's journal.
    Seq, u64, "s");
number_id!(
    /// The store's modification index of a key; 0 means that the key does not exist.
    StoreIndex, u64, "i");
number_id!(
    /// The number of the configuration, which increases with each change.
    Generation, u64, "g");
number_id!(
    /// How often a task has been assigned to a worker.
    Attempt, u32, "a");
number_id!(
    /// A random number that a process draws when it starts, so that a restart can be recognized.
    Incarnation, u64, "n");

/// A job: its home partition and a number that is unique in it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct JobId {
    /// The partition whose journal holds the job.
    pub home: PartitionId,
    /// The job's number within the partition.
    pub number: u64,
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "j{}-{}", self.home.0, self.number)
    }
}

impl str::FromStr for JobId {
    type Err = ParseError;
    fn from_str(text: &str) -> Result<Self, ParseError> {
        let parse = || {
            let (home, number) = text.strip_prefix('j')?.split_once('-')?;
            Some(Self { home: PartitionId(home.parse().ok()?), number: number.parse().ok()? })
        };
        parse().ok_or_else(|| ParseError {
            text: text.to_string(),
            kind: "job id",
            why: "`jPARTITION-NUMBER` was expected",
        })
    }
}

/// A task: one unit of a job that runs on one worker at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The task's index within its job.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.job, self.index)
    }
}

impl str::FromStr for TaskId {
    type Err = ParseError;
    fn from_str(text: &str) -> Result<Self, ParseError> {
        let parse = || {
            let (job, index) = text.rsplit_once('.')?;
            Some(Self { job: job.parse().ok()?, index: index.parse().ok()? })
        };
        parse().ok_or_else(|| ParseError {
            text: text.to_string(),
            kind: "task id",
            why: "`jPARTITION-NUMBER.INDEX` was expected",
        })
    }
}

/// Serializes an identifier as its text, so that it can be a key of a JSON object.
#[macro_export]
macro_rules! serde_by_text {
    ($name:ident) => {
        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.collect_str(self)
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                let text = String::deserialize(d)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

serde_by_text!(JobId);
serde_by_text!(TaskId);

/// One running process of an entry: the entry's name, and the incarnation drawn when the process
/// started.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct Member {
    /// The entry's name.
    pub entry: EntryId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.entry, self.incarnation)
    }
}

//! Typed identifiers, so that a worker's number can never be passed where a task's is meant.

use std::fmt;
use std::str;

/// The text of an identifier could not be read.
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

/// Declares an identifier that is a text.
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
    /// An entry host's process, by the name in its settings.
    EntryId, "entry name");
name_id!(
    /// A worker's name in the platform's lists, which it may keep when it starts again.
    WorkerName, "worker name");
text_id!(
    /// One start of a worker. Where the platform tells when that was, the text is `NAME@MILLISECONDS`, so that
    /// nothing said of an earlier start is taken for this one.
    WorkerId);
name_id!(
    /// A host that workers come and go on, by the platform's name for it.
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
    /// A class of batch work whose tasks disturb services alike.
    BatchClass, "batch class name");
name_id!(
    /// An operator's plan, waiting for its confirmation.
    PlanId, "plan id");
name_id!(
    /// A caller's key that marks repeats of one request.
    RequestKey, "request key");

/// Stands between a worker's name and the time of its start; no name has it.
const START_TIME_SEPARATOR: char = '@';

impl WorkerId {
    /// Builds the id of the start of a worker at `started`, in milliseconds since 1970, where that is known.
    pub fn of(name: &WorkerName, started: Option<u64>) -> Self {
        match started {
            Some(ms) => Self(format!("{name}{START_TIME_SEPARATOR}{ms}")),
            None => Self(name.0.clone()),
        }
    }

    /// Returns the name of the worker that started.
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

/// Declares a dense number used as identifier or rising counter.
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
            /// Returns the following number.
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
    /// A partition: a share of one failure domain's racks with the journal of their work.
    PartitionId, u32, "p");
number_id!(
    /// The rising number of a partition's ownership; a higher one fences every lower one.
    Epoch, u64, "e");
number_id!(
    /// The position of an entry in a partition's journal.
    Seq, u64, "s");
number_id!(
    /// The store's modification index of a key; 0 means that the key does not exist.
    StoreIndex, u64, "i");
number_id!(
    /// The rising number of the configuration.
    Generation, u64, "g");
number_id!(
    /// How often a task has been assigned to a worker.
    Attempt, u32, "a");
number_id!(
    /// A random number drawn by a process at its start, so that a restart is seen as one.
    Incarnation, u64, "n");

/// A job: its home partition and a number unique there.
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

/// Serialises an identifier by its text, so that it can be a key of a JSON object.
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

/// One running process of an entry: its name and the incarnation drawn at its start.
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

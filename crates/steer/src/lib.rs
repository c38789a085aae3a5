//! Plans, confirms and undoes operators' instructions for queues.
//!
//! Each command reads the stored record first. `plan` prints what would change and the revision
//! that it was made against; `confirm` and `undo` write only if that revision is still the stored
//! one, in a transaction that expects it, so a record that changes in between is never overwritten.

use gaplock_overload::steer::{self, Instruction, Steer, SteerError, SteerRecord};
use gaplock_platform::configuration;
use gaplock_platform::store::{Revision, Store, StoreError, Txn};

/// What an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Show the stored record.
    Show {
        /// The queue.
        queue: String,
    },
    /// Show what an instruction would change.
    Plan {
        /// The queue.
        queue: String,
        /// The instruction.
        steer: Steer,
    },
    /// Store an instruction.
    Confirm {
        /// The queue.
        queue: String,
        /// The instruction.
        steer: Steer,
        /// The revision that the plan was made against.
        revision: u64,
    },
    /// Restore the former instruction.
    Undo {
        /// The queue.
        queue: String,
        /// The revision of the record that is undone.
        revision: u64,
    },
}

/// Why a command was not carried out. Except for [`CommandError::Store`] with an unclear outcome,
/// nothing has changed.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::From)]
pub enum CommandError {
    /// The input cannot be used.
    #[display("{_0}")]
    Input(SteerError),
    /// The record has changed since the plan was made.
    #[display("revision is `{planned}`: the stored record has revision {stored}; plan again")]
    #[from(ignore)]
    Changed {
        /// The revision that the plan was made against.
        planned: u64,
        /// The stored revision; 0 if there is no record.
        stored: u64,
    },
    /// The stored record cannot be read.
    #[display("the stored record cannot be used: {_0}")]
    #[from(ignore)]
    Record(SteerError),
    /// A call to the store failed.
    #[display("{_0}")]
    Store(StoreError),
}

impl std::error::Error for CommandError {}

fn input(field: &'static str, value: &str, why: &'static str) -> SteerError {
    SteerError { field, value: value.to_string(), why }
}

/// The options of a command line: `--for`, `--until` and `--revision`.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// The duration in seconds.
    pub duration: Option<String>,
    /// The end in milliseconds since 1970.
    pub until: Option<String>,
    /// The revision that a plan was made against.
    pub revision: Option<String>,
}

/// Reads a command from the words and options of a command line.
///
/// # Errors
/// [`SteerError`] names the first field that cannot be used.
pub fn parse(words: &[String], options: &Options, unix_ms: u64) -> Result<Command, SteerError> {
    let word = |at: usize| words.get(at).map(String::as_str);
    let queue = word(1)
        .filter(|q| !q.is_empty())
        .ok_or_else(|| input("queue", "", "the name of a queue was expected"))?;
    let queue = queue.to_string();
    let instruction = || steer::parse_instruction(word(2).unwrap_or_default(), word(3));
    let revision = || {
        let text = options.revision.as_deref().unwrap_or_default();
        text.parse().map_err(|_| input("revision", text, "the revision of a plan was expected"))
    };
    let (command, most_words) = match word(0).unwrap_or_default() {
        "show" => (Command::Show { queue }, 2),
        "plan" => {
            let instruction = instruction()?;
            let duration = options.duration.as_deref().unwrap_or_default();
            let until_unix_ms = steer::parse_duration(duration, unix_ms)?;
            (Command::Plan { queue, steer: Steer { instruction, until_unix_ms } }, 4)
        }
        "confirm" => {
            let instruction = instruction()?;
            let until = options.until.as_deref().unwrap_or_default();
            let until_unix_ms = steer::parse_until(until, unix_ms)?;
            let steer = Steer { instruction, until_unix_ms };
            (Command::Confirm { queue, steer, revision: revision()? }, 4)
        }
        "undo" => (Command::Undo { queue, revision: revision()? }, 2),
        other => {
            return Err(input("command", other, "`show`, `plan`, `confirm` or `undo` was expected"))
        }
    };
    match words.get(most_words) {
        Some(extra) => Err(input("argument", extra, "nothing was expected here")),
        None => Ok(command),
    }
}

/// Carries out a command; returns the text for the operator.
///
/// # Errors
/// [`CommandError`] if it was not carried out.
pub async fn carry_out(
    store: &Store,
    command: &Command,
    unix_ms: u64,
) -> Result<String, CommandError> {
    match command {
        Command::Show { queue } => {
            let (record, revision) = read(store, queue).await?;
            Ok(describe(queue, record.as_ref(), revision, unix_ms))
        }
        Command::Plan { queue, steer } => {
            check_queue(store, queue).await?;
            let (record, revision) = read(store, queue).await?;
            let now = describe(queue, record.as_ref(), revision, unix_ms);
            let planned = steer::replaced(record.as_ref(), queue, *steer, unix_ms);
            let then = describe_steer(&planned.current, unix_ms);
            let confirm = confirm_line(queue, steer, revision);
            Ok(format!("{now}planned: {then}\nconfirm with: {confirm}\n"))
        }
        Command::Confirm { queue, steer, revision } => {
            check_queue(store, queue).await?;
            let record = read_at(store, queue, *revision).await?;
            let replaced = steer::replaced(record.as_ref(), queue, *steer, unix_ms);
            let stored = write(store, queue, Some(&replaced), *revision).await?;
            Ok(describe(queue, Some(&replaced), stored, unix_ms))
        }
        Command::Undo { queue, revision } => {
            let record = read_at(store, queue, *revision).await?;
            let Some(record) = record else {
                return Err(input("queue", queue, "it has no instruction").into());
            };
            let undone = steer::undone(&record, unix_ms);
            let stored = write(store, queue, undone.as_ref(), *revision).await?;
            let stored = if undone.is_some() { stored } else { 0 };
            Ok(describe(queue, undone.as_ref(), stored, unix_ms))
        }
    }
}

/// Returns the command that confirms a plan.
fn confirm_line(queue: &str, steer: &Steer, revision: u64) -> String {
    let instruction = match steer.instruction {
        Instruction::Hold => "hold".to_string(),
        Instruction::Cap(millicores) => format!("cap {millicores}m"),
        Instruction::Floor(millicores) => format!("floor {millicores}m"),
    };
    let until = steer.until_unix_ms;
    format!("gaplock-steer confirm {queue} {instruction} --until {until} --revision {revision}")
}

fn describe_steer(steer: &Steer, unix_ms: u64) -> String {
    let left_s = steer.until_unix_ms.saturating_sub(unix_ms) / 1_000;
    format!("{} for {left_s} s", steer.instruction)
}

/// Describes the stored record of a queue.
fn describe(queue: &str, record: Option<&SteerRecord>, revision: u64, unix_ms: u64) -> String {
    let in_force = record.map(|r| r.current).filter(|steer| steer.is_in_force(unix_ms));
    let text = in_force.map_or("no instruction".to_string(), |s| describe_steer(&s, unix_ms));
    let former = record.and_then(|r| r.former).filter(|steer| steer.is_in_force(unix_ms));
    let former = former
        .map_or(String::new(), |s| format!(", an undo restores: {}", describe_steer(&s, unix_ms)));
    format!("{queue}: {text}{former} (revision {revision})\n")
}

/// Checks that the configuration has a queue of this name.
async fn check_queue(store: &Store, queue: &str) -> Result<(), CommandError> {
    let item = store.get(configuration::KEY).await?;
    let config = item.and_then(|item| configuration::decode(&item.value).ok());
    match config.is_some_and(|config| config.queue(queue).is_some()) {
        true => Ok(()),
        false => Err(input("queue", queue, "the configuration has no such queue").into()),
    }
}

/// Reads the record of a queue with its revision; 0 if there is none.
async fn read(store: &Store, queue: &str) -> Result<(Option<SteerRecord>, u64), CommandError> {
    let Some(item) = store.get(&steer::key(queue)).await? else { return Ok((None, 0)) };
    let record = steer::decode(queue, &item.value).map_err(CommandError::Record)?;
    Ok((Some(record), item.revision.0))
}

/// Reads the record of a queue, which must have the given revision.
async fn read_at(
    store: &Store,
    queue: &str,
    planned: u64,
) -> Result<Option<SteerRecord>, CommandError> {
    match read(store, queue).await? {
        (record, stored) if stored == planned => Ok(record),
        (_, stored) => Err(CommandError::Changed { planned, stored }),
    }
}

/// Writes or removes the record of a queue if it still has the planned revision. Returns the new
/// revision.
async fn write(
    store: &Store,
    queue: &str,
    record: Option<&SteerRecord>,
    planned: u64,
) -> Result<u64, CommandError> {
    let key = steer::key(queue);
    let mut txn = Txn { expected: vec![(key.clone(), Revision(planned))], ..Txn::default() };
    match record {
        Some(record) => {
            let value = serde_json::to_vec(record).expect("a record can be encoded");
            txn.set.push((key, value, None));
        }
        None => txn.remove.push(key),
    }
    match store.commit(&txn).await {
        Ok(revision) => Ok(revision.0),
        Err(StoreError::Conflict) => {
            let stored = read(store, queue).await.map_or(0, |(_, stored)| stored);
            Err(CommandError::Changed { planned, stored })
        }
        Err(e) => Err(e.into()),
    }
}

//! Operators' instructions for one queue: hold or cap its best-effort work, or guarantee it a floor
//! of processors, until a stated time.
//!
//! An instruction is planned against the record that is stored, and written only if that record is
//! still the stored one, so that two operators cannot overwrite each other unnoticed. The record
//! keeps the former instruction, which an undo restores.

use gaplock_types::sizes::MilliCores;
use gaplock_types::time::Millis;

/// The prefix of the keys under which instructions are stored.
pub const PREFIX: &str = "gaplock/steer/";

/// Returns the key under which the instruction for a queue is stored.
pub fn key(queue: &str) -> String {
    format!("{PREFIX}{queue}")
}

/// Returns the queue that a key names; empty for a key of something else.
pub fn queue_of(key: &str) -> &str {
    key.strip_prefix(PREFIX).unwrap_or_default()
}

/// The longest time for which an instruction may be in force: a day. What is to last longer belongs
/// into the configuration.
pub const MAX_DURATION: Millis = Millis(24 * 3_600_000);

/// What an operator demands for a queue.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Instruction {
    /// No best-effort task of the queue is started.
    #[display("hold best-effort work")]
    Hold,
    /// Best-effort tasks of the queue are started only while their demand together, in thousandths
    /// of a core, stays within this.
    #[display("cap best-effort work at {_0}m")]
    Cap(u64),
    /// The queue is entitled to this many thousandths of a core whatever the shares of others are.
    #[display("guarantee {_0}m")]
    Floor(u64),
}

/// An instruction with its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Steer {
    /// The instruction.
    pub instruction: Instruction,
    /// When it ends, in milliseconds since 1970.
    pub until_unix_ms: u64,
}

impl Steer {
    /// Returns whether the instruction is in force.
    pub fn is_in_force(&self, unix_ms: u64) -> bool {
        unix_ms < self.until_unix_ms
    }
}

/// The stored instructions for one queue.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SteerRecord {
    /// The queue.
    pub queue: String,
    /// The instruction that is in force until its end.
    pub current: Steer,
    /// The instruction that it replaced, which an undo restores until its end.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub former: Option<Steer>,
}

/// Why an instruction is not accepted: the field and its value.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
#[display("{field} is `{value}`: {why}")]
pub struct SteerError {
    /// The field.
    pub field: &'static str,
    /// The value that it has.
    pub value: String,
    /// What was expected.
    pub why: &'static str,
}

impl std::error::Error for SteerError {}

fn error(field: &'static str, value: &str, why: &'static str) -> SteerError {
    SteerError { field, value: value.to_string(), why }
}

/// Reads an instruction from its kind (`hold`, `cap` or `floor`) and, for the latter two, an amount
/// of processors.
///
/// # Errors
/// [`SteerError`] names the first field that cannot be used.
pub fn parse_instruction(kind: &str, amount: Option<&str>) -> Result<Instruction, SteerError> {
    let millicores = || {
        let text = amount.unwrap_or_default();
        let cpu: MilliCores =
            text.parse().map_err(|_| error("amount", text, "`2500m` or `2` was expected"))?;
        Ok(u64::from(cpu.0))
    };
    match kind {
        "hold" => match amount {
            None => Ok(Instruction::Hold),
            Some(text) => Err(error("amount", text, "`hold` takes no amount")),
        },
        "cap" => Ok(Instruction::Cap(millicores()?)),
        "floor" => Ok(Instruction::Floor(millicores()?)),
        _ => Err(error("instruction", kind, "`hold`, `cap` or `floor` was expected")),
    }
}

/// Reads an end: milliseconds since 1970, after `unix_ms` and within [`MAX_DURATION`] of it.
///
/// # Errors
/// [`SteerError`] if the end cannot be used.
pub fn parse_until(text: &str, unix_ms: u64) -> Result<u64, SteerError> {
    let until: u64 =
        text.parse().map_err(|_| error("until", text, "milliseconds since 1970 were expected"))?;
    match until.checked_sub(unix_ms) {
        None | Some(0) => Err(error("until", text, "the end has passed")),
        Some(span) if span > MAX_DURATION.0 => {
            Err(error("until", text, "an instruction may last 24 hours at most"))
        }
        Some(_) => Ok(until),
    }
}

/// Reads a duration in seconds and returns the end.
///
/// # Errors
/// [`SteerError`] if the duration cannot be used.
pub fn parse_duration(text: &str, unix_ms: u64) -> Result<u64, SteerError> {
    let seconds: u64 = text.parse().map_err(|_| error("for", text, "seconds were expected"))?;
    if seconds == 0 || seconds > MAX_DURATION.0 / 1_000 {
        return Err(error("for", text, "1 to 86400 seconds were expected"));
    }
    Ok(unix_ms + seconds * 1_000)
}

/// Returns the record that a new instruction makes of the stored one.
pub fn replaced(
    stored: Option<&SteerRecord>,
    queue: &str,
    steer: Steer,
    unix_ms: u64,
) -> SteerRecord {
    let former = stored.map(|record| record.current).filter(|s| s.is_in_force(unix_ms));
    SteerRecord { queue: queue.to_string(), current: steer, former }
}

/// Returns the record that an undo makes of the stored one; `None` if none is left.
pub fn undone(stored: &SteerRecord, unix_ms: u64) -> Option<SteerRecord> {
    let former = stored.former.filter(|steer| steer.is_in_force(unix_ms))?;
    Some(SteerRecord { queue: stored.queue.clone(), current: former, former: None })
}

/// Decodes the stored record of a queue.
///
/// # Errors
/// [`SteerError`] if the record is malformed or is that of another queue; another program may have
/// written it.
pub fn decode(queue: &str, value: &[u8]) -> Result<SteerRecord, SteerError> {
    let text = String::from_utf8_lossy(value);
    let record: SteerRecord = serde_json::from_slice(value)
        .map_err(|_| error("record", &text, "an instruction was expected"))?;
    if record.queue != queue {
        return Err(error("queue", &record.queue, "it is not the queue that the key names"));
    }
    Ok(record)
}

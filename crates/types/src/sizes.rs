//! Capacities of workers and demands of tasks, always in whole units so that sums are exact.

use std::fmt;
use std::str;

use crate::ids;

/// Processor time in thousandths of a core.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct MilliCores(pub u32);

/// Memory in mebibytes.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct MebiBytes(pub u32);

impl fmt::Display for MilliCores {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}m", self.0)
    }
}

impl fmt::Display for MebiBytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}Mi", self.0)
    }
}

impl str::FromStr for MilliCores {
    type Err = ids::ParseError;
    /// Reads `2500m` as thousandths and `2` as whole cores.
    fn from_str(text: &str) -> Result<Self, ids::ParseError> {
        let value = match text.strip_suffix('m') {
            Some(digits) => digits.parse().ok(),
            None => text.parse::<u32>().ok().and_then(|cores| cores.checked_mul(1000)),
        };
        value.map(Self).ok_or_else(|| ids::ParseError {
            text: text.to_string(),
            kind: "processor size",
            why: "`2500m` or `2` was expected",
        })
    }
}

impl str::FromStr for MebiBytes {
    type Err = ids::ParseError;
    /// Reads `512Mi` and `4Gi`.
    fn from_str(text: &str) -> Result<Self, ids::ParseError> {
        let value = if let Some(digits) = text.strip_suffix("Gi") {
            digits.parse::<u32>().ok().and_then(|gib| gib.checked_mul(1024))
        } else {
            text.strip_suffix("Mi").and_then(|digits| digits.parse().ok())
        };
        value.map(Self).ok_or_else(|| ids::ParseError {
            text: text.to_string(),
            kind: "memory size",
            why: "`512Mi` or `4Gi` was expected",
        })
    }
}

/// An amount of processors, memory and accelerators: a worker's capacity or a task's demand.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Default, serde::Serialize, serde::Deserialize,
)]
pub struct Resources {
    /// Processor time.
    pub cpu: MilliCores,
    /// Memory.
    pub mem: MebiBytes,
    /// Whole accelerators.
    #[serde(default)]
    pub acc: u32,
}

impl Resources {
    /// Creates an amount from thousandths of a core, mebibytes and accelerators.
    pub const fn new(cpu: u32, mem: u32, acc: u32) -> Self {
        Self { cpu: MilliCores(cpu), mem: MebiBytes(mem), acc }
    }

    /// Returns whether `self` can hold `demand` in every dimension.
    pub fn holds(&self, demand: &Self) -> bool {
        self.cpu >= demand.cpu && self.mem >= demand.mem && self.acc >= demand.acc
    }

    /// Adds two amounts; saturates instead of wrapping around.
    pub fn plus(&self, other: &Self) -> Self {
        Self::new(
            self.cpu.0.saturating_add(other.cpu.0),
            self.mem.0.saturating_add(other.mem.0),
            self.acc.saturating_add(other.acc),
        )
    }

    /// Subtracts `other`; a dimension that would become negative becomes zero.
    pub fn minus(&self, other: &Self) -> Self {
        Self::new(
            self.cpu.0.saturating_sub(other.cpu.0),
            self.mem.0.saturating_sub(other.mem.0),
            self.acc.saturating_sub(other.acc),
        )
    }

    /// Returns the larger amount of each dimension.
    pub fn max_of_each(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            mem: self.mem.max(other.mem),
            acc: self.acc.max(other.acc),
        }
    }

    /// Returns the largest share of `total` that `self` takes in any dimension.
    pub fn dominant_share(&self, total: &Self) -> f64 {
        let share = |part: u32, whole: u32| match (part, whole) {
            (0, _) => 0.0,
            (_, 0) => f64::INFINITY,
            (part, whole) => f64::from(part) / f64::from(whole),
        };
        share(self.cpu.0, total.cpu.0)
            .max(share(self.mem.0, total.mem.0))
            .max(share(self.acc, total.acc))
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}acc", self.cpu, self.mem, self.acc)
    }
}

//! Calls that are sent several times under one name.
//!
//! An answer speaks of the try that it answers and of no other. A try without an answer is *open*:
//! it may have been carried out, and may yet be, after later calls and after the refusal of a later
//! try. Whoever repeats a call keeps its [`CallAttempts`] and goes by [`CallAttempts::record_outcome`], never by the last
//! answer alone (`docs/PLATFORM.md`, section Repeated calls).

/// What became of a call, or of one try of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// It was carried out.
    Done,
    /// It was not carried out and never will be.
    NotDone,
    /// It may have been carried out, or may be yet.
    Unknown,
}

/// The tries of one call so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CallAttempts {
    sent: u32,
    unanswered: u32,
}

impl CallAttempts {
    /// Counts a try that is being sent.
    pub fn record_send(&mut self) {
        self.sent += 1;
    }

    /// Takes in what became of the last try and returns what became of the call. A call is not done
    /// only if that is known of each of its tries.
    pub fn record_outcome(&mut self, last: Execution) -> Execution {
        match last {
            Execution::Done => Execution::Done,
            Execution::NotDone if self.unanswered == 0 => Execution::NotDone,
            Execution::NotDone => Execution::Unknown,
            Execution::Unknown => {
                self.unanswered += 1;
                Execution::Unknown
            }
        }
    }

    /// Returns how many tries were sent.
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Returns how many tries got no answer.
    pub fn unanswered(&self) -> u32 {
        self.unanswered
    }
}

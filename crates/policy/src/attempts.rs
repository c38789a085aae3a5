//! Calls that are sent several times under one name.
//!
//! An answer says something only about the attempt that it answers. An attempt without an answer is
//! *unanswered*: it may have been carried out, or may still be carried out later, even after later
//! calls and after a later attempt was refused. Code that repeats a call keeps its [`CallAttempts`]
//! and uses the result of [`CallAttempts::record_outcome`], never the last answer alone
//! (`docs/PLATFORM.md`, section Repeated calls).

/// Whether a call, or one attempt of it, was carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// It was carried out.
    Done,
    /// It was not carried out and never will be.
    NotDone,
    /// It may have been carried out, or may still be carried out later.
    Unknown,
}

/// The attempts of one call so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CallAttempts {
    sent: u32,
    unanswered: u32,
}

impl CallAttempts {
    /// Counts an attempt that is being sent.
    pub fn record_send(&mut self) {
        self.sent += 1;
    }

    /// Records the outcome of the last attempt and returns the outcome of the call. The call is
    /// `NotDone` only if each of its attempts is known not to be carried out.
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

    /// Returns how many attempts were sent.
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Returns how many attempts got no answer.
    pub fn unanswered(&self) -> u32 {
        self.unanswered
    }
}

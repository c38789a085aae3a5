//! Calls that are sent several times under one name.
//!
//! An answer speaks of the try that it answers and of no other. A try without an answer is *open*: it may
//! have been carried out, and may yet be, after later calls and after the refusal of a later try.

/// The tries of one call so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Tries {
    sent: u32,
    open: u32,
}

impl Tries {
    /// Counts a try that is being sent.
    pub fn send(&mut self) {
        self.sent += 1;
    }

    /// Takes in that the last try got no answer, and never will.
    pub fn leave_open(&mut self) {
        self.open += 1;
    }

    /// Returns how many tries were sent.
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Returns how many tries got no answer.
    pub fn open(&self) -> u32 {
        self.open
    }
}

//! Calls that are sent several times under one name.
//!
//! An answer speaks of the try that it answers and of no other. A try without an answer is *open*:
//! it may have been carried out, and may yet be, after later calls and after the refusal of a later
//! try. Whoever repeats a call keeps its [`Tries`] and goes by [`Tries::settle`], never by the last
//! answer alone (`docs/PLATFORM.md`, section Repeated calls).

/// What became of a call, or of one try of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It was carried out.
    Done,
    /// It was not carried out and never will be.
    NotDone,
    /// It may have been carried out, or may be yet.
    Unknown,
}

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

    /// Takes in what became of the last try and returns what became of the call. A call is not done
    /// only if that is known of each of its tries.
    pub fn settle(&mut self, last: Fate) -> Fate {
        match last {
            Fate::Done => Fate::Done,
            Fate::NotDone if self.open == 0 => Fate::NotDone,
            Fate::NotDone => Fate::Unknown,
            Fate::Unknown => {
                self.open += 1;
                Fate::Unknown
            }
        }
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

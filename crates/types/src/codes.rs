//! Numbered result codes. Every refusal and every outcome uses one of them.
//!
//! A test checks `docs/RESULT-CODES.md` against the table in this module.

use std::fmt;

/// Whether the work behind a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// The work ran.
    Yes,
    /// The work did not run and will not run for this request.
    No,
    /// The work may have run.
    Unknown,
}

impl fmt::Display for Ran {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Yes => "yes",
            Self::No => "no",
            Self::Unknown => "unknown",
        })
    }
}

/// One row of the result code table.
#[derive(Debug, Clone, Copy)]
pub struct Row {
    /// The code.
    pub code: Code,
    /// The code's stable number.
    pub number: u16,
    /// The code's stable name.
    pub name: &'static str,
    /// The HTTP status that it is sent with.
    pub status: u16,
    /// Whether the work ran.
    pub ran: Ran,
    /// Whether the same request may be sent again unchanged.
    pub repeat: bool,
    /// What the caller should do.
    pub remedy: &'static str,
}

macro_rules! codes {
    ($($code:ident = $number:literal, $name:literal, $status:literal, $ran:ident, $repeat:literal,
       $remedy:literal;)*) => {
        /// A numbered result.
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize,
        )]
        pub enum Code {
            $(#[doc = $remedy] $code,)*
        }

        /// Every result code, in ascending order of its number.
        pub const TABLE: &[Row] = &[
            $(Row {
                code: Code::$code,
                number: $number,
                name: $name,
                status: $status,
                ran: Ran::$ran,
                repeat: $repeat,
                remedy: $remedy,
            },)*
        ];
    };
}

codes! {
    Ok = 0, "ok", 200, Yes, true, "Nothing to do.";
    Accepted = 1, "accepted", 202, No, true, "The work is stored; ask for its status.";
    Replayed = 2, "replayed", 200, Yes, true, "The answer of the first run is repeated.";
    NotInForceYet = 3, "not-in-force-yet", 202, Yes, true,
        "The change is stored; ask for its status until every entry is named.";
    BadRequest = 100, "bad-request", 400, No, false, "Correct the request.";
    BadKey = 101, "bad-key", 401, No, false, "Send a valid key in `Authorization: Bearer KEY`.";
    Forbidden = 102, "forbidden", 403, No, false, "Use a key that has this right.";
    NotFound = 103, "not-found", 404, No, false, "Check the name or id.";
    TooLarge = 104, "too-large", 413, No, false, "Send a smaller body.";
    KeyReused = 105, "key-reused", 422, No, false,
        "The key belongs to another request; take a new key.";
    PlanStale = 106, "plan-stale", 409, No, false,
        "The configuration moved on; read the difference and plan again.";
    PlanExpired = 107, "plan-expired", 410, No, false, "Plan again; plans have a lifetime.";
    NeverFits = 108, "never-fits", 422, No, false,
        "No worker can ever hold this; ask for less or add workers.";
    QuotaExceeded = 109, "quota-exceeded", 429, No, true,
        "The partner's quota is used up; come back after `Retry-After`.";
    Overloaded = 200, "overloaded", 503, No, true,
        "No room before the deadline; come back after `Retry-After`.";
    NoUpstream = 201, "no-upstream", 503, No, true,
        "No worker runs this service now; come back after `Retry-After`.";
    StoreDown = 202, "store-down", 503, No, true,
        "The platform's store is away and this needs it; come back after `Retry-After`.";
    NotReady = 203, "not-ready", 503, No, true,
        "This entry has no fresh configuration; ask another entry.";
    Stopping = 204, "stopping", 503, No, true, "This entry is stopping; ask another entry.";
    NoOwner = 205, "no-owner", 503, No, true,
        "The partition is between two owners; come back after `Retry-After`.";
    InProgress = 206, "in-progress", 409, Unknown, true,
        "The first request with this key still runs; come back after `Retry-After`.";
    TooLargeForPool = 207, "too-large-for-pool", 503, No, true,
        "No worker of the pool can hold it; ask for less, or come back after `Retry-After`.";
    OutcomeUnknown = 300, "outcome-unknown", 502, Unknown, false,
        "The work may have run; check its effect before sending a new request.";
    AnswerNotKept = 301, "answer-not-kept", 410, Yes, false,
        "The work ran, but its answer was too large to keep.";
    UpstreamFailed = 302, "upstream-failed", 502, Unknown, true,
        "A repeatable request failed at its worker; send it again.";
    Cancelled = 303, "cancelled", 409, Unknown, false, "The work was cancelled by its owner.";
    Internal = 900, "internal", 500, Unknown, false, "Report the request id to the operators.";
}

impl Code {
    /// Returns the code's row in the table.
    pub fn row(self) -> &'static Row {
        TABLE.iter().find(|row| row.code == self).expect("every code has a row in the table")
    }

    /// Finds a code by its number.
    pub fn from_number(number: u16) -> Option<Self> {
        TABLE.iter().find(|row| row.number == number).map(|row| row.code)
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let row = self.row();
        write!(f, "{} {}", row.number, row.name)
    }
}

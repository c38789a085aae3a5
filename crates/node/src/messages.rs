//! The messages that a running engine handles, with what decides their turn and names them in metrics.

use async_channel::Sender;
use gaplock_jobs::JobKey;
use gaplock_overload::admission::Arrival;
use gaplock_sched::event_queue::{self, Urgency};
use gaplock_sched::message::Outcome;
use gaplock_sched::Event;

use crate::peers::{AdmitAnswer, StatusAnswer};

/// A message to the engine.
pub enum Message {
    /// An event for the scheduler.
    Event(Event),
    /// A query for a job's state, with the channel for the answer.
    Status(JobKey, Sender<StatusAnswer>),
    /// The question whether a job is admitted, with the channel for the answer.
    Admit(Arrival, Sender<AdmitAnswer>),
}

impl Message {
    /// Returns how urgent the message is.
    pub fn urgency(&self) -> Urgency {
        match self {
            Self::Event(event) => event_queue::urgency_of_event(event),
            Self::Status(..) | Self::Admit(..) => Urgency::Urgent,
        }
    }

    /// Returns the kind of the message, for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Status(..) => "status",
            Self::Admit(..) => "admit",
            Self::Event(Event::Job(..)) => "job",
            Self::Event(Event::Cancel(..)) => "cancel",
            Self::Event(Event::Started { .. }) => "started",
            Self::Event(Event::Stopped { .. }) => "stopped",
            Self::Event(Event::Paced { .. }) => "paced",
            Self::Event(Event::Committed | Event::CommitFailed) => "commit",
            Self::Event(Event::Listed(_) | Event::Unlisted(_)) => "directory",
            Self::Event(Event::Renewed { outcome: Outcome::Done(report), .. }) => {
                if report.ends.is_empty() {
                    "reading"
                } else {
                    "end"
                }
            }
            Self::Event(Event::Renewed { .. }) => "renewal_failed",
            Self::Event(_) => "other",
        }
    }
}

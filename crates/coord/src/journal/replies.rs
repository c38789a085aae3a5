//! Replies that wait for a commit, and what they say where no commit is known of.
//!
//! A refusal that says that nothing ran is given only for a record that never left this process. A
//! repeat asks after an earlier record, which may have left, so it never gets that refusal.

use gaplock_types::{api, codes};

use super::Journal;
use crate::action::ReplyId;
use crate::context::Context;

/// What follows once a record is committed.
#[derive(Debug, Clone)]
pub enum After {
    /// Answer the command that made the record.
    Reply(ReplyId, api::Reply),
    /// Answer a command that asks after an earlier record.
    Repeat(ReplyId, api::Reply),
}

impl After {
    /// Gives the answer: the commit is known of.
    pub(super) fn answer(self, cx: &mut Context) {
        let (Self::Reply(id, reply) | Self::Repeat(id, reply)) = self;
        cx.reply(id, reply);
    }

    /// Says that the record may have been stored, or may be yet.
    fn unknown(self, cx: &mut Context) {
        match self {
            Self::Reply(id, _) => {
                let why = "The store did not confirm the change in time";
                let refusal = api::Refusal::new(codes::Code::OutcomeUnknown, why);
                cx.reply(id, api::Reply::Refused(refusal));
            }
            Self::Repeat(id, _) => cx.reply(id, begun_reply()),
        }
    }

    /// Answers what waits behind a record that never left this process.
    fn unsent(self, cx: &mut Context) {
        match self {
            Self::Reply(id, _) => cx.reply(id, not_owner_reply()),
            Self::Repeat(..) => self.unknown(cx),
        }
    }
}

impl Journal {
    /// Answers a command once everything that is recorded so far is committed.
    pub fn reply_after_commit(&mut self, cx: &mut Context, id: ReplyId, reply: api::Reply) {
        let after = After::Repeat(id, reply);
        match (self.pending.last_mut(), &mut self.inflight) {
            (Some(last), _) => last.after.push(after),
            (None, Some(inflight)) => inflight.after.push(after),
            (None, None) => after.answer(cx),
        }
    }

    /// Drops what is not committed and answers everybody who waits for it.
    pub(super) fn drop_replies(&mut self, cx: &mut Context) {
        for after in self.inflight.take().into_iter().flat_map(|i| i.after) {
            after.unknown(cx);
        }
        for after in self.pending.drain(..).flat_map(|p| p.after) {
            after.unsent(cx);
        }
    }

    /// Answers everybody who has waited too long for a commit, which goes on.
    pub(super) fn time_out_replies(&mut self, cx: &mut Context) {
        if self.healthy(cx) {
            return;
        }
        let sent = self.inflight.iter_mut().flat_map(|i| i.after.drain(..));
        let unsent = self.pending.iter_mut().flat_map(|p| p.after.drain(..));
        for after in sent.chain(unsent) {
            after.unknown(cx);
        }
    }
}

/// Builds the refusal of a repeat whose earlier try was recorded: what became of that is not known,
/// and asking again does no harm.
pub fn begun_reply() -> api::Reply {
    let why = "The store has not confirmed an earlier try in time";
    api::Reply::Refused(api::Refusal::new(codes::Code::InProgress, why))
}

/// Builds the refusal of a command that came to an entry which does not own the partition.
pub fn not_owner_reply() -> api::Reply {
    let code = codes::Code::NoOwner;
    api::Reply::Refused(api::Refusal::new(code, "The partition has no owner now"))
}

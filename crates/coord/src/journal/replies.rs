//! Replies that wait for a commit, and the replies given if the commit is not known to succeed.
//!
//! A refusal that says that nothing ran is given only for a record that never left this process. A
//! repeated command depends on an earlier record, which may have been sent, so it never gets that
//! refusal.

use gaplock_types::{api, codes};

use super::Journal;
use crate::action::ReplyId;
use crate::context::Context;

/// What follows once a record is committed.
#[derive(Debug, Clone)]
pub enum AfterCommit {
    /// Answer the command that created the record.
    Reply(ReplyId, api::Reply),
    /// Answer a repeated command, which depends on an earlier record.
    Repeat(ReplyId, api::Reply),
}

impl AfterCommit {
    /// Gives the reply, after the commit.
    pub(super) fn answer(self, cx: &mut Context) {
        let (Self::Reply(id, reply) | Self::Repeat(id, reply)) = self;
        cx.reply(id, reply);
    }

    /// Replies that the record may have been stored already, or may still be.
    fn answer_unknown(self, cx: &mut Context) {
        match self {
            Self::Reply(id, _) => {
                let why = "The store did not confirm the change in time";
                let refusal = api::Refusal::new(codes::Code::OutcomeUnknown, why);
                cx.reply(id, api::Reply::Refused(refusal));
            }
            Self::Repeat(id, _) => cx.reply(id, in_progress_reply()),
        }
    }

    /// Answers a command that waits for a record that never left this process.
    fn answer_unsent(self, cx: &mut Context) {
        match self {
            Self::Reply(id, _) => cx.reply(id, not_owner_reply()),
            Self::Repeat(..) => self.answer_unknown(cx),
        }
    }
}

impl Journal {
    /// Answers a command once all records appended so far are committed.
    pub fn reply_after_commit(&mut self, cx: &mut Context, id: ReplyId, reply: api::Reply) {
        let after = AfterCommit::Repeat(id, reply);
        match (self.pending.last_mut(), &mut self.inflight) {
            (Some(last), _) => last.after.push(after),
            (None, Some(inflight)) => inflight.after.push(after),
            (None, None) => after.answer(cx),
        }
    }

    /// Drops all uncommitted records and answers the commands that wait for them.
    pub(super) fn drop_replies(&mut self, cx: &mut Context) {
        for after in self.inflight.take().into_iter().flat_map(|i| i.after) {
            after.answer_unknown(cx);
        }
        for after in self.pending.drain(..).flat_map(|p| p.after) {
            after.answer_unsent(cx);
        }
    }

    /// Answers all waiting commands if the commit takes longer than the commit timeout. The commit
    /// itself continues.
    pub(super) fn time_out_replies(&mut self, cx: &mut Context) {
        if self.healthy(cx) {
            return;
        }
        let sent = self.inflight.iter_mut().flat_map(|i| i.after.drain(..));
        let unsent = self.pending.iter_mut().flat_map(|p| p.after.drain(..));
        for after in sent.chain(unsent) {
            after.answer_unknown(cx);
        }
    }
}

/// Builds the refusal of a repeated command whose earlier attempt was recorded. The outcome of that
/// attempt is not known yet, and repeating the command again is safe.
pub fn in_progress_reply() -> api::Reply {
    let why = "The store has not confirmed an earlier try in time";
    api::Reply::Refused(api::Refusal::new(codes::Code::InProgress, why))
}

/// Builds the refusal of a command that reached an entry which does not own the partition.
pub fn not_owner_reply() -> api::Reply {
    let code = codes::Code::NoOwner;
    api::Reply::Refused(api::Refusal::new(code, "The partition has no owner now"))
}

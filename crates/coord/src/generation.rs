//! Keeps the configuration from ever going back, and from being served when it may be old.
//!
//! An entry serves a generation only with recent evidence that no newer one has been accepted:
//! an answer of the store, or heartbeats of a majority of all known entries. A confirmer needs a
//! majority too, so the two majorities share an entry that passes the newer generation on.
//! `docs/DESIGN.md`, section Configuration, has the argument.

use std::sync::Arc;

use gaplock_policy::attempts::Execution;
use gaplock_types::{api, config, ids, time};
use serde::{Deserialize, Serialize};

use crate::context::Context;

/// Past generations that are kept for the history.
pub const HISTORY_ROWS: usize = 100;

/// The configuration as it is kept in the store, with its history.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Document {
    /// The configuration.
    pub config: config::Config,
    /// The configuration before it, for an undo.
    #[serde(default)]
    pub previous: Option<config::Config>,
    /// Past generations, oldest first.
    pub history: Vec<api::HistoryRow>,
}

impl Document {
    /// Builds what `plan`, confirmed by `by`, makes of the document that it was made against.
    pub fn from_plan(before: &Self, plan: &api::Plan, by: &str, at_unix_ms: u64) -> Self {
        let mut config = plan.wanted.clone();
        config.generation = plan.base.next();
        config.by = by.to_string();
        config.at_unix_ms = at_unix_ms;
        config.plan = plan.id.clone();
        let mut history = before.history.clone();
        history.push(api::HistoryRow {
            generation: config.generation,
            by: config.by.clone(),
            at_unix_ms,
            changes: plan.changes.clone(),
            plan: plan.id.clone(),
        });
        if history.len() > HISTORY_ROWS {
            history.remove(0);
        }
        Self { config, previous: Some(before.config.clone()), history }
    }

    /// Returns the plan that made a generation, if that is still kept.
    fn plan_of(&self, generation: ids::Generation) -> Option<&ids::PlanId> {
        if self.config.generation == generation {
            return Some(&self.config.plan);
        }
        let row = self.history.iter().find(|r| r.generation == generation)?;
        (row.plan != ids::PlanId::default()).then_some(&row.plan)
    }

    /// Tells what became of a plan made against `base`, by this document and its history alone: a
    /// newer generation does not say that the plan was not stored below it.
    pub fn fate(&self, plan: &ids::PlanId, base: ids::Generation) -> Execution {
        match self.plan_of(base.next()) {
            Some(maker) if maker == plan => Execution::Done,
            Some(_) => Execution::NotDone,
            None => Execution::Unknown,
        }
    }
}

/// The configuration in force at one entry.
#[derive(Debug, Default)]
pub struct Generations {
    /// The document in force.
    pub doc: Arc<Document>,
    /// Its index in the store, as last read there.
    pub index: ids::StoreIndex,
    /// Whether any evidence has come since the start.
    has_evidence: bool,
    evidence_at: time::Instant,
}

impl Generations {
    /// Returns the generation in force.
    pub fn generation(&self) -> ids::Generation {
        self.doc.config.generation
    }

    /// Takes in a document read from the store by a call that was sent at `sent_at`; none means
    /// that the store holds no configuration yet. Returns whether it is newer.
    pub fn read(
        &mut self,
        sent_at: time::Instant,
        doc: Option<(Document, ids::StoreIndex)>,
    ) -> bool {
        self.has_evidence = true;
        self.evidence_at = self.evidence_at.max(sent_at);
        let Some((doc, index)) = doc else { return false };
        self.index = self.index.max(index);
        self.offer(doc)
    }

    /// Takes in a document from a peer. Returns whether it is newer.
    pub fn offer(&mut self, doc: Document) -> bool {
        if doc.config.generation <= self.generation() {
            return false;
        }
        self.doc = Arc::new(doc);
        true
    }

    /// Takes in that a majority of all known entries was just heard, none with a newer generation.
    pub fn record_majority_evidence(&mut self, now: time::Instant) {
        self.has_evidence = true;
        self.evidence_at = self.evidence_at.max(now);
    }

    /// Returns how old the latest evidence is that the document is the newest.
    pub fn age(&self, now: time::Instant) -> time::Millis {
        now.since(self.evidence_at)
    }

    /// Tells whether the document may be served.
    pub fn fresh(&self, cx: &Context) -> bool {
        self.has_evidence && cx.now.since(self.evidence_at) <= cx.timing.config_max_age
    }
}

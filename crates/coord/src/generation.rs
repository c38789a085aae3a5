//! Keeps an entry from reverting to an older configuration and from serving an outdated one.
//!
//! An entry serves a generation only with recent evidence that no newer one has been accepted:
//! an answer of the store, or heartbeats of a majority of all known entries. An entry that confirms
//! a plan needs a majority too. Two majorities share at least one entry, and that entry passes the
//! newer generation on. `docs/DESIGN.md`, section Configuration, gives the full argument.

use std::sync::Arc;

use gaplock_policy::attempts::Execution;
use gaplock_types::{api, config, ids, time};
use serde::{Deserialize, Serialize};

use crate::context::Context;

/// The most generations that the history keeps; older ones are dropped.
pub const HISTORY_ROWS: usize = 100;

/// The configuration with its history, as stored.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Document {
    /// The configuration.
    pub config: config::Config,
    /// The previous configuration, to which an operator can revert.
    #[serde(default)]
    pub previous: Option<config::Config>,
    /// The generations up to this one, oldest first.
    pub history: Vec<api::HistoryRow>,
}

impl Document {
    /// Builds the document that results from `plan`, confirmed by `by`, on top of `before`.
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

    /// Returns the plan that created a generation, if the history still has it.
    fn plan_of(&self, generation: ids::Generation) -> Option<&ids::PlanId> {
        if self.config.generation == generation {
            return Some(&self.config.plan);
        }
        let row = self.history.iter().find(|r| r.generation == generation)?;
        (row.plan != ids::PlanId::default()).then_some(&row.plan)
    }

    /// Returns whether a plan made against `base` was carried out, from this document and its
    /// history alone. A newer generation is no proof against the plan: it may build on it.
    pub fn plan_outcome(&self, plan: &ids::PlanId, base: ids::Generation) -> Execution {
        match self.plan_of(base.next()) {
            Some(creator) if creator == plan => Execution::Done,
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
    /// The document's modification index, as last read from the store.
    pub index: ids::StoreIndex,
    /// Whether there has been any evidence of freshness since this process started.
    has_evidence: bool,
    evidence_at: time::Instant,
}

impl Generations {
    /// Returns the generation in force.
    pub fn generation(&self) -> ids::Generation {
        self.doc.config.generation
    }

    /// Applies a document read from the store by a call sent at `sent_at`; `None` means that the
    /// store holds no configuration yet. Returns whether the document is newer.
    pub fn apply_stored(
        &mut self,
        sent_at: time::Instant,
        doc: Option<(Document, ids::StoreIndex)>,
    ) -> bool {
        self.has_evidence = true;
        self.evidence_at = self.evidence_at.max(sent_at);
        let Some((doc, index)) = doc else { return false };
        self.index = self.index.max(index);
        self.apply_if_newer(doc)
    }

    /// Applies a document, for example from a peer, if it is newer. Returns whether it is.
    pub fn apply_if_newer(&mut self, doc: Document) -> bool {
        if doc.config.generation <= self.generation() {
            return false;
        }
        self.doc = Arc::new(doc);
        true
    }

    /// Records that heartbeats arrive from a majority of all known entries and that none of them
    /// reports a newer generation.
    pub fn record_majority_evidence(&mut self, now: time::Instant) {
        self.has_evidence = true;
        self.evidence_at = self.evidence_at.max(now);
    }

    /// Returns the age of the latest evidence that this document is the newest.
    pub fn age(&self, now: time::Instant) -> time::Millis {
        now.since(self.evidence_at)
    }

    /// Returns whether the document may be served.
    pub fn fresh(&self, cx: &Context) -> bool {
        self.has_evidence && cx.now.since(self.evidence_at) <= cx.timing.config_max_age
    }
}

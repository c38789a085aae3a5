//! Tests the writes of jobs and of markers of refusals by a model of the store and of hosts that
//! decide about the same job at the same time.
//!
//! Guards against a job that runs although its caller was told that it does not: an earlier attempt
//! to store it, at the same or another host, is carried out after the refusal.

use gaplock_policy::refusals::{
    Found, JobStep, JobWrite, Marker, MarkerOutcome, MarkerStep, MarkerWrite, MarkerWriter,
    StoreRevision, WriteAnswer,
};
use gaplock_policy::store_outcome::StoreOutcome;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const OWN: MarkerWriter = MarkerWriter(1);
const KNOWN: StoreRevision = StoreRevision(100);

fn marker(revision: u64, writer: u64) -> WriteAnswer {
    let (revision, writer) = (StoreRevision(revision), Some(MarkerWriter(writer)));
    WriteAnswer::Conflict(Some(Found::Marker(Marker { revision, writer })))
}

/// Guards against a refusal without a marker that is certainly stored, and against a repeat's
/// refusal that is taken for that of all attempts.
#[test]
fn what_is_not_certain_neither_refuses_nor_counts_as_not_stored() {
    for open in [WriteAnswer::Unclear, WriteAnswer::Conflict(None)] {
        let mut job = JobWrite::begin(OWN, KNOWN);
        assert_eq!(job.answered(open), JobStep::Retry);
        assert_eq!(job.answered(WriteAnswer::NotStored), JobStep::Retry, "after {open:?}");
        assert_eq!(job.given_up(), StoreOutcome::Unclear, "after {open:?}");
        let mut first = MarkerWrite::begin(OWN, KNOWN);
        assert_eq!(first.answered(open), MarkerStep::Finish(MarkerOutcome::Uncertain));
        let mut second = MarkerWrite::begin(OWN, KNOWN);
        assert_eq!(second.answered(marker(101, 2)), MarkerStep::Expect(Some(StoreRevision(101))));
        assert_eq!(second.answered(open), MarkerStep::Finish(MarkerOutcome::Blocked));
    }
}

/// One attempt of a write, as the store sees it.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    request: usize,
    is_job: bool,
    expects: Option<StoreRevision>,
}

#[derive(Default)]
struct Store {
    revision: u64,
    /// The request whose write stored the job.
    job: Option<usize>,
    marker: Option<Marker>,
    /// When each request's marker was stored.
    marked_at: Vec<Option<u64>>,
}

impl Store {
    fn found(&self) -> Found {
        match self.job {
            Some(_) => Found::Job,
            None => self.marker.map_or(Found::Nothing, Found::Marker),
        }
    }

    fn carry_out(&mut self, attempt: Attempt) -> bool {
        if self.job.is_some() || self.marker.map(|m| m.revision) != attempt.expects {
            return false;
        }
        self.revision += 1;
        if attempt.is_job {
            self.job = Some(attempt.request);
            self.marker = None;
        } else {
            let writer = Some(MarkerWriter(attempt.request as u64));
            self.marker = Some(Marker { revision: StoreRevision(self.revision), writer });
            self.marked_at[attempt.request].get_or_insert(self.revision);
        }
        true
    }
}

#[derive(Clone, Copy)]
enum Doing {
    /// It sends the marker of a refusal.
    Marking {
        write: MarkerWrite,
        expects: Option<StoreRevision>,
        sends: u32,
    },
    Storing {
        expects: Option<StoreRevision>,
    },
    Ended(StoreOutcome),
}

struct Request {
    known: StoreRevision,
    write: JobWrite,
    doing: Doing,
}

const MAX_SENDS: u32 = 3;

fn next_of_marker(mut write: MarkerWrite, answer: WriteAnswer, sends: u32) -> Doing {
    let outcome = match write.answered(answer) {
        MarkerStep::Finish(outcome) => outcome,
        MarkerStep::Expect(expects) if sends < MAX_SENDS => {
            return Doing::Marking { write, expects, sends: sends + 1 };
        }
        MarkerStep::Expect(_) => write.given_up(),
    };
    match outcome {
        MarkerOutcome::Stored => Doing::Ended(StoreOutcome::Refused),
        MarkerOutcome::JobStored => Doing::Ended(StoreOutcome::Stored),
        MarkerOutcome::Uncertain => Doing::Storing { expects: None },
        MarkerOutcome::Blocked => Doing::Ended(StoreOutcome::Unclear),
    }
}

fn next_of_job(
    id: usize,
    of: &mut Request,
    expects: Option<StoreRevision>,
    answer: WriteAnswer,
) -> Doing {
    match of.write.answered(answer) {
        JobStep::Finish(outcome) => Doing::Ended(outcome),
        JobStep::Retry => Doing::Storing { expects },
        JobStep::Expect(expects) => Doing::Storing { expects },
        JobStep::Refuse(at) => {
            let own = MarkerWriter(id as u64);
            let write = MarkerWrite::begin_after_later_refusal(own, of.known);
            Doing::Marking { write, expects: Some(at), sends: 1 }
        }
    }
}

/// Plays requests for one job whose calls to the store overlap, are lost or are carried out late.
fn play(seed: u64) -> (bool, bool) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut store, mut requests, mut late) = (Store::default(), Vec::<Request>::new(), Vec::new());
    for _ in 0..120 {
        if requests.len() < 6 && rng.random_bool(0.1) {
            // A host may have learned of any revision up to the present one.
            let known = StoreRevision(rng.random_range(0..=store.revision));
            let own = MarkerWriter(requests.len() as u64);
            let write = JobWrite::begin(own, known);
            let doing = if rng.random_bool(0.5) {
                let write = MarkerWrite::begin(own, known);
                Doing::Marking { write, expects: None, sends: 1 }
            } else {
                Doing::Storing { expects: None }
            };
            requests.push(Request { known, write, doing });
            store.marked_at.push(None);
        }
        if !late.is_empty() && rng.random_bool(0.2) {
            let attempt = late.swap_remove(rng.random_range(0..late.len()));
            store.carry_out(attempt);
        }
        if requests.is_empty() {
            continue;
        }
        let id = rng.random_range(0..requests.len());
        let doing = requests[id].doing;
        let (is_job, expects) = match doing {
            Doing::Ended(_) => continue,
            Doing::Marking { expects, .. } => (false, expects),
            Doing::Storing { expects } => (true, expects),
        };
        let attempt = Attempt { request: id, is_job, expects };
        let answer = match rng.random_range(0..10) {
            0 => WriteAnswer::NotStored,
            1 => {
                store.carry_out(attempt);
                WriteAnswer::Unclear
            }
            2 | 3 => {
                late.push(attempt);
                WriteAnswer::Unclear
            }
            _ if store.carry_out(attempt) => WriteAnswer::Stored,
            _ => WriteAnswer::Conflict(rng.random_bool(0.9).then(|| store.found())),
        };
        requests[id].doing = match doing {
            Doing::Marking { write, sends, .. } => next_of_marker(write, answer, sends),
            Doing::Storing { expects } => next_of_job(id, &mut requests[id], expects, answer),
            Doing::Ended(_) => doing,
        };
    }
    for attempt in late {
        store.carry_out(attempt);
    }
    let mut refused = false;
    for (id, request) in requests.iter().enumerate() {
        let is_accepted = matches!(request.doing, Doing::Ended(StoreOutcome::Stored));
        assert!(!is_accepted || store.job.is_some(), "seed {seed}: an accepted job is not stored");
        if !matches!(request.doing, Doing::Ended(StoreOutcome::Refused)) {
            continue;
        }
        refused = true;
        let marked_at = store.marked_at[id].expect("a refusal has a marker");
        let runs_for = store.job.map(|by| requests[by].known);
        assert!(
            runs_for.is_none_or(|known| known.0 >= marked_at),
            "seed {seed}: request {id} was refused at revision {marked_at}, and the job runs for a \
             request that arrived before"
        );
    }
    (refused, refused && store.job.is_some())
}

#[test]
fn a_refused_job_runs_only_for_a_request_that_came_after_the_refusal() {
    let played: Vec<(bool, bool)> = (0..20_000).map(play).collect();
    let refused = played.iter().filter(|(refused, _)| *refused).count();
    let ran_later = played.iter().filter(|(_, ran)| *ran).count();
    assert!(refused > 5_000 && ran_later > 200, "{refused} refused, {ran_later} ran later");
}

//! Parses the chart language and checks that the chart is complete and every state reachable.

use crate::{Chart, ChartError, Event, Result, State, Transition};

/// The lines of a chart as parsed, before names are resolved.
#[derive(Default)]
struct ChartDraft {
    name: String,
    events: Vec<String>,
    states: Vec<String>,
    finals: Vec<bool>,
    /// Line, state, event and target. The target `None` means `keep`, and [`NEVER_TARGET`] means
    /// `never`.
    rules: Vec<(usize, usize, String, Option<String>)>,
}

/// Stands for `never` as the target of a rule.
const NEVER_TARGET: &str = "!";

fn fail<T>(line: usize, why: impl Into<String>) -> Result<T> {
    Err(ChartError { line, why: why.into() })
}

pub(crate) fn parse(text: &str) -> Result<Chart> {
    let mut draft = ChartDraft::default();
    for (i, raw) in text.lines().enumerate() {
        let line = raw.split('#').next().unwrap_or_default();
        let words: Vec<&str> = line.split_whitespace().collect();
        read_line(&mut draft, i + 1, &words)?;
    }
    let chart = build(draft)?;
    check_reachable(&chart)?;
    Ok(chart)
}

fn read_line(draft: &mut ChartDraft, line: usize, words: &[&str]) -> Result<()> {
    match words {
        [] => {}
        ["chart", name] => draft.name = (*name).to_string(),
        ["events", names @ ..] => draft.events.extend(names.iter().map(|n| (*n).to_string())),
        ["state", name] => add_state(draft, line, name, false)?,
        ["final", name] => add_state(draft, line, name, true)?,
        ["on", events @ .., "->", target] => add_rules(draft, line, events, Some(target))?,
        ["keep", events @ ..] => add_rules(draft, line, events, None)?,
        ["never", events @ ..] => add_rules(draft, line, events, Some(NEVER_TARGET))?,
        _ => return fail(line, format!("cannot parse `{}`", words.join(" "))),
    }
    Ok(())
}

fn add_state(draft: &mut ChartDraft, line: usize, name: &str, is_final: bool) -> Result<()> {
    if draft.states.iter().any(|s| s == name) {
        return fail(line, format!("state `{name}` is declared twice"));
    }
    draft.states.push(name.to_string());
    draft.finals.push(is_final);
    Ok(())
}

fn add_rules(
    draft: &mut ChartDraft,
    line: usize,
    events: &[&str],
    target: Option<&str>,
) -> Result<()> {
    let Some(state) = draft.states.len().checked_sub(1) else {
        return fail(line, "rule before the first state");
    };
    for event in events {
        let rule = (line, state, (*event).to_string(), target.map(str::to_string));
        draft.rules.push(rule);
    }
    Ok(())
}

fn build(draft: ChartDraft) -> Result<Chart> {
    if draft.states.is_empty() {
        return fail(0, "the chart has no state");
    }
    let width = draft.events.len();
    let mut transitions: Vec<Option<Transition>> = vec![None; draft.states.len() * width];
    for (line, state, event, target) in &draft.rules {
        let Some(column) = draft.events.iter().position(|e| e == event) else {
            return fail(*line, format!("event `{event}` is not declared"));
        };
        let transition = match target.as_deref() {
            None => Transition::Keep,
            Some(NEVER_TARGET) => Transition::Never,
            Some(name) => match draft.states.iter().position(|s| s == name) {
                Some(i) => Transition::Go(State(i as u8)),
                None => return fail(*line, format!("state `{name}` is not declared")),
            },
        };
        let slot = &mut transitions[state * width + column];
        if slot.is_some() {
            return fail(*line, format!("event `{event}` has two rules in one state"));
        }
        *slot = Some(transition);
    }
    let transitions = transitions
        .into_iter()
        .enumerate()
        .map(|(i, transition)| {
            transition.ok_or_else(|| ChartError {
                line: 0,
                why: format!(
                    "state `{}` has no rule for event `{}`",
                    draft.states[i / width],
                    draft.events[i % width]
                ),
            })
        })
        .collect::<Result<Vec<Transition>>>()?;
    Ok(Chart {
        name: draft.name,
        states: draft.states,
        finals: draft.finals,
        events: draft.events,
        transitions,
        start: State(0),
    })
}

fn check_reachable(chart: &Chart) -> Result<()> {
    let mut reached = vec![false; chart.states.len()];
    let mut to_visit = vec![chart.start];
    while let Some(state) = to_visit.pop() {
        if std::mem::replace(&mut reached[usize::from(state.0)], true) {
            continue;
        }
        for event in 0..chart.events.len() {
            if let Ok(next) = chart.step(state, Event(event as u8)) {
                to_visit.push(next);
            }
        }
    }
    match reached.iter().position(|r| !r) {
        Some(i) => fail(0, format!("state `{}` is unreachable", chart.states[i])),
        None => Ok(()),
    }
}

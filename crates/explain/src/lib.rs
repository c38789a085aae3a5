//! Assembles the timeline of one job from the structured logs of all hosts.
//!
//! Lines of several processes are merged by their timestamps. Lines that are not JSON, or that
//! name neither the job nor one of its tasks, are omitted. Changes of leadership are included for
//! every job: they show where a host whose log is missing may have made decisions.

use serde_json::{Map, Value};

/// One line of the timeline.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// The timestamp that the log line carries.
    pub time: String,
    /// The event's name.
    pub event: String,
    /// The task, if the line names one.
    pub task: Option<String>,
    /// The other fields, sorted by name.
    pub fields: Vec<(String, String)>,
}

/// Fields that are not listed again among a line's other fields.
const OMITTED_FIELDS: [&str; 4] = ["timestamp", "level", "event", "task"];

/// Events that belong to every job's timeline, because they change which host decides or which
/// decisions are in force.
const LEADERSHIP_EVENTS: [&str; 6] = [
    "leadership_claimed",
    "leadership_lost",
    "leadership_over",
    "takeover_began",
    "survey_ended",
    "commit_failed",
];

/// Returns the timeline of a job from the text of a log, sorted by time.
///
/// It begins and ends with lines that name the job or one of its tasks, and is empty without one.
pub fn timeline(log: &str, job: &str) -> Vec<Line> {
    let mut lines: Vec<Line> = log.lines().filter_map(|text| parse_line(text, job)).collect();
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    let names_job = |l: &Line| !LEADERSHIP_EVENTS.contains(&l.event.as_str());
    let (Some(first), Some(last)) =
        (lines.iter().position(names_job), lines.iter().rposition(names_job))
    else {
        return Vec::new();
    };
    lines[first..=last].to_vec()
}

fn parse_line(text: &str, job: &str) -> Option<Line> {
    let object: Map<String, Value> = serde_json::from_str(&text[text.find('{')?..]).ok()?;
    let text_field = |name: &str| object.get(name).and_then(Value::as_str).map(str::to_string);
    let (event, task) = (text_field("event")?, text_field("task"));
    let of_job = text_field("job").as_deref() == Some(job)
        || task.as_deref().is_some_and(|t| t.split('.').next() == Some(job));
    if !of_job && !LEADERSHIP_EVENTS.contains(&event.as_str()) {
        return None;
    }
    let fields = object.iter().filter(|(name, _)| !OMITTED_FIELDS.contains(&name.as_str()));
    let fields = fields.map(|(name, value)| (name.clone(), value_text(value)));
    Some(Line { time: text_field("timestamp")?, event, task, fields: fields.collect() })
}

fn value_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_string)
}

/// Formats the timeline as text, one line for each event.
pub fn render(lines: &[Line]) -> String {
    let mut text = String::new();
    for line in lines {
        let task = line.task.as_deref().unwrap_or("-");
        let fields: Vec<String> = line.fields.iter().map(|(n, v)| format!("{n}={v}")).collect();
        text.push_str(&format!("{} {} {} {}\n", line.time, line.event, task, fields.join(" ")));
    }
    text
}

/// Formats the timeline as a JSON array.
pub fn to_json(lines: &[Line]) -> String {
    let rows = lines.iter().map(|line| {
        let fields = line.fields.iter().map(|(n, v)| (n.clone(), Value::from(v.as_str())));
        let mut row: Map<String, Value> = fields.collect();
        row.insert("time".into(), Value::from(line.time.as_str()));
        row.insert("event".into(), Value::from(line.event.as_str()));
        row.insert("task".into(), line.task.as_deref().map_or(Value::Null, Value::from));
        Value::Object(row)
    });
    Value::Array(rows.collect()).to_string()
}

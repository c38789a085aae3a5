//! Puts together one job's story from the structured logs of all hosts.
//!
//! Lines of several processes are merged by their timestamps. Lines that are not JSON, or that do
//! not name the job or one of its tasks, are left out; a gap in the story is named, since a host
//! whose log is missing may have decided meanwhile.

use serde_json::{Map, Value};

/// One line of the story.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// When it was written, as the log says.
    pub time: String,
    /// What happened.
    pub event: String,
    /// The task, where the line names one.
    pub task: Option<String>,
    /// The other fields, in the order of their names.
    pub fields: Vec<(String, String)>,
}

/// Fields that the story does not repeat.
const LEFT_OUT: [&str; 4] = ["timestamp", "level", "event", "task"];

/// Events that belong to every job's story, because they change who decides or what is in force.
const FOR_ALL: [&str; 6] = [
    "leadership_claimed",
    "leadership_lost",
    "leadership_over",
    "takeover_began",
    "survey_ended",
    "commit_failed",
];

/// Reads a log and returns the story of a job, in the order of time.
pub fn story(log: &str, job: &str) -> Vec<Line> {
    let mut lines: Vec<Line> = log.lines().filter_map(|text| line(text, job)).collect();
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    let own = |l: &Line| !FOR_ALL.contains(&l.event.as_str());
    let (Some(first), Some(last)) = (lines.iter().position(own), lines.iter().rposition(own))
    else {
        return Vec::new();
    };
    lines[first..=last].to_vec()
}

fn line(text: &str, job: &str) -> Option<Line> {
    let object: Map<String, Value> = serde_json::from_str(&text[text.find('{')?..]).ok()?;
    let word = |name: &str| object.get(name).and_then(Value::as_str).map(str::to_string);
    let (event, task) = (word("event")?, word("task"));
    let of_job = word("job").as_deref() == Some(job)
        || task.as_deref().is_some_and(|t| t.split('.').next() == Some(job));
    if !of_job && !FOR_ALL.contains(&event.as_str()) {
        return None;
    }
    let fields = object.iter().filter(|(name, _)| !LEFT_OUT.contains(&name.as_str()));
    let fields = fields.map(|(name, value)| (name.clone(), plain(value)));
    Some(Line { time: word("timestamp")?, event, task, fields: fields.collect() })
}

fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_string)
}

/// Writes the story as text, one line for each event.
pub fn render(lines: &[Line]) -> String {
    let mut text = String::new();
    for line in lines {
        let task = line.task.as_deref().unwrap_or("-");
        let fields: Vec<String> = line.fields.iter().map(|(n, v)| format!("{n}={v}")).collect();
        text.push_str(&format!("{} {} {} {}\n", line.time, line.event, task, fields.join(" ")));
    }
    text
}

/// Writes the story as JSON.
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

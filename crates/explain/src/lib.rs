//! Assembles the timeline of one job from the structured logs of all hosts.
//!
//! Lines of several processes are merged by their timestamps. Lines that are not JSON, or that
//! name neither the job nor one of its tasks, are omitted. Changes of leadership are included for
//! every job: they show where a host whose log is missing may have made decisions. Lines about the
//! backlog of the job's queue are included up to the last start or wait of one of its tasks.

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

/// The event that shows the backlog of a queue.
const BACKLOG_EVENT: &str = "queue_backlogged";

/// The events that show that a task of the job waits or has waited.
const WAIT_EVENTS: [&str; 3] = ["step_waits", "step_held", "start_ordered"];

impl Line {
    fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(field, _)| field == name).map(|(_, value)| value.as_str())
    }

    fn names_job(&self) -> bool {
        self.event != BACKLOG_EVENT && !LEADERSHIP_EVENTS.contains(&self.event.as_str())
    }
}

/// Removes the lines about backlogs that do not explain a wait of the job: those of other queues,
/// and those after the last wait.
fn remove_unrelated_backlogs(lines: &mut Vec<Line>) {
    let of_job = lines.iter().filter(|l| l.names_job());
    let queue = of_job.filter_map(|l| l.field("queue")).next().map(str::to_string);
    let last_wait = lines.iter().rposition(|l| WAIT_EVENTS.contains(&l.event.as_str()));
    let mut at = 0;
    lines.retain(|line| {
        let explains_wait =
            queue.is_some() && line.field("queue") == queue.as_deref() && last_wait > Some(at);
        at += 1;
        line.event != BACKLOG_EVENT || explains_wait
    });
}

/// Returns the timeline of a job from the text of a log, sorted by time.
///
/// It begins and ends with lines that name the job or one of its tasks, and is empty without one.
pub fn timeline(log: &str, job: &str) -> Vec<Line> {
    let mut lines: Vec<Line> = log.lines().filter_map(|text| parse_line(text, job)).collect();
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    remove_unrelated_backlogs(&mut lines);
    let (Some(first), Some(last)) =
        (lines.iter().position(Line::names_job), lines.iter().rposition(Line::names_job))
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
    let of_every_job = LEADERSHIP_EVENTS.contains(&event.as_str()) || event == BACKLOG_EVENT;
    if !of_job && !of_every_job {
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

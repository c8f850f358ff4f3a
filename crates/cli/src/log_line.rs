//! Parses one line of a host's log and formats it as sentences.

use heatherhinge_types::{Code, Ran};
use jiff::Timestamp;
use serde_json::{Map, Value};

/// Fields that the sentences already contain, left out of the list of remaining fields.
const SENTENCE_FIELDS: [&str; 13] = [
    "message",
    "request_id",
    "route",
    "service",
    "status",
    "code",
    "took_ms",
    "allowed_ms",
    "deadline_ms",
    "attempts",
    "routes_version",
    "targets_version",
    "steps",
];

/// A parsed log line.
#[derive(Clone, Debug)]
pub(crate) struct LogLine {
    at: Timestamp,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line; `None` unless it is a JSON object with a timestamp and fields.
    pub(crate) fn read(line: &str) -> Option<Self> {
        let Ok(Value::Object(mut object)) = serde_json::from_str(line) else {
            return None;
        };
        let at = object.get("timestamp")?.as_str()?.parse().ok()?;
        let Some(Value::Object(fields)) = object.remove("fields") else {
            return None;
        };
        Some(Self { at, fields })
    }

    /// Returns the message, or an empty text if there is none.
    pub(crate) fn message(&self) -> &str {
        self.text("message").unwrap_or_default()
    }

    /// Returns the id of the request that the line is about.
    pub(crate) fn request_id(&self) -> Option<&str> {
        self.text("request_id")
    }

    /// Returns by how many milliseconds this line is older than another one.
    pub(crate) fn ms_before(&self, other: &Self) -> i64 {
        other.at.as_millisecond() - self.at.as_millisecond()
    }

    /// Returns the fields as a JSON object.
    pub(crate) fn as_json(&self) -> Value {
        Value::Object(self.fields.clone())
    }

    /// Returns the line as one sentence: its time, its message and the remaining fields.
    pub(crate) fn sentence(&self) -> String {
        let rest: Vec<String> = self
            .fields
            .iter()
            .filter(|(name, _)| !SENTENCE_FIELDS.contains(&name.as_str()))
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name} {text}"),
                value => format!("{name} {value}"),
            })
            .collect();
        let rest = if rest.is_empty() {
            String::new()
        } else {
            format!(" ({})", rest.join(", "))
        };
        format!("{} {}{rest}", self.at, self.message())
    }

    /// Returns a line about a request as sentences: one for each step and for the response.
    pub(crate) fn sentences(&self) -> Vec<String> {
        let (Some(route), Some(status)) = (self.text("route"), self.number("status")) else {
            return vec![self.sentence()];
        };
        let number = |name| self.number(name).unwrap_or_default();
        let mut sentences = vec![format!(
            "{} a request on route {route} of service {} ended; it was routed with version {} of \
             the routes and version {} of the targets.",
            self.at,
            self.text("service").unwrap_or("unknown"),
            number("routes_version"),
            number("targets_version"),
        )];
        let steps = self.text("steps").unwrap_or_default();
        let steps = steps.split("; ").filter(|step| !step.is_empty());
        sentences.extend(steps.map(|step| format!("{step}.")));
        sentences.push(format!(
            "The response was {status} after {} ms of the allowed {} ms; the caller's deadline was \
             {} ms.",
            number("took_ms"),
            number("allowed_ms"),
            number("deadline_ms"),
        ));
        sentences.extend(self.code_sentence());
        sentences
    }

    /// Returns what the result code means and whether the request ran.
    fn code_sentence(&self) -> Option<String> {
        let number = u16::try_from(self.number("code")?).ok()?;
        let code = Code::from_number(number)?;
        let ran = match code.ran() {
            Ran::No => "It has not run and never will.",
            Ran::Unknown => "It may have run.",
            Ran::Yes => "It ran.",
        };
        Some(format!("Code {number}: {} {ran}", code.text()))
    }

    fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }
}

//! Tells the story of one request from the logs of all processes.
//!
//! Pure: log lines in, text out. A request's own lines come with what was logged
//! of the replicas it went to, and of the configuration and leadership, around it.

use std::collections::BTreeSet;

use serde_json::{Map, Value};

/// How long before and after a request other lines belong to its story, in seconds.
const AROUND_S: f64 = 5.0;

/// One JSON log line.
#[derive(Clone, Debug)]
struct LogLine {
    at: String,
    at_s: f64,
    host: String,
    message: String,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Reads a line; text before the JSON is passed over, and so is what is no log line.
    fn parse(text: &str) -> Option<Self> {
        let json = &text[text.find('{')?..];
        let value: Value = serde_json::from_str(json).ok()?;
        let at = value.get("timestamp")?.as_str()?.to_owned();
        let mut fields = value.get("fields")?.as_object()?.clone();
        let message = fields.remove("message")?.as_str()?.to_owned();
        let host = value.get("span").and_then(|span| span.get("host"));
        let host = host.and_then(Value::as_str).unwrap_or("?").to_owned();
        Some(Self {
            at_s: seconds(&at)?,
            at,
            host,
            message,
            fields,
        })
    }

    fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    fn show(&self) -> String {
        let fields = self.fields.iter();
        let shown = fields.map(|(name, value)| match value.as_str() {
            Some(text) => format!("{name}={text:?}"),
            None => format!("{name}={value}"),
        });
        let shown: Vec<String> = shown.collect();
        format!(
            "{} {} {}: {}",
            self.at,
            self.host,
            self.message,
            shown.join(" ")
        )
    }
}

/// Seconds within the day of an RFC 3339 time.
fn seconds(at: &str) -> Option<f64> {
    let clock = at.split_once('T')?.1.trim_end_matches('Z');
    let mut parts = clock.split(':').map(|part| part.parse::<f64>().ok());
    let (hours, minutes, rest) = (parts.next()??, parts.next()??, parts.next()??);
    Some(hours * 3600.0 + minutes * 60.0 + rest)
}

/// The lines that explain a request, oldest first; none where no line names it.
pub fn explain<'a>(id: &str, lines: impl Iterator<Item = &'a str>) -> Vec<String> {
    let lines: Vec<LogLine> = lines.filter_map(LogLine::parse).collect();
    let own = |line: &&LogLine| line.field("request") == Some(id);
    let own: Vec<&LogLine> = lines.iter().filter(own).collect();
    let times = || own.iter().map(|line| line.at_s);
    let took_ms = own
        .iter()
        .filter_map(|line| line.fields.get("took_ms")?.as_f64());
    let took_s = took_ms.fold(0.0, f64::max) / 1000.0;
    let from_s = times().fold(f64::INFINITY, f64::min) - took_s - AROUND_S;
    let until_s = times().fold(f64::NEG_INFINITY, f64::max) + AROUND_S;
    let named = |name: &str| -> BTreeSet<&str> {
        let values = own.iter().filter_map(|line| line.field(name));
        values.filter(|value| !value.is_empty()).collect()
    };
    let hosts: BTreeSet<&str> = own.iter().map(|line| line.host.as_str()).collect();
    let replicas = named("replica");
    let models: BTreeSet<&str> = named("model")
        .into_iter()
        .map(|model| model.split('/').next().unwrap_or(model))
        .collect();
    let belongs = |line: &LogLine| {
        let other = line.field("request").is_some_and(|request| request != id);
        let replica = line
            .field("replica")
            .is_some_and(|name| replicas.contains(name));
        let model = line
            .field("model")
            .is_some_and(|name| models.contains(name));
        let general = [
            "leads",
            "leads no more",
            "configuration in force",
            "readiness",
            "stopping",
        ];
        let general = general.contains(&line.message.as_str());
        let general =
            general && (hosts.contains(line.host.as_str()) || line.message.starts_with("leads"));
        let near = (from_s..=until_s).contains(&line.at_s);
        line.field("request") == Some(id) || (near && !other && (replica || model || general))
    };
    if own.is_empty() {
        return Vec::new();
    }
    let mut story: Vec<&LogLine> = lines.iter().filter(|line| belongs(line)).collect();
    story.sort_by(|a, b| a.at.cmp(&b.at));
    story.into_iter().map(LogLine::show).collect()
}

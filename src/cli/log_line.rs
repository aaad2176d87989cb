//! Parser for the JSON log lines that all processes write.

use serde_json::{Map, Value};

/// Days from 0000-03-01 to 1970-01-01.
const DAYS_TO_UNIX_EPOCH: i64 = 719_468;

/// One JSON log line.
#[derive(Clone, Debug)]
pub(super) struct LogLine {
    /// Timestamp as logged.
    pub(super) at: String,
    /// Timestamp in seconds since 1970.
    pub(super) at_s: f64,
    /// Host that wrote the line; `?` if the line has no host.
    pub(super) host: String,
    pub(super) message: String,
    /// All other fields.
    pub(super) fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line, skipping text before the JSON. Returns `None` if it is not a log line.
    pub(super) fn parse(text: &str) -> Option<Self> {
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

    /// Returns a field that holds a string.
    pub(super) fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns a field that holds a number, or 0 if it is missing.
    pub(super) fn number(&self, name: &str) -> f64 {
        let value = self.fields.get(name).and_then(Value::as_f64);
        value.unwrap_or(0.0)
    }

    /// Returns a field that holds an integer, as a number or as a string.
    pub(super) fn integer(&self, name: &str) -> Option<u64> {
        match self.fields.get(name)? {
            Value::String(text) => text.parse().ok(),
            value => value.as_u64(),
        }
    }

    /// Formats the line for operators.
    pub(super) fn render(&self) -> String {
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

/// Converts an RFC 3339 time in UTC to seconds since 1970.
fn seconds(at: &str) -> Option<f64> {
    let (date, clock) = at.split_once('T')?;
    let clock = clock.strip_suffix('Z').or(clock.strip_suffix("+00:00"))?;
    let mut parts = clock.split(':').map(|part| part.parse::<f64>().ok());
    let (hours, minutes, rest) = (parts.next()??, parts.next()??, parts.next()??);
    Some(days(date)? as f64 * 86_400.0 + hours * 3600.0 + minutes * 60.0 + rest)
}

/// Converts a date to days since 1970. Counts years from March, so that a leap day is the last
/// day of its year.
fn days(date: &str) -> Option<i64> {
    let mut parts = date.split('-').map(|part| part.parse::<i64>().ok());
    let (year, month, day) = (parts.next()??, parts.next()??, parts.next()??);
    let (year, month) = match month {
        3.. => (year, month - 3),
        _ => (year - 1, month + 9),
    };
    let leap_days = year / 4 - year / 100 + year / 400;
    let before_month = (153 * month + 2) / 5;
    Some(year * 365 + leap_days + before_month + day - 1 - DAYS_TO_UNIX_EPOCH)
}

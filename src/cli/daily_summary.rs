//! Tables of many requests from the logs of all entries: when, on which route, at which
//! replica and for which model requests were late, refused or lost.
//!
//! Pure: log lines in, text out. Entries bound the lines they write each second, so that
//! counts under heavy load are a part of all requests.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::cli::log_line::LogLine;

/// Time of one row, in seconds.
const ROW_S: f64 = 2.0;
/// Replicas and models that are listed, those with most late requests first.
const MOST_LISTED: usize = 15;

/// What became of some requests.
#[derive(Clone, Copy, Debug, Default)]
struct RequestCount {
    all: u32,
    late_first: u32,
    late_pause: u32,
    late_whole: u32,
    refused: u32,
    /// It may have run, or was broken off.
    lost: u32,
    left: u32,
    waited_ms: f64,
    prompt_tokens: f64,
}

impl RequestCount {
    fn note(&mut self, line: &LogLine) {
        self.all += 1;
        self.waited_ms += line.number("waited_ms");
        self.prompt_tokens += line.number("prompt_tokens");
        match (line.field("outcome"), line.field("late")) {
            (Some("refused"), _) => self.refused += 1,
            (Some("unknown" | "cut"), _) => self.lost += 1,
            (Some("left"), _) => self.left += 1,
            (_, Some("first event")) => self.late_first += 1,
            (_, Some("pause")) => self.late_pause += 1,
            (_, Some("whole answer")) => self.late_whole += 1,
            _ => {}
        }
    }

    fn late(&self) -> u32 {
        self.late_first + self.late_pause + self.late_whole
    }

    fn row(&self, name: &str) -> String {
        let mean_wait_ms = self.waited_ms / f64::from(self.all.max(1));
        format!(
            "{name:<24} {:>7} {:>11} {:>6} {:>6} {:>8} {:>5} {:>5} {:>8.0} {:>9.0}",
            self.all,
            self.late_first,
            self.late_pause,
            self.late_whole,
            self.refused,
            self.lost,
            self.left,
            mean_wait_ms,
            self.prompt_tokens / 1_000.0
        )
    }
}

const HEADINGS: &str =
    "requests  late:first  pause  whole  refused  lost  left  wait ms  1k tokens";

fn table(title: &str, rows: impl Iterator<Item = (String, RequestCount)>) -> String {
    let mut text = format!("{title:<24}{HEADINGS}\n");
    for (name, count) in rows {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{}", count.row(&name));
    }
    text
}

/// The rows with most late requests, and among these with most requests, first.
fn worst(counts: BTreeMap<String, RequestCount>) -> impl Iterator<Item = (String, RequestCount)> {
    let mut rows: Vec<(String, RequestCount)> = counts.into_iter().collect();
    rows.sort_by_key(|(_, count)| std::cmp::Reverse((count.late(), count.all)));
    rows.into_iter().take(MOST_LISTED)
}

/// The tables of the requests that the lines tell of; none where they tell of none.
pub fn daily_summary<'a>(lines: impl Iterator<Item = &'a str>) -> Option<String> {
    let lines = lines.filter_map(LogLine::parse);
    let mut requests: Vec<LogLine> = lines.filter(|line| line.message == "request").collect();
    requests.retain(|line| line.field("outcome").is_some());
    let begun_s = |line: &LogLine| line.at_s - line.number("took_ms") / 1_000.0;
    let first_s = requests.iter().map(begun_s).reduce(f64::min)?;
    let mut times: BTreeMap<u64, RequestCount> = BTreeMap::new();
    let mut routes: BTreeMap<String, RequestCount> = BTreeMap::new();
    let mut replicas: BTreeMap<String, RequestCount> = BTreeMap::new();
    let mut models: BTreeMap<String, RequestCount> = BTreeMap::new();
    let mut reasons: BTreeMap<String, RequestCount> = BTreeMap::new();
    for line in &requests {
        let row = ((begun_s(line) - first_s) / ROW_S) as u64;
        times.entry(row).or_default().note(line);
        let model = line.field("model").unwrap_or_default();
        let model = model.split('/').next().filter(|name| !name.is_empty());
        let named = |name: &str| line.field(name).filter(|value| !value.is_empty());
        let count = |counts: &mut BTreeMap<String, RequestCount>, name: Option<&str>| {
            if let Some(name) = name {
                counts.entry(name.to_owned()).or_default().note(line);
            }
        };
        count(&mut routes, named("route"));
        count(&mut replicas, named("replica"));
        count(&mut models, model);
        count(&mut reasons, named("reason"));
    }
    let times = times.into_iter();
    let times = times.map(|(row, count)| (format!("{:.0} s", row as f64 * ROW_S), count));
    let tables = [
        table("from", times),
        table("route", routes.into_iter()),
        table("reason", reasons.into_iter()),
        table("replica", worst(replicas)),
        table("model", worst(models)),
    ];
    Some(tables.join("\n"))
}

//! Counts late, refused and lost requests by time, route, account, reason, replica and model, from
//! the logs of all entries, and lists models and adapters that were never served.
//!
//! Pure: log lines in, text out. Entries limit the lines they write per second, so the counts
//! under heavy load cover only some of the requests.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::cli::log_line::LogLine;
use crate::cli::unserved_names::unserved_names;

/// Time covered by one row, in seconds.
const BUCKET_S: f64 = 2.0;
/// Maximum number of replicas and of models listed, those with the most late requests first.
const MAX_LISTED: usize = 15;

/// Outcomes of a group of requests.
#[derive(Clone, Copy, Debug, Default)]
struct RequestCount {
    total: u32,
    late_first: u32,
    late_gap: u32,
    late_end: u32,
    refused: u32,
    /// Outcome unknown, or response cut off.
    lost: u32,
    client_left: u32,
    waited_ms: f64,
    prompt_tokens: f64,
}

impl RequestCount {
    fn add(&mut self, line: &LogLine) {
        self.total += 1;
        self.waited_ms += line.number("waited_ms");
        self.prompt_tokens += line.number("prompt_tokens");
        match (line.field("outcome"), line.field("late")) {
            (Some("refused"), _) => self.refused += 1,
            (Some("unknown" | "cut"), _) => self.lost += 1,
            (Some("left"), _) => self.client_left += 1,
            (_, Some("first event")) => self.late_first += 1,
            (_, Some("pause")) => self.late_gap += 1,
            (_, Some("whole answer")) => self.late_end += 1,
            _ => {}
        }
    }

    fn late(&self) -> u32 {
        self.late_first + self.late_gap + self.late_end
    }

    fn row(&self, name: &str) -> String {
        let mean_wait_ms = self.waited_ms / f64::from(self.total.max(1));
        format!(
            "{name:<24} {:>7} {:>11} {:>6} {:>6} {:>8} {:>5} {:>5} {:>8.0} {:>9.0}",
            self.total,
            self.late_first,
            self.late_gap,
            self.late_end,
            self.refused,
            self.lost,
            self.client_left,
            mean_wait_ms,
            self.prompt_tokens / 1_000.0
        )
    }
}

/// Returns the table by account and rank. Empty if no line has a rank: entries of older versions
/// log none.
fn rank_table(counts: &BTreeMap<(String, u64), RequestCount>) -> Option<String> {
    let title = "account, rank";
    let headings = "  asked  in time   late  refused  failed";
    let mut text = format!("{title:<24}{headings}\n");
    for ((account, rank), count) in counts {
        let account = if account.is_empty() { "-" } else { account };
        let name = format!("{account}, {rank}");
        let (late, failed) = (count.late(), count.lost);
        let ended_otherwise = late + count.refused + failed + count.client_left;
        // Writing to a string does not fail.
        let _ = writeln!(
            text,
            "{name:<24}{:>7} {:>8} {late:>6} {:>8} {failed:>7}",
            count.total,
            count.total - ended_otherwise,
            count.refused,
        );
    }
    (!counts.is_empty()).then_some(text)
}

const HEADINGS: &str =
    "requests  late:first  pause  whole  refused  lost  left  wait ms  1k tokens";

fn table(title: &str, rows: impl Iterator<Item = (String, RequestCount)>) -> String {
    let mut text = format!("{title:<24}{HEADINGS}\n");
    for (name, count) in rows {
        // Writing to a string does not fail.
        let _ = writeln!(text, "{}", count.row(&name));
    }
    text
}

/// Returns the `MAX_LISTED` rows with the most late requests; ties go to the row with more
/// requests.
fn most_late(
    counts: BTreeMap<String, RequestCount>,
) -> impl Iterator<Item = (String, RequestCount)> {
    let mut rows: Vec<(String, RequestCount)> = counts.into_iter().collect();
    rows.sort_by_key(|(_, count)| std::cmp::Reverse((count.late(), count.total)));
    rows.into_iter().take(MAX_LISTED)
}

/// Returns the tables of all requests in the lines; `None` if no line records a request.
pub fn daily_summary<'a>(lines: impl Iterator<Item = &'a str>) -> Option<String> {
    let lines = lines.filter_map(LogLine::parse);
    let mut requests: Vec<LogLine> = lines.filter(|line| line.message == "request").collect();
    requests.retain(|line| line.field("outcome").is_some());
    let started_s = |line: &LogLine| line.at_s - line.number("took_ms") / 1_000.0;
    let first_s = requests.iter().map(started_s).reduce(f64::min)?;
    let mut times: BTreeMap<u64, RequestCount> = BTreeMap::new();
    let mut routes: BTreeMap<String, RequestCount> = BTreeMap::new();
    let mut ranks: BTreeMap<(String, u64), RequestCount> = BTreeMap::new();
    let mut replicas: BTreeMap<String, RequestCount> = BTreeMap::new();
    let mut models: BTreeMap<String, RequestCount> = BTreeMap::new();
    let mut reasons: BTreeMap<String, RequestCount> = BTreeMap::new();
    for line in &requests {
        let row = ((started_s(line) - first_s) / BUCKET_S) as u64;
        times.entry(row).or_default().add(line);
        let model = line.field("model").unwrap_or_default();
        let model = model.split('/').next().filter(|name| !name.is_empty());
        let named = |name: &str| line.field(name).filter(|value| !value.is_empty());
        let count = |counts: &mut BTreeMap<String, RequestCount>, name: Option<&str>| {
            if let Some(name) = name {
                counts.entry(name.to_owned()).or_default().add(line);
            }
        };
        count(&mut routes, named("route"));
        if let Some(rank) = line.integer("rank") {
            let account = line.field("account").unwrap_or_default();
            ranks
                .entry((account.to_owned(), rank))
                .or_default()
                .add(line);
        }
        count(&mut replicas, named("replica"));
        count(&mut models, model);
        count(&mut reasons, named("reason"));
    }
    let times = times.into_iter();
    let times = times.map(|(row, count)| (format!("{:.0} s", row as f64 * BUCKET_S), count));
    let tables = [
        Some(table("from", times)),
        Some(table("route", routes.into_iter())),
        rank_table(&ranks),
        Some(table("reason", reasons.into_iter())),
        Some(table("replica", most_late(replicas))),
        Some(table("model", most_late(models))),
        unserved_names(&requests, first_s),
    ];
    let tables: Vec<String> = tables.into_iter().flatten().collect();
    Some(tables.join("\n"))
}

//! Counters, gauges and histograms of one process, rendered as text for a scraper.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use hdrhistogram::Histogram;

/// Longest recorded time: one day, in microseconds.
const MAX_MICROS: u64 = 86_400_000_000;
/// Significant digits of a histogram. With 2, a time is exact to one part in a hundred and a
/// histogram takes 26 kB; a third digit would take 230 kB, and there is a histogram for each
/// client account.
const DIGITS: u8 = 2;
/// Maximum number of accounts with their own histogram; all further accounts share one.
const MAX_ACCOUNT_LABELS: usize = 64;
/// Label of the accounts beyond [`MAX_ACCOUNT_LABELS`].
const OTHER_ACCOUNTS_LABEL: &str = "other";
const QUANTILES: [f64; 4] = [0.5, 0.95, 0.99, 0.999];

/// Name and labels of a metric.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MetricKey {
    name: &'static str,
    labels: Vec<(&'static str, String)>,
}

impl MetricKey {
    /// Creates the key of a metric.
    pub fn new(name: &'static str, labels: &[(&'static str, &str)]) -> Self {
        let labels = labels.iter();
        let labels = labels.map(|(label, value)| (*label, (*value).to_owned()));
        Self {
            name,
            labels: labels.collect(),
        }
    }
}

/// All metrics of one process.
#[derive(Debug, Default)]
pub struct MetricRegistry {
    counters: BTreeMap<MetricKey, u64>,
    gauges: BTreeMap<MetricKey, u64>,
    histograms: BTreeMap<MetricKey, Histogram<u64>>,
    accounts: BTreeSet<String>,
}

impl MetricRegistry {
    /// Adds to a counter.
    pub fn count(&mut self, key: MetricKey, by: u64) {
        *self.counters.entry(key).or_default() += by;
    }

    /// Sets a gauge.
    pub fn gauge(&mut self, key: MetricKey, value: u64) {
        self.gauges.insert(key, value);
    }

    /// Records a time in microseconds.
    pub fn time(&mut self, key: MetricKey, micros: u64) {
        let fresh =
            || Histogram::new_with_bounds(1, MAX_MICROS, DIGITS).expect("the bounds are constants");
        let histogram = self.histograms.entry(key).or_insert_with(fresh);
        histogram.saturating_record(micros.max(1));
    }

    /// Returns the label of an account: its name, or a shared label once there are too many
    /// accounts.
    pub fn account_label<'a>(&mut self, account: &'a str) -> &'a str {
        let known = self.accounts.contains(account);
        if !known && self.accounts.len() >= MAX_ACCOUNT_LABELS {
            return OTHER_ACCOUNTS_LABEL;
        }
        if !known {
            self.accounts.insert(account.to_owned());
        }
        account
    }

    /// Renders all metrics in the Prometheus text format, with times in seconds.
    pub fn render(&self) -> String {
        let mut text = String::new();
        for (kind, metrics) in [("counter", &self.counters), ("gauge", &self.gauges)] {
            let mut last = "";
            for (key, value) in metrics {
                write_type(&mut text, &mut last, key.name, kind);
                write_sample(&mut text, key.name, &key.labels, &value.to_string());
            }
        }
        let mut last = "";
        for (key, histogram) in &self.histograms {
            write_type(&mut text, &mut last, key.name, "summary");
            for quantile in QUANTILES {
                let mut labels = key.labels.clone();
                labels.push(("quantile", quantile.to_string()));
                let seconds = histogram.value_at_quantile(quantile) as f64 / 1e6;
                write_sample(&mut text, key.name, &labels, &seconds.to_string());
            }
            let count = format!("{}_count", key.name);
            write_sample(&mut text, &count, &key.labels, &histogram.len().to_string());
        }
        text
    }
}

fn write_type(text: &mut String, last: &mut &'static str, name: &'static str, kind: &str) {
    if *last != name {
        *last = name;
        let _ = writeln!(text, "# TYPE {name} {kind}");
    }
}

fn write_sample(text: &mut String, name: &str, labels: &[(&'static str, String)], value: &str) {
    let _ = write!(text, "{name}");
    for (at, (label, content)) in labels.iter().enumerate() {
        let open = if at == 0 { '{' } else { ',' };
        let content = content
            .replace('\\', "\\\\")
            .replace('"', "\\\"")
            .replace('\n', "\\n");
        let _ = write!(text, "{open}{label}=\"{content}\"");
    }
    let close = if labels.is_empty() { "" } else { "}" };
    let _ = writeln!(text, "{close} {value}");
}

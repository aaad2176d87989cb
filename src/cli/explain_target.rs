//! Reconstructs the timeline of the orders to one target from the logs of all processes,
//! including the orders logged on arrival at the target.
//!
//! Pure: log lines in, text out. The timeline shows the orders and the changes of leadership
//! around them, then the findings. Findings are computed from the arrivals, or from the
//! `order sent` lines of the hosts if no arrivals were logged.

use std::fmt;

use crate::cli::log_line::LogLine;
use crate::cli::order_audit::{self, ObservedOrder, TargetFinding};
use crate::ids::ReplicaId;

/// Time before and after a target's orders from which changes of leadership are shown, in seconds.
const CONTEXT_S: f64 = 5.0;
const ARRIVED: &str = "order arrived";
const SENT: &str = "order sent";

/// Log lines from which the findings are computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvidenceSource {
    /// Orders logged on arrival at the target.
    Arrivals,
    /// Orders logged by their senders: transit times are unknown.
    Sent,
    /// Neither was logged: no order is checked.
    Missing,
}

/// Timeline of the orders to one target.
#[derive(Clone, Debug)]
pub struct TargetTimeline {
    /// Target that the orders are for.
    pub target: ReplicaId,
    /// Log lines, oldest first.
    pub lines: Vec<String>,
    /// Log lines from which the findings are computed.
    pub source: EvidenceSource,
    /// Number of orders checked.
    pub checked: usize,
    /// Number of orders without sender or fence. Checks that need the missing value skip them.
    pub incomplete: usize,
    /// Time after an order during which no other sender may send one, in milliseconds.
    pub lease_ms: u64,
    /// Violations, oldest first.
    pub findings: Vec<TargetFinding>,
}

impl fmt::Display for TargetTimeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(f, "{line}")?;
        }
        let Self {
            target,
            checked,
            lease_ms,
            ..
        } = self;
        writeln!(f)?;
        match self.source {
            EvidenceSource::Arrivals => writeln!(
                f,
                "checked {checked} arrivals at {target}, lease {lease_ms} ms"
            )?,
            EvidenceSource::Sent => writeln!(
                f,
                "no arrivals at {target} were logged: checked {checked} lines `{SENT}` by the \
                 clocks of their hosts, lease {lease_ms} ms; late arrivals are not visible"
            )?,
            EvidenceSource::Missing => writeln!(
                f,
                "neither arrivals at {target} nor lines `{SENT}` were logged: no order checked"
            )?,
        }
        if self.incomplete > 0 {
            let incomplete = self.incomplete;
            writeln!(
                f,
                "not fully checked, sender or fence missing: {incomplete}"
            )?;
        }
        for finding in &self.findings {
            writeln!(f, "finding: {finding}")?;
        }
        match self.source {
            EvidenceSource::Arrivals | EvidenceSource::Sent if self.findings.is_empty() => {
                writeln!(f, "no finding")
            }
            _ => Ok(()),
        }
    }
}

/// Returns the timeline of a target's orders; `None` if no line is about an order to it.
pub fn explain_target<'a>(
    target: &ReplicaId,
    lease_ms: u64,
    lines: impl Iterator<Item = &'a str>,
) -> Option<TargetTimeline> {
    let mut lines: Vec<LogLine> = lines.filter_map(LogLine::parse).collect();
    lines.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    let own: Vec<&LogLine> = lines.iter().filter(|l| is_order(l, target)).collect();
    let from_s = own.first()?.at_s - CONTEXT_S;
    let until_s = own.last()?.at_s + CONTEXT_S;
    let near = |line: &LogLine| (from_s..=until_s).contains(&line.at_s);
    let belongs = |line: &&LogLine| is_order(line, target) || (is_leadership(line) && near(line));
    let timeline = lines.iter().filter(belongs);

    let (source, orders) = orders(&own);
    let findings = order_audit::find_conflicts(&orders, lease_ms);
    Some(TargetTimeline {
        target: target.clone(),
        lines: timeline.map(LogLine::render).collect(),
        source,
        checked: orders.len(),
        incomplete: orders.iter().filter(|order| !order.is_complete()).count(),
        lease_ms,
        findings,
    })
}

fn is_order(line: &LogLine, target: &ReplicaId) -> bool {
    let message = line.message.as_str();
    let order =
        message == "order" || message.starts_with("order ") || message.starts_with("an order ");
    order && line.field("replica") == Some(target.as_str())
}

fn is_leadership(line: &LogLine) -> bool {
    matches!(line.message.as_str(), "leads" | "leads no more")
}

/// Returns the orders to check: those that arrived, or those that were sent if no arrivals were
/// logged.
fn orders(own: &[&LogLine]) -> (EvidenceSource, Vec<ObservedOrder>) {
    let with = |message: &'static str| own.iter().filter(move |line| line.message == message);
    let arrived: Vec<ObservedOrder> = with(ARRIVED).map(|l| ObservedOrder::arrived(l)).collect();
    let sent: Vec<ObservedOrder> = with(SENT).map(|l| ObservedOrder::sent(l)).collect();
    match (arrived.is_empty(), sent.is_empty()) {
        (false, _) => (EvidenceSource::Arrivals, arrived),
        (true, false) => (EvidenceSource::Sent, sent),
        (true, true) => (EvidenceSource::Missing, Vec::new()),
    }
}

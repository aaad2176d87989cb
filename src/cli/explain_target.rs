//! Tells the story of one target's orders from the logs of all processes and the record
//! of what arrived at the target.
//!
//! Pure: log lines in, text out. The changes of leadership around stand among the orders.
//! After them come findings, computed from arrivals; where nobody recorded these, from
//! what the hosts say they sent.

use std::fmt;

use crate::cli::log_line::LogLine;
use crate::cli::order_audit::{self, ObservedOrder, TargetFinding};
use crate::ids::ReplicaId;

/// How long before and after a target's orders leadership belongs to their story, in seconds.
const CONTEXT_S: f64 = 5.0;
const ARRIVED: &str = "order arrived";
const SENT: &str = "order sent";

/// What the findings rest on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvidenceSource {
    /// The record of arrivals at the target.
    Arrivals,
    /// What the hosts say they sent: how orders travelled is not seen.
    Sent,
    /// Neither was logged: nothing is judged.
    Missing,
}

/// The story of one target's orders.
#[derive(Clone, Debug)]
pub struct TargetTimeline {
    /// The target.
    pub target: ReplicaId,
    /// The lines that tell it, oldest first.
    pub lines: Vec<String>,
    /// What the findings rest on.
    pub source: EvidenceSource,
    /// Orders that were judged.
    pub checked: usize,
    /// Orders that name no sender or no fence, and are judged by the rest or not at all.
    pub incomplete: usize,
    /// How long an order holds off those of others.
    pub lease_ms: u64,
    /// What should not have been, oldest first.
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
                "judged by {checked} arrivals at {target}, lease {lease_ms} ms"
            )?,
            EvidenceSource::Sent => writeln!(
                f,
                "no arrivals at {target} were recorded: judged by {checked} lines `{SENT}`, \
                 on the clocks of their hosts, lease {lease_ms} ms; what came late is not seen"
            )?,
            EvidenceSource::Missing => writeln!(
                f,
                "neither arrivals at {target} nor lines `{SENT}`: nothing is judged"
            )?,
        }
        if self.incomplete > 0 {
            let incomplete = self.incomplete;
            writeln!(
                f,
                "not judged in full, sender or fence missing: {incomplete}"
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

/// The story of a target's orders; none where no line tells of one.
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

/// The orders to judge: as they arrived, else as they were sent.
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

//! Tells the story of one target's orders from the logs of all processes and the record
//! of what arrived at the target.
//!
//! Pure: log lines in, text out. The changes of leadership around stand among the orders.
//! After them come findings, computed from arrivals; where nobody recorded these, from
//! what the hosts say they sent.

use std::fmt;

use crate::cli::log_line::LogLine;
use crate::cli::order_audit::{self, OrderSight, TargetFinding};
use crate::ids::ReplicaId;

/// How long before and after a target's orders leadership belongs to their story, in seconds.
const AROUND_S: f64 = 5.0;
const ARRIVED: &str = "order arrived";
const SENT: &str = "order sent";

/// What the findings rest on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoryBasis {
    /// The record of arrivals at the target.
    Arrivals,
    /// What the hosts say they sent: how orders travelled is not seen.
    Sent,
    /// Neither was logged: nothing is judged.
    Nothing,
}

/// The story of one target's orders.
#[derive(Clone, Debug)]
pub struct TargetStory {
    /// The target.
    pub target: ReplicaId,
    /// The lines that tell it, oldest first.
    pub lines: Vec<String>,
    /// What the findings rest on.
    pub basis: StoryBasis,
    /// Orders that were judged.
    pub judged: usize,
    /// Orders that name no sender or no fence, and are judged by the rest or not at all.
    pub in_part: usize,
    /// How long an order holds off those of others.
    pub lease_ms: u64,
    /// What should not have been, oldest first.
    pub findings: Vec<TargetFinding>,
}

impl fmt::Display for TargetStory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(f, "{line}")?;
        }
        let Self {
            target,
            judged,
            lease_ms,
            ..
        } = self;
        writeln!(f)?;
        match self.basis {
            StoryBasis::Arrivals => writeln!(
                f,
                "judged by {judged} arrivals at {target}, lease {lease_ms} ms"
            )?,
            StoryBasis::Sent => writeln!(
                f,
                "no arrivals at {target} were recorded: judged by {judged} lines `{SENT}`, \
                 on the clocks of their hosts, lease {lease_ms} ms; what came late is not seen"
            )?,
            StoryBasis::Nothing => writeln!(
                f,
                "neither arrivals at {target} nor lines `{SENT}`: nothing is judged"
            )?,
        }
        if self.in_part > 0 {
            let in_part = self.in_part;
            writeln!(f, "not judged in full, sender or fence missing: {in_part}")?;
        }
        for finding in &self.findings {
            writeln!(f, "finding: {finding}")?;
        }
        match self.basis {
            StoryBasis::Arrivals | StoryBasis::Sent if self.findings.is_empty() => {
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
) -> Option<TargetStory> {
    let mut lines: Vec<LogLine> = lines.filter_map(LogLine::parse).collect();
    lines.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    let own: Vec<&LogLine> = lines.iter().filter(|l| is_order(l, target)).collect();
    let from_s = own.first()?.at_s - AROUND_S;
    let until_s = own.last()?.at_s + AROUND_S;
    let near = |line: &LogLine| (from_s..=until_s).contains(&line.at_s);
    let belongs = |line: &&LogLine| is_order(line, target) || (is_leadership(line) && near(line));
    let story = lines.iter().filter(belongs);

    let (basis, sights) = sights(&own);
    let findings = order_audit::find(&sights, lease_ms);
    Some(TargetStory {
        target: target.clone(),
        lines: story.map(LogLine::show).collect(),
        basis,
        judged: sights.len(),
        in_part: sights.iter().filter(|sight| !sight.is_whole()).count(),
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
fn sights(own: &[&LogLine]) -> (StoryBasis, Vec<OrderSight>) {
    let with = |message: &'static str| own.iter().filter(move |line| line.message == message);
    let arrived: Vec<OrderSight> = with(ARRIVED).map(|l| OrderSight::arrived(l)).collect();
    let sent: Vec<OrderSight> = with(SENT).map(|l| OrderSight::sent(l)).collect();
    match (arrived.is_empty(), sent.is_empty()) {
        (false, _) => (StoryBasis::Arrivals, arrived),
        (true, false) => (StoryBasis::Sent, sent),
        (true, true) => (StoryBasis::Nothing, Vec::new()),
    }
}

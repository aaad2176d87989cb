//! Judges the orders that were seen at one target: whether one leader at a time sent them.

use std::fmt;
use std::net::SocketAddr;

use crate::cli::log_line::LogLine;
use crate::ids::Term;

/// One order, seen where it arrived or where it was sent.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedOrder {
    /// The time, as it was written.
    pub at: String,
    /// Seconds since 1970.
    pub at_s: f64,
    /// The host that it came from.
    pub from: Option<String>,
    /// The name that it was sent in.
    pub holder: Option<String>,
    /// The term of the leader that sent it.
    pub fence: Option<Term>,
}

impl ObservedOrder {
    /// Reads a line of the record of arrivals.
    pub(super) fn arrived(line: &LogLine) -> Self {
        Self {
            at: line.at.clone(),
            at_s: line.at_s,
            from: line.field("from").map(host_of),
            holder: line.field("holder").map(str::to_owned),
            fence: line.integer("fence").map(Term),
        }
    }

    /// Reads the line of an order that was sent; its number begins with the term.
    pub(super) fn sent(line: &LogLine) -> Self {
        let order = line.field("order").and_then(|order| order.split_once('-'));
        let term = order.and_then(|(term, _)| term.parse().ok());
        Self {
            at: line.at.clone(),
            at_s: line.at_s,
            from: Some(line.host.clone()).filter(|host| host != "?"),
            holder: None,
            fence: term.map(Term),
        }
    }

    /// It names its sender and its fence.
    pub(super) fn is_complete(&self) -> bool {
        self.sender().is_some() && self.fence.is_some()
    }

    fn sender(&self) -> Option<&str> {
        self.from.as_deref().or(self.holder.as_deref())
    }

    /// Both are known to be of different senders. A host counts before the name it carries.
    fn differs(&self, other: &Self) -> bool {
        match (&self.from, &other.from, &self.holder, &other.holder) {
            (Some(one), Some(two), _, _) => one != two,
            (_, _, Some(one), Some(two)) => one != two,
            _ => false,
        }
    }
}

impl fmt::Display for ObservedOrder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.fence {
            Some(fence) => write!(f, "fence {fence}")?,
            None => write!(f, "no fence")?,
        }
        write!(f, " from {}", self.sender().unwrap_or("?"))?;
        if let (Some(_), Some(holder)) = (&self.from, &self.holder) {
            write!(f, " ({holder})")?;
        }
        write!(f, " at {}", self.at)
    }
}

/// How a promise broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FindingKind {
    /// Two senders used one fence.
    SharedFence,
    /// A lower fence came after a higher one.
    FenceRegression,
    /// Orders of two senders came within a lease.
    LeaseOverlap,
}

/// Two orders that should not both have been.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetFinding {
    /// How the promise broke.
    pub kind: FindingKind,
    /// The order that came first.
    pub earlier: ObservedOrder,
    /// The order that breaks it.
    pub later: ObservedOrder,
}

impl fmt::Display for TargetFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self.kind {
            FindingKind::SharedFence => "one fence from two senders",
            FindingKind::FenceRegression => "a lower fence after a higher one",
            FindingKind::LeaseOverlap => "two senders within a lease",
        };
        let (earlier, later) = (&self.earlier, &self.later);
        let gap_ms = gap_ms(earlier, later);
        write!(f, "{what}: {earlier}, then {later}, {gap_ms:.0} ms later")
    }
}

/// What is wrong with orders that stand in the order of their times.
pub(super) fn find_conflicts(orders: &[ObservedOrder], lease_ms: u64) -> Vec<TargetFinding> {
    let mut findings = Vec::new();
    for (index, later) in orders.iter().enumerate() {
        let before = &orders[..index];
        let mut record = |kind, earlier: Option<&ObservedOrder>| {
            findings.extend(earlier.map(|earlier| TargetFinding {
                kind,
                earlier: earlier.clone(),
                later: later.clone(),
            }));
        };
        record(FindingKind::SharedFence, shared_fence(before, later));
        record(FindingKind::FenceRegression, higher_fence(before, later));
        record(
            FindingKind::LeaseOverlap,
            lease_overlap(before, later, lease_ms),
        );
    }
    findings
}

/// The first order of another sender with its fence; none where its sender used that before.
fn shared_fence<'a>(
    before: &'a [ObservedOrder],
    later: &ObservedOrder,
) -> Option<&'a ObservedOrder> {
    later.fence?;
    let same = |earlier: &&ObservedOrder| earlier.fence == later.fence;
    let other = before.iter().filter(same).find(|o| o.differs(later))?;
    let known_sender = before
        .iter()
        .filter(same)
        .any(|o| o.sender() == later.sender());
    (!known_sender).then_some(other)
}

/// The last order before it with the highest fence, where that is higher.
fn higher_fence<'a>(
    before: &'a [ObservedOrder],
    later: &ObservedOrder,
) -> Option<&'a ObservedOrder> {
    let highest = before.iter().max_by_key(|earlier| earlier.fence)?;
    let lower = later.fence? < highest.fence?;
    lower.then_some(highest)
}

/// The order just before it, where another sender's came less than a lease ago.
fn lease_overlap<'a>(
    before: &'a [ObservedOrder],
    later: &ObservedOrder,
    lease_ms: u64,
) -> Option<&'a ObservedOrder> {
    let mut known = before.iter().filter(|earlier| earlier.sender().is_some());
    let last = known.next_back()?;
    let lease_overlap = last.differs(later) && gap_ms(last, later) < lease_ms as f64;
    lease_overlap.then_some(last)
}

fn gap_ms(earlier: &ObservedOrder, later: &ObservedOrder) -> f64 {
    (later.at_s - earlier.at_s) * 1_000.0
}

/// The host of an address; a port, another for each connection, is no part of it.
fn host_of(address: &str) -> String {
    match address.parse::<SocketAddr>() {
        Ok(address) => address.ip().to_string(),
        Err(_) => address.to_owned(),
    }
}

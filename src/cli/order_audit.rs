//! Checks whether the orders to one target were sent by one leader at a time.

use std::fmt;
use std::net::SocketAddr;

use crate::cli::log_line::LogLine;
use crate::ids::Term;

/// One order, as logged where it arrived or where it was sent.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedOrder {
    /// Timestamp as logged.
    pub at: String,
    /// Timestamp in seconds since 1970.
    pub at_s: f64,
    /// Host that sent the order.
    pub from: Option<String>,
    /// Name of the sender as given in the order.
    pub holder: Option<String>,
    /// Fence of the order: the term of the leader that sent it.
    pub fence: Option<Term>,
}

impl ObservedOrder {
    /// Reads an `order arrived` line.
    pub(super) fn arrived(line: &LogLine) -> Self {
        Self {
            at: line.at.clone(),
            at_s: line.at_s,
            from: line.field("from").map(host_of),
            holder: line.field("holder").map(str::to_owned),
            fence: line.integer("fence").map(Term),
        }
    }

    /// Reads an `order sent` line. The id of the order begins with the term.
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

    /// Returns whether both the sender and the fence are known.
    pub(super) fn is_complete(&self) -> bool {
        self.sender().is_some() && self.fence.is_some()
    }

    fn sender(&self) -> Option<&str> {
        self.from.as_deref().or(self.holder.as_deref())
    }

    /// Returns whether the two orders are known to have different senders. Hosts are compared if
    /// both are known, else the holder names.
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

/// Rule that a pair of orders violates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FindingKind {
    /// Two senders used the same fence.
    SharedFence,
    /// An order had a lower fence than an earlier one.
    FenceRegression,
    /// Orders of two senders were less than a lease apart.
    LeaseOverlap,
}

/// Two orders that violate a rule together.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetFinding {
    /// Violated rule.
    pub kind: FindingKind,
    /// Order that came first.
    pub earlier: ObservedOrder,
    /// Order that violates the rule.
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

/// Returns the violations among orders that are sorted by time.
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

/// Returns the first earlier order of another sender with the fence of `later`. Returns `None` if
/// the sender of `later` has used that fence before, so that each sender is reported once.
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

/// Returns the last earlier order with the highest fence, if that fence is above that of `later`.
fn higher_fence<'a>(
    before: &'a [ObservedOrder],
    later: &ObservedOrder,
) -> Option<&'a ObservedOrder> {
    let highest = before.iter().max_by_key(|earlier| earlier.fence)?;
    let lower = later.fence? < highest.fence?;
    lower.then_some(highest)
}

/// Returns the previous order of a known sender, if that sender is another one and the order came
/// less than a lease before `later`.
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

/// Returns the host of an address without the port, which differs for each connection.
fn host_of(address: &str) -> String {
    match address.parse::<SocketAddr>() {
        Ok(address) => address.ip().to_string(),
        Err(_) => address.to_owned(),
    }
}

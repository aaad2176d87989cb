//! Simulation of entries, leaders and one replica that advertises rate limits.

use std::collections::BTreeMap;

use dunlinspring::ids::{ReplicaId, ReplicaIncarnation, ServiceName, Term};
use dunlinspring::placement::advertised_limits::{
    LimitCursor, LimitPage, LimitReport, PermitStamp,
};
use dunlinspring::placement::advertised_rate::AdvertisedRate;
use dunlinspring::placement::rate_limit::PERMIT_VALIDITY_MS;
use dunlinspring::placement::replica_rates::{
    PermitRefusal, PermitReply, PermitRequest, ReplicaRateLimits,
};
use dunlinspring::routing::limited_peers::LimitedPeers;
use dunlinspring::routing::permit_throttle::PermitThrottle;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Interval between periodic reports of an entry, in milliseconds.
const REPORT_MS: u64 = 500;
/// Longest transit time of a message, in milliseconds.
const MAX_TRANSIT_MS: u64 = 60;
/// Refusal that an entry assumes if it cannot reach a leader.
const NO_REPLY: PermitRefusal = PermitRefusal {
    wait_ms: 300,
    rate: None,
};
/// Timeout for the reply to a report of an entry, in milliseconds.
const REPORT_REPLY_MS: u64 = 250;
/// Time until a new leader is elected, in milliseconds.
const ELECTION_MS: std::ops::Range<u64> = 200..2_500;

/// An external event.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Advances time by milliseconds.
    Wait(u64),
    /// A number of requests arrive at an entry.
    Demand(usize, u32),
    /// One request arrives at each of the first entries, up to this number.
    DemandAll(usize),
    /// The replica advertises a limit, in thousandths of a request a second.
    Advertise(u32),
    /// The replica advertises no limit any more.
    Withdraw,
    /// Sets the time that the replica takes to respond, in milliseconds.
    Slow(u64),
    /// The leader is lost, and another one is elected later.
    LoseLeader,
    /// An entry restarts.
    Restart(usize),
    /// An entry freezes for a number of milliseconds.
    Freeze(usize, u64),
    /// An entry cannot reach control hosts for a number of milliseconds.
    Cut(usize, u64),
}

/// A request that arrived at the replica.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    /// Time at which the sending entry learned of the limit in force.
    pub known_ms: Option<u64>,
}

/// A period in which the replica advertised one limit.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    pub from_ms: u64,
    pub until_ms: u64,
    pub per_s: f64,
}

#[derive(Default)]
struct Entry {
    incarnation: u64,
    peers: LimitedPeers,
    known_ms: Option<u64>,
    throttle: PermitThrottle<ReplicaIncarnation>,
    frozen_until_ms: u64,
    cut_until_ms: u64,
    /// Time until which the reply to the last report may arrive, in milliseconds.
    report_pending_until_ms: u64,
}

/// The sender of a request and its permit.
#[derive(Clone, Copy, Debug)]
struct Sender {
    entry: usize,
    incarnation: u64,
    permit: Option<PermitStamp>,
}

#[derive(Clone, Debug)]
enum Event {
    PermitRequestArrives(usize, u64, PermitRequest, u64),
    ReplyArrives(usize, u64, PermitReply, u64),
    RequestArrives(Sender, Option<u64>),
    HeadLeaves(Sender),
    HeadArrives(Sender, Option<AdvertisedRate>),
    ReportTimer(usize, u64),
    CursorArrives(usize, u64, LimitCursor),
    LimitsArrive(usize, u64, LimitReport, u64),
    PageArrives(usize, u64, LimitPage, Option<(LimitReport, u64)>),
    LeaderElected(Term),
}

impl Event {
    /// Returns the entry and its incarnation that receive the event, or `None` if it goes to
    /// the replica or a leader.
    fn recipient(&self) -> Option<(usize, u64)> {
        match self {
            Self::ReplyArrives(entry, incarnation, ..)
            | Self::ReportTimer(entry, incarnation)
            | Self::PageArrives(entry, incarnation, ..) => Some((*entry, *incarnation)),
            Self::HeadArrives(sender, _) => Some((sender.entry, sender.incarnation)),
            _ => None,
        }
    }
}

pub struct World {
    now_ms: u64,
    random: SmallRng,
    entries: Vec<Entry>,
    leader: Option<ReplicaRateLimits>,
    term: u64,
    rate: Option<f64>,
    service_ms: u64,
    queue: BTreeMap<(u64, u64), Event>,
    queued: u64,
    pub arrivals: Vec<Arrival>,
    pub phases: Vec<Phase>,
    /// Number of permit requests that reached a leader.
    pub permit_requests: u64,
    /// Time of the first response without a limit after a limit ended.
    pub first_unlimited_ms: Option<u64>,
}

pub fn replica() -> ReplicaIncarnation {
    ReplicaIncarnation {
        id: ReplicaId::from("r"),
        started_ms: 7,
    }
}

impl World {
    pub fn new(entries: usize, seed: u64) -> Self {
        let mut world = Self {
            now_ms: 10_000,
            random: SmallRng::seed_from_u64(seed),
            entries: (0..entries).map(|_| Entry::default()).collect(),
            leader: Some(ReplicaRateLimits::new(Term(1), 0)),
            term: 1,
            rate: None,
            service_ms: 20,
            queue: BTreeMap::new(),
            queued: 0,
            arrivals: Vec::new(),
            phases: Vec::new(),
            permit_requests: 0,
            first_unlimited_ms: None,
        };
        for entry in 0..entries {
            let first_ms = world.random.random_range(0..REPORT_MS);
            world.schedule(first_ms, Event::ReportTimer(entry, 0));
        }
        world
    }

    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Returns the number of entries that treat the replica as limited.
    pub fn limited(&self) -> usize {
        let entries = self.entries.iter();
        entries
            .filter(|entry| entry.peers.is_limited(&replica()))
            .count()
    }

    fn schedule(&mut self, after_ms: u64, event: Event) {
        self.queued += 1;
        self.queue
            .insert((self.now_ms + after_ms, self.queued), event);
    }

    fn transit(&mut self) -> u64 {
        self.random.random_range(1..=MAX_TRANSIT_MS)
    }

    fn number(&self, drawn: usize) -> usize {
        drawn % self.entries.len()
    }

    pub fn step(&mut self, step: Step) {
        match step {
            Step::Wait(for_ms) => self.run(for_ms),
            Step::Demand(entry, count) => {
                for _ in 0..count {
                    self.demand(self.number(entry));
                }
            }
            Step::DemandAll(count) => {
                for entry in 0..count.min(self.entries.len()) {
                    self.demand(entry);
                }
            }
            Step::Advertise(thousandths) => self.advertise(Some(f64::from(thousandths) / 1_000.0)),
            Step::Withdraw => self.advertise(None),
            Step::Slow(service_ms) => self.service_ms = service_ms,
            Step::LoseLeader => {
                self.leader = None;
                self.term += 1;
                let away_ms = self.random.random_range(ELECTION_MS);
                self.schedule(away_ms, Event::LeaderElected(Term(self.term)));
            }
            Step::Restart(entry) => {
                let number = self.number(entry);
                let incarnation = self.entries[number].incarnation + 1;
                self.entries[number] = Entry {
                    incarnation,
                    ..Entry::default()
                };
                self.send_report(number);
                self.schedule(REPORT_MS, Event::ReportTimer(number, incarnation));
            }
            Step::Freeze(entry, for_ms) => {
                let number = self.number(entry);
                self.entries[number].frozen_until_ms = self.now_ms + for_ms;
            }
            Step::Cut(entry, for_ms) => {
                let number = self.number(entry);
                self.entries[number].cut_until_ms = self.now_ms + for_ms;
            }
        }
    }

    fn advertise(&mut self, rate: Option<f64>) {
        if let Some(last) = self.phases.last_mut() {
            last.until_ms = last.until_ms.min(self.now_ms);
        }
        if self.rate != rate {
            for entry in &mut self.entries {
                entry.known_ms = None;
            }
        }
        self.rate = rate;
        self.first_unlimited_ms = None;
        if let Some(per_s) = rate {
            self.phases.push(Phase {
                from_ms: self.now_ms,
                until_ms: u64::MAX,
                per_s,
            });
        }
    }

    fn run(&mut self, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        while let Some(first) = self.queue.first_entry() {
            let at_ms = first.key().0;
            if at_ms > until_ms {
                break;
            }
            let event = first.remove();
            self.now_ms = self.now_ms.max(at_ms);
            self.handle(event);
        }
        self.now_ms = until_ms;
    }

    fn handle(&mut self, event: Event) {
        if let Some((number, incarnation)) = event.recipient() {
            let entry = &self.entries[number];
            if entry.incarnation != incarnation {
                return;
            }
            if self.now_ms < entry.frozen_until_ms {
                let remaining_ms = entry.frozen_until_ms - self.now_ms;
                return self.schedule(remaining_ms, event);
            }
        }
        let now_ms = self.now_ms;
        match event {
            Event::PermitRequestArrives(entry, incarnation, request, requested_ms) => {
                let Some(leader) = &mut self.leader else {
                    return;
                };
                self.permit_requests += 1;
                let reply = leader.permit(now_ms, &request, None);
                let transit_ms = self.transit();
                self.schedule(
                    transit_ms,
                    Event::ReplyArrives(entry, incarnation, reply, requested_ms),
                );
            }
            Event::ReplyArrives(entry, _, reply, requested_ms) => {
                self.handle_reply(entry, reply, requested_ms)
            }
            Event::RequestArrives(sender, known_ms) => {
                self.arrivals.push(Arrival {
                    at_ms: now_ms,
                    known_ms,
                });
                self.schedule(self.service_ms, Event::HeadLeaves(sender));
            }
            Event::HeadLeaves(sender) => {
                let rate = self.rate.map(|rate| rate.to_string());
                let rate = AdvertisedRate::parse(rate.as_deref().into_iter());
                let transit_ms = self.transit();
                self.schedule(transit_ms, Event::HeadArrives(sender, rate));
            }
            Event::HeadArrives(sender, rate) => self.handle_head(sender, rate),
            Event::ReportTimer(entry, incarnation) => {
                let cursor = self.entries[entry].peers.cursor();
                self.call_leader(entry, Event::CursorArrives(entry, incarnation, cursor));
                self.send_report(entry);
                self.schedule(REPORT_MS, Event::ReportTimer(entry, incarnation));
            }
            Event::CursorArrives(entry, incarnation, cursor) => {
                let Some(leader) = &self.leader else {
                    return;
                };
                let page = leader.page(now_ms, cursor);
                let transit_ms = self.transit();
                self.schedule(
                    transit_ms,
                    Event::PageArrives(entry, incarnation, page, None),
                );
            }
            Event::LimitsArrive(entry, incarnation, report, requested_ms) => {
                let Some(leader) = &mut self.leader else {
                    return;
                };
                let page = leader.report(now_ms, &report);
                let transit_ms = self.transit();
                let sent = Some((report, requested_ms));
                self.schedule(
                    transit_ms,
                    Event::PageArrives(entry, incarnation, page, sent),
                );
            }
            Event::PageArrives(entry, _, page, sent) => self.handle_page(entry, &page, sent),
            Event::LeaderElected(term) if term == Term(self.term) => {
                self.leader = Some(ReplicaRateLimits::new(term, now_ms));
            }
            Event::LeaderElected(_) => {}
        }
        self.record_known();
    }

    /// Sends a message to the leader. Returns `false` if the entry is cut off or there is no
    /// leader, so that it is lost.
    fn call_leader(&mut self, entry: usize, event: Event) -> bool {
        let reached = self.now_ms >= self.entries[entry].cut_until_ms && self.leader.is_some();
        if reached {
            let transit_ms = self.transit();
            self.schedule(transit_ms, event);
        }
        reached
    }

    fn demand(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let entry = &self.entries[number];
        let incarnation = entry.incarnation;
        if now_ms < entry.frozen_until_ms {
            return;
        }
        if !entry.peers.is_limited(&replica()) {
            return self.send(number, None);
        }
        if entry.throttle.wait_ms(now_ms, &replica()).is_some() {
            return;
        }
        let request = PermitRequest {
            replica: replica(),
            service: ServiceName::from("s"),
            is_cold: false,
            is_limited: true,
            cursor: entry.peers.cursor(),
            observed: entry.peers.latest_limit(now_ms, &replica()),
        };
        let reached = self.call_leader(
            number,
            Event::PermitRequestArrives(number, incarnation, request, now_ms),
        );
        let throttle = &mut self.entries[number].throttle;
        match reached {
            true => throttle.record_request(now_ms, &replica()),
            false => throttle.record_refusal(now_ms, now_ms, &replica(), NO_REPLY),
        }
    }

    fn handle_reply(&mut self, number: usize, reply: PermitReply, requested_ms: u64) {
        let now_ms = self.now_ms;
        let entry = &mut self.entries[number];
        entry.peers.acknowledge_limit(requested_ms, &replica());
        match reply {
            // Opening a connection to a replica may take the rest of the permit's validity.
            PermitReply::Granted(stamp) if now_ms < requested_ms + PERMIT_VALIDITY_MS => {
                entry.throttle.record_grant(requested_ms, &replica());
                self.send(number, Some(stamp));
            }
            PermitReply::Granted(_) => {}
            PermitReply::Refused(refusal) => {
                entry
                    .throttle
                    .record_refusal(now_ms, requested_ms, &replica(), refusal);
            }
        }
    }

    fn send(&mut self, number: usize, permit: Option<PermitStamp>) {
        let entry = &self.entries[number];
        let sender = Sender {
            entry: number,
            incarnation: entry.incarnation,
            permit,
        };
        let known_ms = entry.known_ms;
        let transit_ms = self.transit();
        self.schedule(transit_ms, Event::RequestArrives(sender, known_ms));
    }

    fn handle_head(&mut self, sender: Sender, rate: Option<AdvertisedRate>) {
        let now_ms = self.now_ms;
        let names_none = self.rate.is_none();
        let peers = &mut self.entries[sender.entry].peers;
        match (rate, sender.permit) {
            (Some(rate), permit) => {
                peers.record_limit(now_ms, &replica(), rate, permit);
            }
            (None, Some(permit)) => {
                peers.record_no_limit(&replica(), permit);
                if names_none {
                    self.first_unlimited_ms.get_or_insert(now_ms);
                }
            }
            (None, None) => {}
        }
        self.send_report(sender.entry);
    }

    fn send_report(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let entry = &mut self.entries[number];
        let restarted = entry.peers.cursor() == LimitCursor::default();
        let pending = now_ms < entry.report_pending_until_ms;
        if pending || !(entry.peers.is_report_due() || restarted) {
            return;
        }
        let incarnation = entry.incarnation;
        let report = entry.peers.report(now_ms);
        let sent = self.call_leader(
            number,
            Event::LimitsArrive(number, incarnation, report, now_ms),
        );
        let entry = &mut self.entries[number];
        match sent {
            true => entry.report_pending_until_ms = now_ms + REPORT_REPLY_MS,
            false => entry.peers.record_failed_report(),
        }
    }

    fn handle_page(&mut self, number: usize, page: &LimitPage, sent: Option<(LimitReport, u64)>) {
        let now_ms = self.now_ms;
        let entry = &mut self.entries[number];
        if let Some((report, requested_ms)) = sent {
            entry.report_pending_until_ms = now_ms;
            entry.peers.acknowledge(requested_ms, &report);
        }
        for state in &page.limits {
            if entry.peers.changes_rate(state) {
                entry.throttle.update_rate(&state.replica, state.rate);
            }
        }
        entry.peers.apply_page(now_ms, page);
        if entry.peers.is_report_due() {
            self.send_report(number);
        }
    }

    fn record_known(&mut self) {
        let named = self.rate.is_some();
        for entry in self.entries.iter_mut().filter(|_| named) {
            let knows = entry.peers.is_limited(&replica());
            if knows && entry.known_ms.is_none() {
                entry.known_ms = Some(self.now_ms);
            }
        }
    }
}

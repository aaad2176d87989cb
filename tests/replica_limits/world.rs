//! Entries, leaders and one replica that names limits, in simulated time.

use std::collections::BTreeMap;

use dunlinspring::ids::{ReplicaId, ReplicaIncarnation, ServiceName, Term};
use dunlinspring::placement::named_limits::{LimitCursor, LimitPage, LimitReport, PermitStamp};
use dunlinspring::placement::named_rate::AdvertisedRate;
use dunlinspring::placement::rate_limit::PERMIT_VALIDITY_MS;
use dunlinspring::placement::replica_rates::{
    PermitRefusal, PermitReply, PermitRequest, ReplicaRateLimits,
};
use dunlinspring::routing::limited_peers::LimitedPeers;
use dunlinspring::routing::permit_throttle::PermitThrottle;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Time between two regular reports of an entry, in milliseconds.
const REPORT_MS: u64 = 500;
/// Longest time of one message, in milliseconds.
const WAY_MS: u64 = 60;
/// Stands for an answer that nobody gave.
const SILENT: PermitRefusal = PermitRefusal {
    wait_ms: 300,
    rate: None,
};
/// Time in which a report of an entry is answered, in milliseconds.
const TELL_MS: u64 = 250;
/// Time until a new leader is there, in milliseconds.
const ELECTION_MS: std::ops::Range<u64> = 200..2_500;

/// Something that happens from outside.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// So many milliseconds go by.
    Wait(u64),
    /// Requests come to an entry.
    Demand(usize, u32),
    /// A request comes to each of so many entries.
    Crowd(usize),
    /// The replica names a limit, in thousandths of a request a second.
    Name(u32),
    /// It names none any more.
    Recover,
    /// Its answers take so long, in milliseconds.
    Slow(u64),
    /// The leader is lost; another one follows.
    LoseLeader,
    /// An entry starts again.
    Restart(usize),
    /// An entry stands still for so many milliseconds.
    Freeze(usize, u64),
    /// An entry does not reach control hosts for so many milliseconds.
    Cut(usize, u64),
}

/// A request that arrived.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    /// When the entry that sent it had first known of the limit in force.
    pub known_ms: Option<u64>,
}

/// A time in which the replica named one limit.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    pub from_ms: u64,
    pub until_ms: u64,
    pub per_s: f64,
}

#[derive(Default)]
struct Entry {
    life: u64,
    peers: LimitedPeers,
    known_ms: Option<u64>,
    pace: PermitThrottle<ReplicaIncarnation>,
    frozen_until_ms: u64,
    cut_until_ms: u64,
    /// Until when an answer to its last report may come, in milliseconds.
    telling_until_ms: u64,
}

/// What an entry knows of a request that it sent.
#[derive(Clone, Copy, Debug)]
struct Sender {
    entry: usize,
    life: u64,
    permit: Option<PermitStamp>,
}

#[derive(Clone, Debug)]
enum Event {
    AskArrives(usize, u64, PermitRequest, u64),
    ReplyArrives(usize, u64, PermitReply, u64),
    RequestArrives(Sender, Option<u64>),
    HeadLeaves(Sender),
    HeadArrives(Sender, Option<AdvertisedRate>),
    Regular(usize, u64),
    CursorArrives(usize, u64, LimitCursor),
    LimitsArrive(usize, u64, LimitReport, u64),
    PageArrives(usize, u64, LimitPage, Option<(LimitReport, u64)>),
    Lead(Term),
}

impl Event {
    /// The entry that takes it, in which life; none where it is the replica's or a leader's.
    fn taker(&self) -> Option<(usize, u64)> {
        match self {
            Self::ReplyArrives(entry, life, ..)
            | Self::Regular(entry, life)
            | Self::PageArrives(entry, life, ..) => Some((*entry, *life)),
            Self::HeadArrives(sender, _) => Some((sender.entry, sender.life)),
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
    /// Permits asked of leaders.
    pub asked: u64,
    /// When the first answer after the end of a limit came that names none.
    pub free_ms: Option<u64>,
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
            asked: 0,
            free_ms: None,
        };
        for entry in 0..entries {
            let first_ms = world.random.random_range(0..REPORT_MS);
            world.later(first_ms, Event::Regular(entry, 0));
        }
        world
    }

    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Entries that take the replica for limited.
    pub fn limited(&self) -> usize {
        let entries = self.entries.iter();
        entries
            .filter(|entry| entry.peers.is_limited(&replica()))
            .count()
    }

    fn later(&mut self, after_ms: u64, event: Event) {
        self.queued += 1;
        self.queue
            .insert((self.now_ms + after_ms, self.queued), event);
    }

    fn way(&mut self) -> u64 {
        self.random.random_range(1..=WAY_MS)
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
            Step::Crowd(count) => {
                for entry in 0..count.min(self.entries.len()) {
                    self.demand(entry);
                }
            }
            Step::Name(thousandths) => self.name(Some(f64::from(thousandths) / 1_000.0)),
            Step::Recover => self.name(None),
            Step::Slow(service_ms) => self.service_ms = service_ms,
            Step::LoseLeader => {
                self.leader = None;
                self.term += 1;
                let away_ms = self.random.random_range(ELECTION_MS);
                self.later(away_ms, Event::Lead(Term(self.term)));
            }
            Step::Restart(entry) => {
                let number = self.number(entry);
                let life = self.entries[number].life + 1;
                self.entries[number] = Entry {
                    life,
                    ..Entry::default()
                };
                self.tell(number);
                self.later(REPORT_MS, Event::Regular(number, life));
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

    fn name(&mut self, rate: Option<f64>) {
        if let Some(last) = self.phases.last_mut() {
            last.until_ms = last.until_ms.min(self.now_ms);
        }
        if self.rate != rate {
            for entry in &mut self.entries {
                entry.known_ms = None;
            }
        }
        self.rate = rate;
        self.free_ms = None;
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
        if let Some((number, life)) = event.taker() {
            let entry = &self.entries[number];
            if entry.life != life {
                return;
            }
            if self.now_ms < entry.frozen_until_ms {
                let left_ms = entry.frozen_until_ms - self.now_ms;
                return self.later(left_ms, event);
            }
        }
        let now_ms = self.now_ms;
        match event {
            Event::AskArrives(entry, life, request, asked_ms) => {
                let Some(leader) = &mut self.leader else {
                    return;
                };
                self.asked += 1;
                let reply = leader.permit(now_ms, &request, None);
                let way_ms = self.way();
                self.later(way_ms, Event::ReplyArrives(entry, life, reply, asked_ms));
            }
            Event::ReplyArrives(entry, _, reply, asked_ms) => {
                self.take_reply(entry, reply, asked_ms)
            }
            Event::RequestArrives(sender, known_ms) => {
                self.arrivals.push(Arrival {
                    at_ms: now_ms,
                    known_ms,
                });
                self.later(self.service_ms, Event::HeadLeaves(sender));
            }
            Event::HeadLeaves(sender) => {
                let rate = self.rate.map(|rate| rate.to_string());
                let rate = AdvertisedRate::parse(rate.as_deref().into_iter());
                let way_ms = self.way();
                self.later(way_ms, Event::HeadArrives(sender, rate));
            }
            Event::HeadArrives(sender, rate) => self.take_head(sender, rate),
            Event::Regular(entry, life) => {
                let cursor = self.entries[entry].peers.cursor();
                self.call_leader(entry, Event::CursorArrives(entry, life, cursor));
                self.tell(entry);
                self.later(REPORT_MS, Event::Regular(entry, life));
            }
            Event::CursorArrives(entry, life, cursor) => {
                let Some(leader) = &self.leader else {
                    return;
                };
                let page = leader.page(now_ms, cursor);
                let way_ms = self.way();
                self.later(way_ms, Event::PageArrives(entry, life, page, None));
            }
            Event::LimitsArrive(entry, life, report, asked_ms) => {
                let Some(leader) = &mut self.leader else {
                    return;
                };
                let page = leader.report(now_ms, &report);
                let way_ms = self.way();
                let told = Some((report, asked_ms));
                self.later(way_ms, Event::PageArrives(entry, life, page, told));
            }
            Event::PageArrives(entry, _, page, told) => self.take_page(entry, &page, told),
            Event::Lead(term) if term == Term(self.term) => {
                self.leader = Some(ReplicaRateLimits::new(term, now_ms));
            }
            Event::Lead(_) => {}
        }
        self.note_known();
    }

    /// A message to the leader; it is lost where the entry is cut off.
    fn call_leader(&mut self, entry: usize, event: Event) -> bool {
        let reached = self.now_ms >= self.entries[entry].cut_until_ms && self.leader.is_some();
        if reached {
            let way_ms = self.way();
            self.later(way_ms, event);
        }
        reached
    }

    fn demand(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let entry = &self.entries[number];
        let life = entry.life;
        if now_ms < entry.frozen_until_ms {
            return;
        }
        if !entry.peers.is_limited(&replica()) {
            return self.send(number, None);
        }
        if entry.pace.wait_ms(now_ms, &replica()).is_some() {
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
        let asked = self.call_leader(number, Event::AskArrives(number, life, request, now_ms));
        let pace = &mut self.entries[number].pace;
        match asked {
            true => pace.record_request(now_ms, &replica()),
            false => pace.record_refusal(now_ms, now_ms, &replica(), SILENT),
        }
    }

    fn take_reply(&mut self, number: usize, reply: PermitReply, asked_ms: u64) {
        let now_ms = self.now_ms;
        let entry = &mut self.entries[number];
        entry.peers.acknowledge_limit(asked_ms, &replica());
        match reply {
            // A connection opens meanwhile, for up to the rest of the permit's time.
            PermitReply::Granted(stamp) if now_ms < asked_ms + PERMIT_VALIDITY_MS => {
                entry.pace.record_grant(asked_ms, &replica());
                self.send(number, Some(stamp));
            }
            PermitReply::Granted(_) => {}
            PermitReply::Refused(refusal) => {
                entry
                    .pace
                    .record_refusal(now_ms, asked_ms, &replica(), refusal);
            }
        }
    }

    fn send(&mut self, number: usize, permit: Option<PermitStamp>) {
        let entry = &self.entries[number];
        let sender = Sender {
            entry: number,
            life: entry.life,
            permit,
        };
        let known_ms = entry.known_ms;
        let way_ms = self.way();
        self.later(way_ms, Event::RequestArrives(sender, known_ms));
    }

    fn take_head(&mut self, sender: Sender, rate: Option<AdvertisedRate>) {
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
                    self.free_ms.get_or_insert(now_ms);
                }
            }
            (None, None) => {}
        }
        self.tell(sender.entry);
    }

    fn tell(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let entry = &mut self.entries[number];
        let restarted = entry.peers.cursor() == LimitCursor::default();
        let telling = now_ms < entry.telling_until_ms;
        if telling || !(entry.peers.is_report_due() || restarted) {
            return;
        }
        let life = entry.life;
        let report = entry.peers.report(now_ms);
        let told = self.call_leader(number, Event::LimitsArrive(number, life, report, now_ms));
        let entry = &mut self.entries[number];
        match told {
            true => entry.telling_until_ms = now_ms + TELL_MS,
            false => entry.peers.record_failed_report(),
        }
    }

    fn take_page(&mut self, number: usize, page: &LimitPage, told: Option<(LimitReport, u64)>) {
        let now_ms = self.now_ms;
        let entry = &mut self.entries[number];
        if let Some((report, asked_ms)) = told {
            entry.telling_until_ms = now_ms;
            entry.peers.acknowledge(asked_ms, &report);
        }
        for state in &page.limits {
            if entry.peers.changes_rate(state) {
                entry.pace.update_rate(&state.replica, state.rate);
            }
        }
        entry.peers.apply_page(now_ms, page);
        if entry.peers.is_report_due() {
            self.tell(number);
        }
    }

    fn note_known(&mut self) {
        let named = self.rate.is_some();
        for entry in self.entries.iter_mut().filter(|_| named) {
            let knows = entry.peers.is_limited(&replica());
            if knows && entry.known_ms.is_none() {
                entry.known_ms = Some(self.now_ms);
            }
        }
    }
}

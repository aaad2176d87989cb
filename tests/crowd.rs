//! Congestion reports: entries report their queued prompt tokens to the leader, which replies with
//! the totals of congested replicas.

mod support_place;
mod support_replicas;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use dunlinspring::consensus::directory::ReplicaRecord;
use dunlinspring::forward::replica_table::{
    AttemptResult, Choice, ChoicePolicy, EngineBounds, LoadReport, Need, ReplicaTable,
};
use dunlinspring::ids::{HallName, HostName, ModelName, ReplicaId, ServiceName};
use dunlinspring::placement::congestion::{
    CongestionThreshold, QueueReport, QueueTotals, QueuedTokens,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support_place::flat_location;
use support_replicas::ready_replica;

fn report(entry: usize, waiting: QueuedTokens) -> QueueReport {
    QueueReport {
        host: HostName(format!("entry-{entry}")),
        waiting,
    }
}

/// Returns a threshold of `tokens` without a minimum duration.
fn at_least(tokens: u64) -> CongestionThreshold {
    CongestionThreshold {
        tokens,
        min_duration_ms: 0,
    }
}

fn tokens(id: &str, tokens: u64) -> QueuedTokens {
    QueuedTokens::from([(ReplicaId::from(id), tokens)])
}

#[test]
fn only_the_most_congested_replicas_are_reported() {
    let mut totals = QueueTotals::default();
    let many: QueuedTokens = (0..100)
        .map(|number| (ReplicaId(format!("r{number:02}")), 5_000 + number))
        .collect();
    totals.record(0, report(1, many), at_least(5_000));
    let congested = totals.record(1, report(2, tokens("r00", 9_000)), at_least(5_000));
    assert_eq!(congested.len(), 32);
    assert_eq!(congested[&ReplicaId::from("r00")], 14_000);
    assert!(congested.contains_key(&ReplicaId::from("r99")));
    assert!(!congested.contains_key(&ReplicaId::from("r01")));
    let left = totals.record(2, report(1, QueuedTokens::new()), at_least(5_000));
    assert_eq!(left, tokens("r00", 9_000));
}

#[test]
fn only_a_standing_queue_is_reported() {
    let threshold = CongestionThreshold {
        tokens: 5_000,
        min_duration_ms: 500,
    };
    let mut totals = QueueTotals::default();
    let mut is_reported = |now_ms: u64, waiting: u64| {
        let congested = totals.record(now_ms, report(1, tokens("a", waiting)), threshold);
        !congested.is_empty()
    };
    assert!(!is_reported(0, 9_000));
    assert!(!is_reported(400, 9_000));
    // The queue drained in between.
    assert!(!is_reported(450, 4_000));
    assert!(!is_reported(600, 9_000));
    assert!(!is_reported(1_000, 9_000));
    assert!(is_reported(1_100, 6_000));
    assert!(!is_reported(1_200, 4_000));
}

#[test]
fn reports_of_a_silent_entry_expire() {
    let mut totals = QueueTotals::default();
    totals.record(0, report(1, tokens("a", 9_000)), at_least(1));
    let both = totals.record(1_900, report(2, tokens("a", 5_000)), at_least(1));
    assert_eq!(both, tokens("a", 14_000));
    let left = totals.record(3_800, report(2, tokens("a", 5_000)), at_least(1));
    assert_eq!(left, tokens("a", 5_000));
    // A queue that stood only by an expired report counts as new.
    let threshold = CongestionThreshold {
        tokens: 9_000,
        min_duration_ms: 500,
    };
    totals.record(4_000, report(3, tokens("b", 9_000)), threshold);
    totals.record(6_100, report(2, QueuedTokens::new()), threshold);
    let again = totals.record(6_200, report(2, tokens("b", 9_000)), threshold);
    assert!(again.is_empty());
}

#[test]
fn totals_are_the_sums_of_the_last_reports() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut totals = QueueTotals::default();
    let mut last = vec![QueuedTokens::new(); 6];
    for _ in 0..2_000 {
        let entry = rng.random_range(0..last.len());
        let mut new = QueuedTokens::new();
        for id in ["a", "b", "c", "d"] {
            if rng.random_bool(0.5) {
                new.insert(ReplicaId::from(id), rng.random_range(1..50));
            }
        }
        last[entry] = new.clone();
        let congested = totals.record(0, report(entry, new), at_least(1));
        let mut expected = QueuedTokens::new();
        for (id, tokens) in last.iter().flatten() {
            *expected.entry(id.clone()).or_default() += tokens;
        }
        assert_eq!(congested, expected);
    }
}

/// Time within which a response should start, in milliseconds.
const LATENCY_GOAL_MS: u64 = 800;
/// Prompt tokens of a request.
const REQUEST_TOKENS: u64 = 2_400;
/// Prompt tokens that the home processes in a millisecond.
const READ_TOKENS_PER_MS: u64 = 19;
const ENTRIES: usize = 31;
const THRESHOLD: CongestionThreshold = CongestionThreshold {
    tokens: 4_000,
    min_duration_ms: 500,
};
/// Longest and shortest time between two reports of an entry, in milliseconds.
const REPORT_INTERVAL_MS: (u64, u64) = (500, 100);

struct SentRequest {
    entry: usize,
    sent_ms: u64,
    tokens_ahead: u64,
}

/// Simulates one home of a model behind many entries, with more demand than it can serve.
struct CongestedHome {
    tables: Vec<ReplicaTable>,
    /// By entry: time of its last report, and whether it has seen congestion since.
    reported: Vec<(u64, bool)>,
    totals: QueueTotals,
    shares_totals: bool,
    queue: VecDeque<SentRequest>,
    busy_until_ms: u64,
    on_time: u32,
    late: u32,
}

fn home() -> ReplicaId {
    ReplicaId::from("home")
}

fn need(id_hash: u64) -> Need {
    Need {
        service: Some(ServiceName::from("llm")),
        model: Some(ModelName::from("m")),
        prompt_tokens: REQUEST_TOKENS,
        tokens: REQUEST_TOKENS,
        limit_ms: LATENCY_GOAL_MS,
        id_hash,
        ..Need::default()
    }
}

impl CongestedHome {
    fn new(shares_totals: bool) -> Self {
        let record = ReplicaRecord {
            address: "127.0.0.1:1".parse().unwrap(),
            hall: HallName::from("here"),
            slots: 64,
            models: BTreeMap::from([(ModelName::from("m"), BTreeSet::new())]),
            ..ready_replica(home(), "llm")
        };
        let records = BTreeMap::from([(home(), record)]);
        let mut table = ReplicaTable::new(ChoicePolicy::default(), flat_location("here"));
        table.update_records(0, &records);
        Self {
            tables: vec![table; ENTRIES],
            reported: vec![(0, false); ENTRIES],
            totals: QueueTotals::default(),
            shares_totals,
            queue: VecDeque::new(),
            busy_until_ms: 0,
            on_time: 0,
            late: 0,
        }
    }

    fn send_request(&mut self, now_ms: u64, entry: usize, id_hash: u64) {
        let bounds = EngineBounds {
            memory: 94_000,
            adapter_slots: 8,
        };
        let (need, none) = (need(id_hash), BTreeSet::new());
        let table = &mut self.tables[entry];
        let Choice::Send(id) = table.choose(now_ms, &need, &none, bounds) else {
            self.reported[entry].1 = true;
            return;
        };
        let tokens_ahead = table.record_sent(now_ms, &id, &need);
        self.reported[entry].1 |= table.causes_congestion(&id, &need, tokens_ahead);
        self.queue.push_back(SentRequest {
            entry,
            sent_ms: now_ms,
            tokens_ahead,
        });
    }

    /// Starts a response of the home each time that it has processed a prompt.
    fn serve(&mut self, now_ms: u64) {
        if self.queue.is_empty() {
            self.busy_until_ms = now_ms + REQUEST_TOKENS / READ_TOKENS_PER_MS;
        }
        if now_ms < self.busy_until_ms {
            return;
        }
        let Some(request) = self.queue.pop_front() else {
            return;
        };
        self.busy_until_ms = now_ms + REQUEST_TOKENS / READ_TOKENS_PER_MS;
        let took_ms = now_ms - request.sent_ms;
        match took_ms <= LATENCY_GOAL_MS {
            true => self.on_time += 1,
            false => self.late += 1,
        }
        let report = LoadReport {
            running: 1,
            waiting: self.queue.len() as u32,
            slots: 64,
            work_percent: None,
        };
        let (table, need) = (&mut self.tables[request.entry], need(0));
        table.record_response_start(&home(), &need, request.tokens_ahead, took_ms as f64);
        table.record_load(now_ms, &home(), report);
        table.record_end(now_ms, &home(), &need, true, AttemptResult::Good);
    }

    fn report(&mut self, now_ms: u64, entry: usize) {
        let (last_ms, congestion_seen) = self.reported[entry];
        let (longest_ms, least_ms) = REPORT_INTERVAL_MS;
        let due_ms = last_ms
            + if congestion_seen {
                least_ms
            } else {
                longest_ms
            };
        if now_ms < due_ms {
            return;
        }
        self.reported[entry] = (now_ms, false);
        let table = &mut self.tables[entry];
        let waiting = table.queued_tokens();
        let congested = self
            .totals
            .record(now_ms, report(entry, waiting.clone()), THRESHOLD);
        if self.shares_totals {
            table.update_congestion(now_ms, &waiting, &congested);
        }
    }

    /// Simulates 30 s with twice the demand that the home can serve.
    fn run(&mut self) {
        let mut rng = SmallRng::seed_from_u64(7);
        let arrivals_per_ms = 2.0 * READ_TOKENS_PER_MS as f64 / REQUEST_TOKENS as f64;
        for now_ms in 1..30_000 {
            if rng.random_bool(arrivals_per_ms) {
                let entry = rng.random_range(0..ENTRIES);
                self.send_request(now_ms, entry, rng.random());
            }
            self.serve(now_ms);
            for entry in 0..ENTRIES {
                self.report(now_ms, entry);
            }
        }
    }
}

/// The home can serve about 236 responses in the simulated time. Entries that know only of their
/// own requests keep a queue at the home that makes responses late.
#[test]
fn entries_that_share_queue_totals_keep_no_queue_that_delays_all() {
    let mut apart = CongestedHome::new(false);
    apart.run();
    let mut together = CongestedHome::new(true);
    together.run();
    println!(
        "on time and late: {} and {} without shared totals, {} and {} with them",
        apart.on_time, apart.late, together.on_time, together.late
    );
    let served = together.on_time + together.late;
    assert!(
        together.on_time * 10 >= served * 7,
        "most responses start in time"
    );
    assert!(together.on_time >= 2 * apart.on_time);
    assert!(
        served * 10 >= (apart.on_time + apart.late) * 9,
        "the home stays in use"
    );
}

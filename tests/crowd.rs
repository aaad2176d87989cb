//! What entries tell each other, by way of the leader, of prompts that wait at replicas.

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
use support_place::flat_place;
use support_replicas::ready_replica;

fn report(entry: usize, waiting: QueuedTokens) -> QueueReport {
    QueueReport {
        host: HostName(format!("entry-{entry}")),
        waiting,
    }
}

/// So many tokens, at once.
fn least(tokens: u64) -> CongestionThreshold {
    CongestionThreshold {
        tokens,
        min_duration_ms: 0,
    }
}

fn tokens(id: &str, tokens: u64) -> QueuedTokens {
    QueuedTokens::from([(ReplicaId::from(id), tokens)])
}

#[test]
fn the_most_crowded_are_told_and_no_more_than_a_few() {
    let mut sums = QueueTotals::default();
    let many: QueuedTokens = (0..100)
        .map(|number| (ReplicaId(format!("r{number:02}")), 5_000 + number))
        .collect();
    sums.record(0, report(1, many), least(5_000));
    let crowded = sums.record(1, report(2, tokens("r00", 9_000)), least(5_000));
    assert_eq!(crowded.len(), 32);
    assert_eq!(crowded[&ReplicaId::from("r00")], 14_000);
    assert!(crowded.contains_key(&ReplicaId::from("r99")));
    assert!(!crowded.contains_key(&ReplicaId::from("r01")));
    let left = sums.record(2, report(1, QueuedTokens::new()), least(5_000));
    assert_eq!(left, tokens("r00", 9_000));
}

#[test]
fn a_queue_is_told_once_it_stands() {
    let bound = CongestionThreshold {
        tokens: 5_000,
        min_duration_ms: 500,
    };
    let mut sums = QueueTotals::default();
    let mut told = |now_ms: u64, waiting: u64| {
        let crowded = sums.record(now_ms, report(1, tokens("a", waiting)), bound);
        !crowded.is_empty()
    };
    assert!(!told(0, 9_000));
    assert!(!told(400, 9_000));
    // It went in between.
    assert!(!told(450, 4_000));
    assert!(!told(600, 9_000));
    assert!(!told(1_000, 9_000));
    assert!(told(1_100, 6_000));
    assert!(!told(1_200, 4_000));
}

#[test]
fn an_entry_that_falls_silent_counts_no_more() {
    let mut sums = QueueTotals::default();
    sums.record(0, report(1, tokens("a", 9_000)), least(1));
    let both = sums.record(1_900, report(2, tokens("a", 5_000)), least(1));
    assert_eq!(both, tokens("a", 14_000));
    let left = sums.record(3_800, report(2, tokens("a", 5_000)), least(1));
    assert_eq!(left, tokens("a", 5_000));
    // What stood by its word alone stands no more.
    let bound = CongestionThreshold {
        tokens: 9_000,
        min_duration_ms: 500,
    };
    sums.record(4_000, report(3, tokens("b", 9_000)), bound);
    sums.record(6_100, report(2, QueuedTokens::new()), bound);
    let again = sums.record(6_200, report(2, tokens("b", 9_000)), bound);
    assert!(again.is_empty());
}

#[test]
fn sums_are_those_of_the_last_reports() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut sums = QueueTotals::default();
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
        let crowded = sums.record(0, report(entry, new), least(1));
        let mut whole = QueuedTokens::new();
        for (id, tokens) in last.iter().flatten() {
            *whole.entry(id.clone()).or_default() += tokens;
        }
        assert_eq!(crowded, whole);
    }
}

/// Time within which an answer should begin, in milliseconds.
const AIM_MS: u64 = 800;
/// Tokens of a request.
const TOKENS: u64 = 2_400;
/// Tokens that the home reads in a millisecond.
const READS: u64 = 19;
const ENTRIES: usize = 31;
const BOUND: CongestionThreshold = CongestionThreshold {
    tokens: 4_000,
    min_duration_ms: 500,
};
/// Longest and least time between two reports of an entry.
const REPORT_MS: (u64, u64) = (500, 100);

struct SentRequest {
    entry: usize,
    sent_ms: u64,
    ahead: u64,
}

/// One home of a model behind many entries, with more demand than it can serve.
struct CrowdedHome {
    books: Vec<ReplicaTable>,
    /// By entry: when it reported last, and whether it sees a crowd since.
    reported: Vec<(u64, bool)>,
    sums: QueueTotals,
    told: bool,
    queue: VecDeque<SentRequest>,
    busy_until_ms: u64,
    in_aim: u32,
    late: u32,
}

fn home() -> ReplicaId {
    ReplicaId::from("home")
}

fn need(id_hash: u64) -> Need {
    Need {
        service: Some(ServiceName::from("llm")),
        model: Some(ModelName::from("m")),
        prompt_tokens: TOKENS,
        tokens: TOKENS,
        limit_ms: AIM_MS,
        id_hash,
        ..Need::default()
    }
}

impl CrowdedHome {
    fn new(told: bool) -> Self {
        let record = ReplicaRecord {
            address: "127.0.0.1:1".parse().unwrap(),
            hall: HallName::from("here"),
            slots: 64,
            models: BTreeMap::from([(ModelName::from("m"), BTreeSet::new())]),
            ..ready_replica(home(), "llm")
        };
        let records = BTreeMap::from([(home(), record)]);
        let mut book = ReplicaTable::new(ChoicePolicy::default(), flat_place("here"));
        book.update_records(0, &records);
        Self {
            books: vec![book; ENTRIES],
            reported: vec![(0, false); ENTRIES],
            sums: QueueTotals::default(),
            told,
            queue: VecDeque::new(),
            busy_until_ms: 0,
            in_aim: 0,
            late: 0,
        }
    }

    fn ask(&mut self, now_ms: u64, entry: usize, id_hash: u64) {
        let bounds = EngineBounds {
            memory: 94_000,
            adapter_slots: 8,
        };
        let (need, none) = (need(id_hash), BTreeSet::new());
        let book = &mut self.books[entry];
        let Choice::Send(id) = book.choose(now_ms, &need, &none, bounds) else {
            self.reported[entry].1 = true;
            return;
        };
        let ahead = book.record_sent(now_ms, &id, &need);
        self.reported[entry].1 |= book.causes_congestion(&id, &need, ahead);
        self.queue.push_back(SentRequest {
            entry,
            sent_ms: now_ms,
            ahead,
        });
    }

    /// The home begins an answer each time that it has read a prompt.
    fn serve(&mut self, now_ms: u64) {
        if self.queue.is_empty() {
            self.busy_until_ms = now_ms + TOKENS / READS;
        }
        if now_ms < self.busy_until_ms {
            return;
        }
        let Some(request) = self.queue.pop_front() else {
            return;
        };
        self.busy_until_ms = now_ms + TOKENS / READS;
        let took_ms = now_ms - request.sent_ms;
        match took_ms <= AIM_MS {
            true => self.in_aim += 1,
            false => self.late += 1,
        }
        let report = LoadReport {
            running: 1,
            waiting: self.queue.len() as u32,
            slots: 64,
            work_percent: None,
        };
        let (book, need) = (&mut self.books[request.entry], need(0));
        book.record_response_start(&home(), &need, request.ahead, took_ms as f64);
        book.record_load(now_ms, &home(), report);
        book.record_end(now_ms, &home(), &need, true, AttemptResult::Good);
    }

    fn report(&mut self, now_ms: u64, entry: usize) {
        let (last_ms, seen) = self.reported[entry];
        let (longest_ms, least_ms) = REPORT_MS;
        let due_ms = last_ms + if seen { least_ms } else { longest_ms };
        if now_ms < due_ms {
            return;
        }
        self.reported[entry] = (now_ms, false);
        let book = &mut self.books[entry];
        let waiting = book.queued_tokens();
        let crowded = self
            .sums
            .record(now_ms, report(entry, waiting.clone()), BOUND);
        if self.told {
            book.update_congestion(now_ms, &waiting, &crowded);
        }
    }

    /// Twice what the home can serve, for half a minute.
    fn play(&mut self) {
        let mut rng = SmallRng::seed_from_u64(7);
        let asked = 2.0 * READS as f64 / TOKENS as f64;
        for now_ms in 1..30_000 {
            if rng.random_bool(asked) {
                let entry = rng.random_range(0..ENTRIES);
                self.ask(now_ms, entry, rng.random());
            }
            self.serve(now_ms);
            for entry in 0..ENTRIES {
                self.report(now_ms, entry);
            }
        }
    }
}

/// Of about 236 answers that the home can give.
#[test]
fn entries_that_know_of_each_other_keep_no_queue_that_makes_all_late() {
    let mut apart = CrowdedHome::new(false);
    apart.play();
    let mut together = CrowdedHome::new(true);
    together.play();
    println!(
        "in aim and late: {} and {} apart, {} and {} together",
        apart.in_aim, apart.late, together.in_aim, together.late
    );
    let served = together.in_aim + together.late;
    assert!(together.in_aim * 10 >= served * 7, "most are in time");
    assert!(together.in_aim >= 2 * apart.in_aim);
    assert!(
        served * 10 >= (apart.in_aim + apart.late) * 9,
        "the home is used"
    );
}

//! Reuse of cached prompt parts: which requests call for it, what it costs, and a simulation of a
//! service whose prompts are mostly shared.

mod support_place;
mod support_replicas;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use dunlinspring::consensus::directory::ReplicaRecord;
use dunlinspring::forward::home_order;
use dunlinspring::forward::prompt_parts::{self, PromptPart};
use dunlinspring::forward::replica_table::{
    AttemptResult, Choice, ChoicePolicy, EngineBounds, LoadReport, Need, ReplicaTable,
};
use dunlinspring::ids::{HallName, ModelName, ReplicaId, ServiceName};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support_place::flat_location;
use support_replicas::ready_replica;

const SLOTS: u32 = 64;
const BOUNDS: EngineBounds = EngineBounds {
    memory: 0,
    adapter_slots: 8,
};
/// Shared parts of a brief, in tokens, and what follows them.
const BRIEF_PARTS: [u32; 2] = [2_520, 3_780];
const BRIEF_SHARED: u32 = 6_300;
const BRIEF_OWN: u64 = 2_890;
const ANSWER_TOKENS: u64 = 200;
/// Tokens that a replica at pace 1.0 prefills in a millisecond.
const BRIEF_SPEED: f64 = 38.7;
const LIMIT_MS: u64 = 800;

fn id(number: usize) -> ReplicaId {
    ReplicaId(format!("replica-{number:02}"))
}

fn service() -> ServiceName {
    ServiceName::from("llm")
}

fn table(homes: usize, hall: &str) -> ReplicaTable {
    let records = (0..homes).map(|number| {
        let record = ReplicaRecord {
            hall: HallName(format!("hall-{}", number % 3)),
            models: BTreeMap::from([(ModelName::from("m"), BTreeSet::new())]),
            slots: SLOTS,
            ..ready_replica(id(number), "llm")
        };
        (id(number), record)
    });
    let mut table = ReplicaTable::new(ChoicePolicy::default(), flat_location(hall));
    table.update_records(0, &records.collect());
    table
}

/// Returns a request with two shared parts; `first` and `second` are their ids.
fn brief(first: usize, second: usize) -> Need {
    let [first_tokens, second_tokens] = BRIEF_PARTS;
    let header = format!("{first:x}:{first_tokens},{second:x}:{second_tokens},0:{BRIEF_OWN}");
    let prompt_tokens = u64::from(BRIEF_SHARED) + BRIEF_OWN;
    Need {
        service: Some(service()),
        model: Some(ModelName::from("m")),
        parts: prompt_parts::parse("m", None, &header),
        prompt_tokens,
        tokens: prompt_tokens + ANSWER_TOKENS,
        limit_ms: LIMIT_MS,
        ..Need::default()
    }
}

/// Returns a request with a short shared part in front of a longer prompt.
fn short(part: usize) -> Need {
    Need {
        parts: prompt_parts::parse("m", None, &format!("{part:x}:568,0:1832")),
        prompt_tokens: 2_400,
        tokens: 2_400 + ANSWER_TOKENS,
        ..brief(0, 0)
    }
}

/// Serves a request at a home without a queue.
fn serve(table: &mut ReplicaTable, home: usize, need: &Need, took_ms: f64) {
    let ahead = table.record_sent(0, &id(home), need);
    table.record_response_start(&id(home), need, ahead, took_ms);
    table.record_end(0, &id(home), need, true, AttemptResult::Good);
}

fn choose(table: &ReplicaTable, need: &Need) -> ReplicaId {
    match table.choose(0, need, &BTreeSet::new(), BOUNDS) {
        Choice::Send(id) => id,
        other => panic!("{other:?}"),
    }
}

/// Requests would be bound to few homes without a gain.
#[test]
fn only_a_substantial_prefill_calls_for_reuse() {
    let mut table = table(4, "hall-0");
    assert!(!table.calls_for_reuse(&brief(1, 2)), "nothing is measured");
    serve(&mut table, 0, &brief(1, 2), 9_190.0 / BRIEF_SPEED);
    assert!(table.calls_for_reuse(&brief(1, 2)));
    let bare = Need {
        parts: Vec::new(),
        ..brief(1, 2)
    };
    assert!(!table.calls_for_reuse(&bare));
    let patient = Need {
        limit_ms: 8_000,
        ..brief(1, 2)
    };
    assert!(!table.calls_for_reuse(&patient));
    let other = Need {
        service: Some(ServiceName::from("other")),
        ..brief(1, 2)
    };
    assert!(!table.calls_for_reuse(&other));
}

/// 568 shared tokens at 19 tokens a millisecond are 4% of the limit. Responses that waited behind
/// known or unknown queues would make them look like a tenth.
#[test]
fn queues_do_not_make_short_parts_call_for_reuse() {
    let mut table = table(4, "hall-0");
    let mut rng = SmallRng::seed_from_u64(1);
    for number in 0..2_000 {
        let need = short(number % 7);
        // Of ten responses one finds no queue.
        let unknown_ms = match rng.random_bool(0.1) {
            true => 0.0,
            false => rng.random_range(0.0..400.0),
        };
        serve(&mut table, number % 4, &need, 2_400.0 / 19.0 + unknown_ms);
        if number > 20 {
            assert!(!table.calls_for_reuse(&need), "request {number}");
        }
        // A known queue: the second of two waits for the first.
        let home = id(number % 4);
        let ahead = [0, 1].map(|_| table.record_sent(0, &home, &need));
        for tokens in ahead {
            table.record_response_start(&home, &need, tokens, tokens as f64 / 19.0);
            table.record_end(0, &home, &need, true, AttemptResult::Good);
        }
    }
    assert!(!table.is_prefill_bound(&service()));
}

/// Once the shared parts are cached, responses start three times as soon. If that counted as a
/// faster prefill, the service would stop to reuse them.
#[test]
fn cached_prompts_do_not_make_the_prefill_look_fast() {
    let mut table = table(4, "hall-0");
    for number in 0..500 {
        let tokens = if number < 4 { 9_190.0 } else { 2_890.0 };
        serve(
            &mut table,
            number % 4,
            &brief(1, number % 5),
            tokens / BRIEF_SPEED,
        );
        assert!(table.calls_for_reuse(&brief(1, 2)), "request {number}");
    }
    assert!(table.is_prefill_bound(&service()));
}

/// Agents would be asked and not asked in turn, while the mix of requests stays the same.
#[test]
fn a_service_is_prefill_bound_with_hysteresis() {
    let mut table = table(4, "hall-0");
    assert!(!table.is_prefill_bound(&service()));
    let bare = Need {
        parts: Vec::new(),
        ..brief(0, 0)
    };
    let mut serve_mix = |requests: usize, every: usize| {
        let mut changes = 0;
        let mut last = table.is_prefill_bound(&service());
        for number in 0..requests {
            let need = match number % every {
                0 => brief(1, 2),
                _ => bare.clone(),
            };
            serve(&mut table, number % 4, &need, 9_190.0 / BRIEF_SPEED);
            let bound = table.is_prefill_bound(&service());
            changes += u32::from(bound != last);
            last = bound;
        }
        (last, changes)
    };
    let (bound, _) = serve_mix(1_000, 40);
    assert!(!bound);
    assert_eq!(serve_mix(1_000, 5), (true, 1));
    // Below the fraction at which it began, and above the one at which it ends.
    assert_eq!(serve_mix(1_000, 12), (true, 0));
    assert_eq!(serve_mix(1_000, 40), (false, 1));
    assert_eq!(serve_mix(1_000, 12), (false, 0));
}

/// Requests that do not call for reuse are served as before: a waiting request costs 1, a running
/// one 0.1, a replica that was sent the whole shared prefix gains 0.4, and the hash of the request
/// decides between equal costs.
#[test]
fn short_shared_parts_choose_as_before() {
    const HOMES: usize = 5;
    const KNOWN_PREFIXES: usize = 256;
    let mut table = table(HOMES, "hall-0");
    let hall_cost = |home: usize| if home.is_multiple_of(3) { 0.0 } else { 0.2 };
    let mut rng = SmallRng::seed_from_u64(2);
    // By home: waiting and running requests, and the prefixes that were sent there.
    let mut waiting: Vec<VecDeque<(Need, u64)>> = vec![VecDeque::new(); HOMES];
    let mut running: Vec<VecDeque<Need>> = vec![VecDeque::new(); HOMES];
    let mut prefixes: Vec<VecDeque<PromptPart>> = vec![VecDeque::new(); HOMES];
    let mut gains = 0;
    for number in 0..6_000 {
        let need = Need {
            id_hash: rng.random_range(0..1_u64 << 32),
            ..short(rng.random_range(0..1_500))
        };
        let prefix = need.parts[0];
        let costs = (0..HOMES).map(|home| {
            let has_prefix = prefixes[home].contains(&prefix);
            let gain = if has_prefix { 0.4 } else { 0.0 };
            let load = waiting[home].len() as f64 + running[home].len() as f64 * 0.1;
            let cost = load + hall_cost(home) - gain;
            (cost, home_order::hash_rank(need.id_hash, &id(home)), home)
        });
        let best = costs.min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
        let (_, _, best) = best.unwrap();
        assert_eq!(choose(&table, &need), id(best), "request {number}");
        assert!(!table.calls_for_reuse(&need));
        gains += u32::from(prefixes[best].contains(&prefix));
        let ahead = table.record_sent(0, &id(best), &need);
        prefixes[best].retain(|known| *known != prefix);
        prefixes[best].push_back(prefix);
        if prefixes[best].len() > KNOWN_PREFIXES {
            prefixes[best].pop_front();
        }
        waiting[best].push_back((need, ahead));
        // As many requests start and end as are sent.
        let from = rng.random_range(0..HOMES);
        let homes = || (from..from + HOMES).map(|home| home % HOMES);
        if let Some(home) = homes().find(|home| !waiting[*home].is_empty()) {
            let (need, ahead) = waiting[home].pop_front().unwrap();
            table.record_response_start(&id(home), &need, ahead, ahead as f64 / 1_000.0);
            running[home].push_back(need);
        }
        let has_run = |home: &usize| running[*home].len() > 12;
        if let Some(home) = homes().find(has_run) {
            let need = running[home].pop_front().unwrap();
            table.record_end(0, &id(home), &need, true, AttemptResult::Good);
        }
    }
    assert!(gains > 500, "{gains} requests went after their prefix");
}

fn serve_at(table: &mut ReplicaTable, home: &ReplicaId, need: &Need) {
    let number = (0..).find(|number| id(*number) == *home).unwrap();
    serve(table, number, need, 9_190.0 / BRIEF_SPEED);
}

/// Returns a table that has measured the prefill of briefs, and the order of homes for a brief.
fn measured_table(need: &Need) -> (ReplicaTable, Vec<ReplicaId>) {
    let mut table = table(6, "elsewhere");
    serve(&mut table, 0, &brief(900, 901), 9_190.0 / BRIEF_SPEED);
    let order = table.homes_in_order(need).into_iter().cloned().collect();
    (table, order)
}

/// Briefs would be read at every home once.
#[test]
fn the_first_home_in_order_gets_a_brief_and_the_second_when_it_is_busy() {
    let need = brief(1, 2);
    let (mut table, order) = measured_table(&need);
    assert_eq!(choose(&table, &need), order[0]);
    // Two waiting requests outweigh half of the shared tokens.
    let other = brief(3, 4);
    table.record_sent(0, &order[0], &other);
    assert_eq!(choose(&table, &need), order[0]);
    table.record_sent(0, &order[0], &other);
    assert_eq!(choose(&table, &need), order[1]);
    // The home that is known to have the parts goes before one that is assumed to have half.
    serve_at(&mut table, &order[3], &need);
    assert_eq!(choose(&table, &need), order[3]);
}

/// What was sent to a home may have been evicted since, if the home had time to prefill as many
/// tokens as it holds: 4.3 s for 167,040 tokens. Entries would keep sending prompts to homes where
/// they have to be prefilled again.
#[test]
fn parts_that_may_be_evicted_do_not_count_as_cached() {
    let need = brief(1, 2);
    let (mut table, order) = measured_table(&need);
    serve_at(&mut table, &order[3], &need);
    for _ in 0..3 {
        table.record_sent(0, &order[0], &brief(3, 4));
        table.record_sent(0, &order[1], &brief(3, 4));
    }
    let at = |now_ms: u64, memory: u64| {
        let bounds = EngineBounds { memory, ..BOUNDS };
        table.choose(now_ms, &need, &BTreeSet::new(), bounds)
    };
    assert_eq!(at(4_000, CACHE_TOKENS), Choice::Send(order[3].clone()));
    // Homes without a limit keep everything.
    assert_eq!(at(60_000, 0), Choice::Send(order[3].clone()));
    assert_ne!(at(60_000, CACHE_TOKENS), Choice::Send(order[3].clone()));
}

/// The home whose turn it is may be full, draining or ejected: the request must not wait for it.
#[test]
fn the_next_home_takes_over_if_the_first_has_no_capacity() {
    let need = brief(1, 2);
    let (mut table, order) = measured_table(&need);
    let full = LoadReport {
        running: SLOTS,
        waiting: 0,
        slots: SLOTS,
        work_percent: None,
    };
    table.record_load(0, &order[0], full);
    assert_eq!(choose(&table, &need), order[1]);
    table.record_sent(0, &order[1], &need);
    table.record_end(0, &order[1], &need, false, AttemptResult::Unreached);
    let third = choose(&table, &need);
    assert!(order[2..].contains(&third));
}

/// A first part that was sent alone is cached as well, and an unknown second one takes nothing
/// off.
#[test]
fn a_cached_first_part_counts_for_its_share() {
    let need = brief(1, 2);
    let (mut table, order) = measured_table(&need);
    for home in [&order[0], &order[1]] {
        for _ in 0..3 {
            table.record_sent(0, home, &brief(5, 6));
        }
    }
    serve_at(&mut table, &order[4], &brief(1, 3));
    serve_at(&mut table, &order[5], &brief(7, 2));
    assert_eq!(choose(&table, &need), order[4]);
}

const ENTRIES: usize = 22;
const HOMES: usize = 13;
const PROMPTS: usize = 61;
/// First parts, each of which several prompts share.
const FIRST_PARTS: usize = 8;
const REQUESTS_PER_S: f64 = 45.0;
const DURATION_MS: u64 = 20_000;
const CACHE_TOKENS: u64 = 167_040;
/// Time between two checks of a request that found no capacity, and how long it waits.
const RECHECK_MS: u64 = 50;
const MAX_WAIT_MS: u64 = 200;
/// How long a response takes after its first event, and the step that produces that event.
const ANSWER_MS: u64 = 1_500;
const STEP_MS: f64 = 20.0;

struct QueuedPrompt {
    entry: usize,
    need: Need,
    number: u64,
    tokens_ahead: u64,
    sent_ms: u64,
}

#[derive(Default)]
struct SimulatedHome {
    /// Factor on the prefill time.
    pace: f64,
    queue: VecDeque<QueuedPrompt>,
    prefilling: Option<(u64, QueuedPrompt)>,
    running: VecDeque<(u64, QueuedPrompt)>,
    /// Cached parts, the least recently used first, with their tokens.
    cached: VecDeque<(u64, u64)>,
    requests: u32,
}

impl SimulatedHome {
    /// Takes a part as used. Returns whether it was cached.
    fn use_part(&mut self, chain: u64, tokens: u64) -> bool {
        let place = self.cached.iter().position(|(known, _)| *known == chain);
        if let Some(place) = place {
            self.cached.remove(place);
        }
        self.cached.push_back((chain, tokens));
        while self.cached.iter().map(|(_, tokens)| tokens).sum::<u64>() > CACHE_TOKENS {
            self.cached.pop_front();
        }
        place.is_some()
    }

    /// Takes the parts of a prompt as used. Returns the shared parts to be prefilled, with their
    /// tokens.
    fn use_prompt(&mut self, prompt: &QueuedPrompt) -> Vec<(u64, u64)> {
        let mut uncached = Vec::new();
        let mut end = 0;
        for part in &prompt.need.parts {
            let tokens = u64::from(part.end_tokens) - end;
            end += tokens;
            let is_cached = self.use_part(part.chain, tokens);
            if !is_cached || !uncached.is_empty() {
                uncached.push((part.chain, tokens));
            }
        }
        // The request's own part and its answer are cached too, and never used again.
        self.use_part(u64::MAX - prompt.number, BRIEF_OWN + ANSWER_TOKENS);
        uncached
    }
}

/// A request that looks for a home.
struct PendingRequest {
    due_ms: u64,
    since_ms: u64,
    entry: usize,
    need: Need,
}

/// Briefs of 61 prompts over 22 entries and 13 homes.
struct SimulatedLoad {
    rng: SmallRng,
    tables: Vec<ReplicaTable>,
    homes: Vec<SimulatedHome>,
    /// Popularity of each prompt, cumulated.
    popularity: Vec<f64>,
    pending: Vec<PendingRequest>,
    next_arrival_ms: f64,
    sent: u64,
    /// Shared parts that some home has prefilled.
    known_parts: BTreeSet<u64>,
    shared_tokens: u64,
    /// Shared tokens that were prefilled although some home had prefilled them before.
    prefilled_again: u64,
    refused: u32,
}

impl SimulatedLoad {
    /// `skew` is the exponent of the prompts' popularity by rank.
    fn new(seed: u64, skew: f64) -> Self {
        let paces = [1.0, 1.2, 0.55, 1.3];
        let homes = (0..HOMES).map(|home| SimulatedHome {
            pace: paces[home % paces.len()],
            ..SimulatedHome::default()
        });
        let tables = (0..ENTRIES).map(|entry| table(HOMES, &format!("hall-{}", entry % 3)));
        let popularity = (1..=PROMPTS).scan(0.0, |total, rank| {
            *total += (rank as f64).powf(-skew);
            Some(*total)
        });
        Self {
            rng: SmallRng::seed_from_u64(seed),
            tables: tables.collect(),
            homes: homes.collect(),
            popularity: popularity.collect(),
            pending: Vec::new(),
            next_arrival_ms: 0.0,
            sent: 0,
            known_parts: BTreeSet::new(),
            shared_tokens: 0,
            prefilled_again: 0,
            refused: 0,
        }
    }

    fn run(mut self) -> Self {
        for now_ms in 0..DURATION_MS {
            self.arrive(now_ms);
            for request in std::mem::take(&mut self.pending) {
                match request.due_ms <= now_ms {
                    true => self.attempt(now_ms, request),
                    false => self.pending.push(request),
                }
            }
            for home in 0..HOMES {
                self.end_answers(now_ms, home);
                self.prefill(now_ms, home);
            }
        }
        self
    }

    fn arrive(&mut self, now_ms: u64) {
        while self.next_arrival_ms <= now_ms as f64 {
            let gap = -self.rng.random_range(f64::EPSILON..1.0).ln();
            self.next_arrival_ms += gap * 1_000.0 / REQUESTS_PER_S;
            let drawn = self.rng.random_range(0.0..self.popularity[PROMPTS - 1]);
            let prompt = self.popularity.partition_point(|total| *total <= drawn);
            let need = Need {
                id_hash: self.rng.random_range(0..1 << 32),
                ..brief(prompt % FIRST_PARTS, 100 + prompt)
            };
            self.pending.push(PendingRequest {
                due_ms: now_ms,
                since_ms: now_ms,
                entry: self.rng.random_range(0..ENTRIES),
                need,
            });
        }
    }

    fn attempt(&mut self, now_ms: u64, mut request: PendingRequest) {
        let bounds = EngineBounds {
            memory: CACHE_TOKENS,
            ..BOUNDS
        };
        let table = &mut self.tables[request.entry];
        let Choice::Send(chosen) = table.choose(now_ms, &request.need, &BTreeSet::new(), bounds)
        else {
            request.due_ms = now_ms + RECHECK_MS;
            match request.due_ms <= request.since_ms + MAX_WAIT_MS {
                true => self.pending.push(request),
                false => self.refused += 1,
            }
            return;
        };
        let tokens_ahead = table.record_sent(now_ms, &chosen, &request.need);
        let home = (0..HOMES).find(|home| id(*home) == chosen).unwrap();
        self.sent += 1;
        self.homes[home].requests += 1;
        self.homes[home].queue.push_back(QueuedPrompt {
            entry: request.entry,
            need: request.need,
            number: self.sent,
            tokens_ahead,
            sent_ms: now_ms,
        });
    }

    fn end_answers(&mut self, now_ms: u64, number: usize) {
        let home = &mut self.homes[number];
        let is_over = |(end_ms, _): &(u64, QueuedPrompt)| *end_ms <= now_ms;
        while home.running.front().is_some_and(is_over) {
            let Some((_, prompt)) = home.running.pop_front() else {
                return;
            };
            let table = &mut self.tables[prompt.entry];
            table.record_end(now_ms, &id(number), &prompt.need, true, AttemptResult::Good);
        }
    }

    /// Prefills one prompt at a time. Its first event starts the response, which reports the load.
    fn prefill(&mut self, now_ms: u64, number: usize) {
        let home = &mut self.homes[number];
        if let Some((_, prompt)) = home.prefilling.take_if(|(end_ms, _)| *end_ms <= now_ms) {
            let took_ms = (now_ms - prompt.sent_ms) as f64;
            let report = LoadReport {
                running: home.running.len() as u32 + 1,
                waiting: home.queue.len() as u32,
                slots: SLOTS,
                work_percent: None,
            };
            let table = &mut self.tables[prompt.entry];
            table.record_response_start(&id(number), &prompt.need, prompt.tokens_ahead, took_ms);
            table.record_load(now_ms, &id(number), report);
            home.running.push_back((now_ms + ANSWER_MS, prompt));
        }
        if home.prefilling.is_some() {
            return;
        }
        if let Some(prompt) = home.queue.pop_front() {
            let uncached = home.use_prompt(&prompt);
            self.shared_tokens += u64::from(BRIEF_SHARED);
            for (part, tokens) in &uncached {
                if !self.known_parts.insert(*part) {
                    self.prefilled_again += tokens;
                }
            }
            let tokens = uncached.iter().map(|(_, tokens)| tokens).sum::<u64>() + BRIEF_OWN;
            let prefill_ms = tokens as f64 / BRIEF_SPEED * home.pace;
            let end_ms = now_ms + (prefill_ms + STEP_MS) as u64;
            home.prefilling = Some((end_ms, prompt));
        }
    }
}

/// Each home would prefill every shared part, or one home would get all requests of a popular
/// part. All entries begin without a measurement.
#[test]
fn shared_parts_are_rarely_read_again_and_no_home_is_overloaded() {
    for (seed, skew) in [(2, 0.5), (3, 0.8), (6, 0.5), (7, 0.8)] {
        let load = SimulatedLoad::new(seed, skew).run();
        let counts: Vec<u32> = load.homes.iter().map(|home| home.requests).collect();
        let (sent, busiest) = (counts.iter().sum::<u32>(), counts.iter().max().unwrap());
        assert!(sent > 800, "seed {seed}: {sent} requests");
        assert_eq!(load.refused, 0, "seed {seed}");
        assert!(
            load.prefilled_again * 10 < load.shared_tokens,
            "seed {seed}: {} of {} shared tokens",
            load.prefilled_again,
            load.shared_tokens
        );
        assert!(
            busiest * HOMES as u32 <= sent * 2,
            "seed {seed}: {counts:?}"
        );
    }
}

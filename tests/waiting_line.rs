//! Order of the requests that wait at an entry: rules one by one, and plays of whole loads without
//! a network, with fixed seeds.

use std::collections::BTreeMap;

use dunlinspring::forward::waiting_line::{LineKey, WaitTicket, WaitingLines, WaitingRequest};
use dunlinspring::ids::{AccountName, ModelName, ServiceName};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn line(model: &str) -> LineKey {
    LineKey {
        service: ServiceName::from("s"),
        model: Some(ModelName::from(model)),
    }
}

fn request(account: &str, rank: u32, arrived_ms: u64, target_ms: u64) -> WaitingRequest {
    WaitingRequest {
        account: Some(AccountName::from(account)),
        rank,
        can_wait: target_ms >= LONG_TARGET_MS,
        arrived_ms,
        target_ms,
    }
}

fn service() -> ServiceName {
    ServiceName::from("s")
}

fn account(name: &str) -> Option<AccountName> {
    Some(AccountName::from(name))
}

const SHORT_TARGET_MS: u64 = 500;
const LONG_TARGET_MS: u64 = 8_000;

/// Guards against an order in which a less urgent rank, an account with more recent work or a later
/// target goes first.
#[test]
fn rank_goes_before_account_share_and_that_before_time_left() {
    let mut lines = WaitingLines::default();
    let all = [
        request("hot", 0, 100, SHORT_TARGET_MS),
        request("calm", 1, 90, SHORT_TARGET_MS),
        request("calm", 1, 50, SHORT_TARGET_MS),
        request("hot", 1, 0, SHORT_TARGET_MS),
        request("calm", 2, 0, SHORT_TARGET_MS),
    ];
    lines.record_work(0, &service(), &account("calm"), 1.0);
    lines.record_work(0, &service(), &account("hot"), 5.0);
    let tickets: Vec<WaitTicket> = all
        .iter()
        .map(|request| lines.join(100, line("m"), request.clone()))
        .collect();
    let mut order = Vec::new();
    while let Some(first) = lines.first(100, &line("m")) {
        let at = tickets.iter().position(|ticket| ticket.number() == first);
        let at = at.unwrap();
        assert!(lines.is_first(100, &tickets[at]));
        lines.leave(&tickets[at]);
        order.push(at);
    }
    assert_eq!(order, [0, 2, 1, 3, 4]);
    assert!(lines.is_empty());
}

/// Guards against requests that wait for one model blocking those that wait for another.
#[test]
fn requests_for_other_models_wait_in_other_lines() {
    let mut lines = WaitingLines::default();
    let urgent = lines.join(0, line("m"), request("a", 0, 0, SHORT_TARGET_MS));
    let other = lines.join(0, line("n"), request("a", 2, 0, SHORT_TARGET_MS));
    assert!(lines.is_first(0, &urgent));
    assert!(lines.is_first(0, &other));
    assert_eq!(lines.all_first(0), [urgent.number(), other.number()]);
}

/// Guards against a request with slack that takes capacity from one without, and against one that
/// never gets any: it has to go ahead of its rank once its slack is used up.
#[test]
fn slack_is_used_up_before_a_request_goes_ahead_of_its_rank() {
    let mut lines = WaitingLines::default();
    let patient = lines.join(0, line("m"), request("a", 1, 0, LONG_TARGET_MS));
    assert!(lines.is_first(0, &patient), "nothing else waits");
    let hurried = lines.join(0, line("m"), request("b", 2, 0, SHORT_TARGET_MS));
    assert!(lines.is_first(0, &hurried), "the other one has slack");
    let late_ms = LONG_TARGET_MS / 2 - 1;
    let same_rank = lines.join(
        late_ms,
        line("m"),
        request("b", 1, late_ms, SHORT_TARGET_MS),
    );
    assert!(lines.is_first(late_ms, &patient), "its slack is used up");
    let urgent = lines.join(
        late_ms,
        line("m"),
        request("b", 0, late_ms, SHORT_TARGET_MS),
    );
    assert!(lines.is_first(late_ms, &urgent), "a more urgent rank");
    lines.leave(&urgent);
    lines.leave(&patient);
    assert!(lines.is_first(late_ms, &same_rank));
}

/// Guards against an account that saves up a claim while it is idle and then displaces others.
#[test]
fn an_idle_account_starts_at_the_least_work_of_those_that_wait() {
    let mut lines = WaitingLines::default();
    lines.record_work(0, &service(), &account("busy"), 10.0);
    let busy = lines.join(0, line("m"), request("busy", 1, 0, SHORT_TARGET_MS));
    let idle = lines.join(1, line("m"), request("idle", 1, 1, SHORT_TARGET_MS));
    assert!(lines.is_first(1, &busy), "equal work, and less time left");
    lines.record_work(1, &service(), &account("busy"), 1.0);
    assert!(lines.is_first(1, &idle));
}

/// Guards against a request that cannot use the free capacity, such as one limited to a region,
/// blocking those behind it, and against one that is passed over for good.
#[test]
fn a_request_is_passed_over_only_until_capacity_may_be_free_again() {
    let mut lines = WaitingLines::default();
    let limited = lines.join(0, line("m"), request("a", 0, 0, SHORT_TARGET_MS));
    let other = lines.join(0, line("m"), request("a", 1, 0, SHORT_TARGET_MS));
    lines.pass_over(&limited);
    assert!(lines.is_first(0, &other));
    lines.start_round();
    assert!(lines.is_first(0, &limited));
}

/// Guards against memory that grows with every account ever seen, and against forgetting the work
/// of an account that still waits.
#[test]
fn accounts_without_waiting_requests_are_forgotten() {
    let mut lines = WaitingLines::default();
    for number in 0..1_000 {
        lines.record_work(0, &service(), &account(&format!("a{number}")), 1.0);
    }
    let ticket = lines.join(0, line("m"), request("a7", 1, 0, SHORT_TARGET_MS));
    lines.prune(1_000);
    assert_eq!(lines.accounts(), 1_000);
    lines.prune(60_000);
    assert_eq!(lines.accounts(), 1);
    lines.leave(&ticket);
    lines.prune(60_000);
    assert_eq!((lines.accounts(), lines.len()), (0, 0));
}

/// Requests that one account sends, at random times.
#[derive(Clone, Debug)]
struct LoadSource {
    account: String,
    rank: u32,
    target_ms: u64,
    per_s: f64,
    /// Factor on the rate in every second of [`BURST_MS`].
    burst: f64,
}

impl LoadSource {
    fn new(account: &str, rank: u32, target_ms: u64, per_s: f64) -> Self {
        Self {
            account: account.to_owned(),
            rank,
            target_ms,
            per_s,
            burst: 1.0,
        }
    }

    fn per_ms(&self, now_ms: u64) -> f64 {
        let in_burst = (now_ms / BURST_MS) % 2 == 1;
        let factor = if in_burst { self.burst } else { 1.0 };
        self.per_s * factor / 1_000.0
    }
}

/// Length of a burst, and of the pause between two.
const BURST_MS: u64 = 2_000;
const PLAY_MS: u64 = 120_000;
/// Two replicas with six slots each; a request takes 20 to 60 ms.
const SLOTS: usize = 12;
const MEAN_SERVICE_MS: f64 = 40.0;
const CAPACITY_PER_S: f64 = SLOTS as f64 * 1_000.0 / MEAN_SERVICE_MS;

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    asked: u32,
    in_time: u32,
    longest_wait_ms: u64,
}

impl Tally {
    fn share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }
}

/// Longest wait of a request: a quarter of its target, or half of it if it can wait.
fn wait_limit_ms(request: &WaitingRequest) -> u64 {
    match request.can_wait {
        true => request.target_ms / 2,
        false => request.target_ms / 4,
    }
}

/// Plays a load on one line with fixed slots and returns the outcomes by source.
fn play(sources: &[LoadSource], seed: u64) -> Vec<Tally> {
    // Each source has its own sequence of random numbers, so that an excess of one leaves the
    // arrivals of the others as they are.
    let mut rngs: Vec<SmallRng> = (0..sources.len() as u64)
        .map(|source| SmallRng::seed_from_u64(seed * 1_000 + source))
        .collect();
    let mut lines = WaitingLines::default();
    let mut waiting: BTreeMap<u64, (WaitTicket, WaitingRequest, usize, u64)> = BTreeMap::new();
    let mut busy_until_ms: Vec<u64> = Vec::new();
    let mut tallies = vec![Tally::default(); sources.len()];
    for now_ms in 0..PLAY_MS {
        // Requests that arrived just before the end could not end within the play.
        let arriving = if now_ms < PLAY_MS - LONG_TARGET_MS {
            sources
        } else {
            &[]
        };
        for (at, source) in arriving.iter().enumerate() {
            let rng = &mut rngs[at];
            if !rng.random_bool(source.per_ms(now_ms).min(1.0)) {
                continue;
            }
            let service_ms = rng.random_range(20..=60);
            let request = request(&source.account, source.rank, now_ms, source.target_ms);
            tallies[at].asked += 1;
            let ticket = lines.join(now_ms, line("m"), request.clone());
            waiting.insert(ticket.number(), (ticket, request, at, service_ms));
        }
        busy_until_ms.retain(|until_ms| *until_ms > now_ms);
        while busy_until_ms.len() < SLOTS {
            let Some(first) = lines.first(now_ms, &line("m")) else {
                break;
            };
            let (ticket, request, at, service_ms) = waiting.remove(&first).unwrap();
            lines.leave(&ticket);
            lines.record_work(now_ms, &service(), &request.account, 1.0);
            lines.record_outcome(now_ms, &service(), &request, true);
            busy_until_ms.push(now_ms + service_ms);
            let waited_ms = now_ms - request.arrived_ms;
            let tally = &mut tallies[at];
            tally.longest_wait_ms = tally.longest_wait_ms.max(waited_ms);
            tally.in_time += u32::from(waited_ms + service_ms <= request.target_ms);
        }
        waiting.retain(|_, (ticket, request, _, _)| {
            let waits = now_ms < request.arrived_ms + wait_limit_ms(request);
            if !waits {
                lines.leave(ticket);
                lines.record_outcome(now_ms, &service(), request, false);
            }
            waits
        });
        lines.prune(now_ms);
    }
    tallies
}

/// Loss that an account within its usual load may have from an excess of others.
const MOST_LOSS: f64 = 0.02;
const SEEDS: [u64; 3] = [1, 2, 3];

/// Guards against bursts of a less urgent rank that displace the most urgent one.
#[test]
fn rank_0_loses_nothing_beside_bursts_of_rank_2_at_four_times_their_usual() {
    // The urgent accounts are the larger ones, so that the order by account alone would favour the
    // others.
    let sources = |burst: f64| -> Vec<LoadSource> {
        let urgent = (0..2).map(|at| {
            let per_s = 0.2 * CAPACITY_PER_S;
            LoadSource::new(&format!("urgent{at}"), 0, SHORT_TARGET_MS, per_s)
        });
        let batch = (0..16).map(|at| {
            let per_s = 0.3 / 16.0 * CAPACITY_PER_S;
            LoadSource {
                burst,
                ..LoadSource::new(&format!("batch{at}"), 2, SHORT_TARGET_MS, per_s)
            }
        });
        urgent.chain(batch).collect()
    };
    for seed in SEEDS {
        let (usual, burst) = (play(&sources(1.0), seed), play(&sources(4.0), seed));
        for at in 0..2 {
            let lost = usual[at].share() - burst[at].share();
            assert!(lost < MOST_LOSS, "seed {seed}, account {at}: {lost}");
        }
    }
}

/// Guards against a hot account that takes the capacity of those within their usual load.
#[test]
fn thirteen_accounts_within_their_usual_lose_nothing_to_three_at_six_times_theirs() {
    let sources = |factor: f64| -> Vec<LoadSource> {
        (0..16)
            .map(|at| {
                // The accounts are of unequal size.
                let size = [0.5, 0.75, 1.0, 1.25, 1.5][at % 5];
                let factor = if at < 3 { factor } else { 1.0 };
                let per_s = 0.75 * CAPACITY_PER_S / 16.0 * size * factor;
                LoadSource::new(&format!("account{at}"), 1, SHORT_TARGET_MS, per_s)
            })
            .collect()
    };
    for seed in SEEDS {
        let (usual, hot) = (play(&sources(1.0), seed), play(&sources(6.0), seed));
        for at in 3..16 {
            let lost = usual[at].share() - hot[at].share();
            assert!(lost < MOST_LOSS, "seed {seed}, account {at}: {lost}");
        }
        // A hot account may use what the others leave.
        for at in 0..3 {
            assert!(hot[at].in_time >= usual[at].in_time, "seed {seed}: {at}");
        }
    }
}

/// Guards against an overload in which a kind of requests earns a smaller share than a less urgent
/// kind, or in which requests with slack are starved.
#[test]
fn at_1_4_times_the_capacity_no_kind_earns_less_than_a_less_urgent_one() {
    // By urgency: rank first, then the target.
    let kinds = [
        (0, SHORT_TARGET_MS, 0.25),
        (0, LONG_TARGET_MS, 0.15),
        (1, SHORT_TARGET_MS, 0.3),
        (1, LONG_TARGET_MS, 0.1),
        (2, SHORT_TARGET_MS, 0.3),
        (2, LONG_TARGET_MS, 0.3),
    ];
    let sources = kinds.iter().enumerate().map(|(at, (rank, target, part))| {
        // The last ranks share accounts, as routes of one account may differ in their targets.
        let name = format!("account{}", at.min(4));
        LoadSource::new(&name, *rank, *target, part * CAPACITY_PER_S)
    });
    let sources: Vec<LoadSource> = sources.collect();
    let mut totals = vec![Tally::default(); sources.len()];
    // One play for each of three data halls.
    for seed in SEEDS {
        for (total, tally) in totals.iter_mut().zip(play(&sources, seed)) {
            total.asked += tally.asked;
            total.in_time += tally.in_time;
        }
    }
    for (at, pair) in totals.windows(2).enumerate() {
        let (more, less) = (pair[0].share(), pair[1].share());
        assert!(more >= less - MOST_LOSS, "kind {at}: {more} under {less}");
    }
    for (at, total) in totals.iter().enumerate() {
        assert!(total.in_time > 0, "kind {at} is starved");
    }
}

/// Guards against requests with slack that are left behind although their rank has capacity.
#[test]
fn a_request_with_slack_goes_in_time_if_its_rank_has_capacity() {
    let sources = [
        LoadSource::new("urgent", 0, SHORT_TARGET_MS, 0.5 * CAPACITY_PER_S),
        LoadSource::new("patient", 1, LONG_TARGET_MS, 0.2 * CAPACITY_PER_S),
        // Without the order, this excess alone would use all capacity.
        LoadSource::new("excess", 2, SHORT_TARGET_MS, 1.5 * CAPACITY_PER_S),
    ];
    for seed in SEEDS {
        let tallies = play(&sources, seed);
        for (at, tally) in tallies.iter().take(2).enumerate() {
            let share = tally.share();
            assert!(share > 1.0 - MOST_LOSS, "seed {seed}, source {at}: {share}");
        }
        assert!(tallies[2].in_time > 0, "seed {seed}");
    }
}

/// Guards against requests with slack that wait until it is used up although capacity was free
/// before.
#[test]
fn a_request_with_slack_goes_before_it_is_used_up_if_there_is_capacity() {
    let sources = [
        LoadSource::new("hurried", 0, SHORT_TARGET_MS, 0.6 * CAPACITY_PER_S),
        LoadSource::new("patient", 0, LONG_TARGET_MS, 0.2 * CAPACITY_PER_S),
    ];
    for seed in SEEDS {
        let tallies = play(&sources, seed);
        assert_eq!(tallies[1].in_time, tallies[1].asked, "seed {seed}");
        assert!(tallies[1].longest_wait_ms < LONG_TARGET_MS / 4);
    }
}

//! Pure parts of forwarding: HTTP heads, chunked bodies, events, resend budgets and replica choice.

mod support_place;
mod support_replicas;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dunlinspring::consensus::directory::{ReplicaPhase, ReplicaRecord};
use dunlinspring::forward::budget::{ResendBudget, ResendPolicy};
use dunlinspring::forward::chunked::ChunkDecoder;
use dunlinspring::forward::events::EventBuffer;
use dunlinspring::forward::head::{self, Framing, HeadError};
use dunlinspring::forward::max_wait::adapter_wait;
use dunlinspring::forward::replica_table::{
    AttemptResult, Choice, ChoicePolicy, EngineBounds, LoadReport, Need, ReplicaTable, parse_load,
};
use dunlinspring::ids::{HallName, ModelName, ReplicaId, ServiceName};
use dunlinspring::placement::congestion::QueuedTokens;
use dunlinspring::table::configuration::{
    Configuration, ConfigurationError, RouteIndex, RouteKind, RouteSpec, ServiceSpec, slack_ranks,
};
use proptest::prelude::*;
use support_place::flat_location;
use support_replicas::ready_replica;

fn parse_error(text: &str) -> HeadError {
    head::parse_request(text.as_bytes()).unwrap_err()
}

#[test]
fn ambiguous_framing_is_rejected() {
    let two_lengths =
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n";
    assert_eq!(parse_error(two_lengths), HeadError::Framing);
    let both =
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(parse_error(both), HeadError::Framing);
    let other = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n";
    assert_eq!(parse_error(other), HeadError::Framing);
    let signed = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\n";
    assert_eq!(parse_error(signed), HeadError::Framing);
    let old = "POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(parse_error(old), HeadError::Framing);
    let two_hosts = "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n";
    assert_eq!(parse_error(two_hosts), HeadError::Malformed);
    let folded = "GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n";
    assert_eq!(parse_error(folded), HeadError::Malformed);
}

#[test]
fn a_head_is_parsed_only_when_complete() {
    let text = "POST /a/b?c HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi";
    let end = text.len() - 2;
    for cut in 0..end {
        assert_eq!(head::parse_request(&text.as_bytes()[..cut]).unwrap(), None);
    }
    let (parsed, len) = head::parse_request(text.as_bytes()).unwrap().unwrap();
    assert_eq!((parsed.target.as_str(), len), ("/a/b?c", end));
    assert_eq!(parsed.framing, Framing::Length(2));
}

#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let text = "GET / HTTP/1.1\r\nHost: x\r\nConnection: close, X-Mine\r\nX-Mine: 1\r\nKeep-Alive: 2\r\nX-Other: 3\r\n\r\n";
    let (parsed, _) = head::parse_request(text.as_bytes()).unwrap().unwrap();
    let names = head::end_to_end(&parsed.headers, &["host"]).map(|(name, _)| name.as_str());
    assert_eq!(names.collect::<Vec<_>>(), ["X-Other"]);
}

fn decode_in(parts: &[&[u8]]) -> Option<(Vec<u8>, bool, usize)> {
    let mut decoder = ChunkDecoder::default();
    let (mut held, mut body) = (Vec::new(), Vec::new());
    for part in parts {
        held.extend_from_slice(part);
        let taken = decoder.decode(&held, &mut body).ok()?;
        held.drain(..taken);
    }
    Some((body, decoder.is_done(), held.len()))
}

#[test]
fn chunks_decode_identically_at_any_split() {
    let text = b"5\r\nhello\r\nA;x=y\r\n0123456789\r\n0\r\nT: 1\r\n\r\nnext";
    for cut in 0..text.len() {
        let (body, done, left) = decode_in(&[&text[..cut], &text[cut..]]).unwrap();
        assert_eq!(body, b"hello0123456789");
        assert!(done);
        assert_eq!(left, 4);
    }
}

#[test]
fn malformed_chunks_are_refused() {
    for text in [
        "x\r\n",
        "5\nhello",
        "2\r\nabc\r\n",
        "-1\r\n",
        "+5\r\n",
        "FFFFFFFFFFFFFFFFF\r\n",
    ] {
        assert!(decode_in(&[text.as_bytes()]).is_none(), "{text:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    #[test]
    fn events_pass_complete_at_any_split(cuts in prop::collection::vec(1usize..9, 0..40)) {
        let text: String = (1..9).map(|n| format!("id: {n}\ndata: piece {n}\n\n")).collect();
        let mut buffer = EventBuffer::default();
        let (mut forwarded, mut rest) = (Vec::new(), text.as_bytes());
        for cut in cuts {
            let (part, after) = rest.split_at(cut.min(rest.len()));
            let events = buffer.push(part).unwrap();
            buffer.record(&events);
            prop_assert!(events.is_empty() || events.ends_with(b"\n\n"));
            forwarded.extend(events);
            rest = after;
        }
        prop_assert!(text.as_bytes().starts_with(&forwarded));
        let complete = forwarded.windows(2).filter(|pair| pair == b"\n\n").count();
        prop_assert_eq!(buffer.count(), complete as u64);
        prop_assert_eq!(buffer.last_id().map(str::to_owned), (complete > 0).then(|| complete.to_string()));
        forwarded.extend(buffer.push(rest).unwrap());
        prop_assert_eq!(forwarded, text.into_bytes());
    }

    #[test]
    fn resends_stay_within_their_budget(entries in 1u32..40, requests in 1usize..400) {
        let policy = ResendPolicy { earned: 0.15, slack: 26.0 };
        let service = ServiceName::from("plain");
        let mut budget = ResendBudget::new(policy);
        budget.set_entries(entries);
        let mut spent = 0;
        for _ in 0..requests {
            budget.earn(&service);
            while budget.spend(&service) {
                spent += 1;
            }
        }
        let most = (26.0 / f64::from(entries)).max(1.0) + requests as f64 * 0.15;
        prop_assert!(f64::from(spent) <= most);
    }
}

fn record(id: &str, models: &[(&str, &[&str])]) -> ReplicaRecord {
    let models = models.iter().map(|(model, adapters)| {
        let adapters = adapters.iter().map(|adapter| (*adapter).to_owned());
        (ModelName::from(*model), adapters.collect())
    });
    ReplicaRecord {
        hall: HallName::from("here"),
        models: models.collect(),
        ..ready_replica(id, "llm")
    }
}

fn table(records: Vec<ReplicaRecord>) -> ReplicaTable {
    let records: BTreeMap<ReplicaId, ReplicaRecord> = records
        .into_iter()
        .map(|record| (record.id.clone(), record))
        .collect();
    let mut table = ReplicaTable::new(ChoicePolicy::default(), flat_location("here"));
    table.update_records(0, &records);
    table
}

fn need(model: &str, adapter: Option<&str>) -> Need {
    Need {
        service: Some(ServiceName::from("llm")),
        model: Some(ModelName::from(model)),
        adapter: adapter.map(str::to_owned),
        tokens: 100,
        urgency: 1,
        limit_ms: 800,
        ..Need::default()
    }
}

const BOUNDS: EngineBounds = EngineBounds {
    memory: 1_000,
    adapter_slots: 2,
};

fn choose(table: &ReplicaTable, need: &Need) -> Choice {
    table.choose(1_000, need, &BTreeSet::new(), BOUNDS)
}

fn send(id: &str) -> Choice {
    Choice::Send(ReplicaId::from(id))
}

#[test]
fn the_less_loaded_home_is_chosen_and_a_full_one_never() {
    let mut table = table(vec![record("a", &[("m", &[])]), record("b", &[("m", &[])])]);
    let need = need("m", None);
    table.record_sent(1_000, &ReplicaId::from("a"), &need);
    assert_eq!(choose(&table, &need), send("b"));
    let full = LoadReport {
        running: 4,
        waiting: 0,
        slots: 4,
        work_percent: None,
    };
    table.record_load(1_000, &ReplicaId::from("b"), full);
    assert_eq!(choose(&table, &need), send("a"));
    table.record_load(1_000, &ReplicaId::from("a"), full);
    assert_eq!(choose(&table, &need), Choice::Full);
    assert_eq!(choose(&table, &self::need("other", None)), Choice::Absent);
    // The load that other entries cause fades with the report's age.
    let later = table.choose(4_000, &need, &BTreeSet::new(), BOUNDS);
    assert_eq!(later, send("b"));
}

#[test]
fn a_draining_home_is_never_chosen_and_a_silent_one_last() {
    let mut silent = record("a", &[("m", &[])]);
    silent.phase = ReplicaPhase::Silent;
    let mut draining = record("b", &[("m", &[])]);
    draining.phase = ReplicaPhase::Draining;
    let alone = table(vec![silent.clone(), draining.clone()]);
    assert_eq!(choose(&alone, &need("m", None)), send("a"));
    let mut busy = table(vec![silent, draining, record("c", &[("m", &[])])]);
    for _ in 0..3 {
        busy.record_sent(1_000, &ReplicaId::from("c"), &need("m", None));
    }
    assert_eq!(choose(&busy, &need("m", None)), send("c"));
}

/// On a site of a hundred entries, each computed the lowest cost for the same home, which got 54 of
/// 81 requests of its model while two other homes had little load.
#[test]
fn independent_entries_use_equal_homes_evenly() {
    let homes = ["a", "b", "c", "d"];
    let records = homes.map(|id| record(id, &[("m", &[])]));
    let table = table(records.to_vec());
    let mut counts: BTreeMap<ReplicaId, u32> = BTreeMap::new();
    for id_hash in 0..400 {
        let need = Need {
            id_hash,
            ..need("m", None)
        };
        let Choice::Send(id) = choose(&table, &need) else {
            panic!("no home for {id_hash}");
        };
        *counts.entry(id).or_default() += 1;
        // The same request is sent to the same home again.
        assert_eq!(choose(&table, &need), choose(&table, &need));
    }
    for id in homes {
        let count = counts[&ReplicaId::from(id)];
        assert!((70..=130).contains(&count), "{counts:?}");
    }
}

#[test]
fn long_and_short_responses_go_to_separate_homes() {
    let ids = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let records = ids.map(|id| record(id, &[("m", &[])]));
    let mut table = table(records.to_vec());
    let request_of = |id_hash: u64, answer_tokens: u64| Need {
        prompt_tokens: 100,
        tokens: 100 + answer_tokens,
        id_hash,
        ..need("m", None)
    };
    for id_hash in 0..200 {
        let answer_tokens = if id_hash % 6 == 0 { 80 } else { 10 };
        let need = request_of(id_hash, answer_tokens);
        let id = ReplicaId::from(ids[id_hash as usize % ids.len()]);
        let ahead = table.record_sent(1_000, &id, &need);
        table.record_response_start(&id, &need, ahead, 1.0);
        table.record_end(1_000, &id, &need, true, AttemptResult::Good);
    }
    let homes_of = |answer_tokens: u64| {
        let chosen =
            (0..200).map(
                |id_hash| match choose(&table, &request_of(id_hash, answer_tokens)) {
                    Choice::Send(id) => id,
                    other => panic!("{other:?}"),
                },
            );
        chosen.collect::<BTreeSet<ReplicaId>>()
    };
    let (long, short) = (homes_of(80), homes_of(10));
    assert_eq!((long.len(), short.len()), (2, 6));
    assert!(long.is_disjoint(&short));
}

#[test]
fn a_loaded_adapter_is_used_until_its_home_is_busy() {
    let mut table = table(vec![
        record("a", &[("m", &["x"])]),
        record("b", &[("m", &[])]),
    ]);
    let need = need("m", Some("x"));
    table.record_sent(1_000, &ReplicaId::from("a"), &need);
    table.record_response_start(&ReplicaId::from("a"), &need, 0, 1.0);
    assert_eq!(choose(&table, &need), Choice::Fetch(ReplicaId::from("b")));
    table.record_fetch_refusal(1_000, &ReplicaId::from("b"));
    table.record_fetch_refusal(1_000, &ReplicaId::from("a"));
    assert_eq!(choose(&table, &need), send("a"));
}

/// A request for a loaded adapter whose home had capacity waited for a second copy, for which
/// another adapter had to be evicted, or for a copy at the home itself, which had a free slot. It
/// was refused when that did not come in time.
#[test]
fn no_adapter_is_evicted_for_a_second_copy_while_the_home_has_capacity() {
    let mut table = table(vec![
        record("a", &[("m", &["x"])]),
        record("b", &[("m", &["y", "z"])]),
    ]);
    let need = need("m", Some("x"));
    let home = ReplicaId::from("a");
    table.record_sent(1_000, &home, &need);
    table.record_response_start(&home, &need, 0, 1.0);
    assert_eq!(choose(&table, &need), send("a"));
}

/// A replica at which the leader had refused an adapter was asked again only after the requests
/// for it had been refused.
#[test]
fn an_adapter_is_requested_again_within_the_wait_for_it() {
    let mut table = table(vec![record("a", &[("m", &[])])]);
    let (id, need) = (ReplicaId::from("a"), need("m", Some("x")));
    table.record_fetch_refusal(1_000, &id);
    assert_eq!(choose(&table, &need), Choice::NoAdapter);
    let wait = adapter_wait(Duration::from_millis(600), Duration::from_millis(2_000));
    let asked_at_ms = 1_000 + wait.as_millis() as u64 / 2;
    let choice = table.choose(asked_at_ms, &need, &BTreeSet::new(), BOUNDS);
    assert_eq!(choice, Choice::Fetch(id));
}

#[test]
fn a_request_goes_only_where_its_response_should_start_in_time() {
    let mut table = table(vec![record("a", &[("m", &[])])]);
    let (id, mut request) = (ReplicaId::from("a"), need("m", None));
    let ahead = table.record_sent(1_000, &id, &request);
    assert_eq!(ahead, 100);
    table.record_response_start(&id, &request, ahead, 400.0);
    table.record_end(1_000, &id, &request, true, AttemptResult::Good);
    // At 4 ms a token one request may wait; the response to a second one would start after 800 ms,
    // which is the limit.
    assert_eq!(choose(&table, &request), send("a"));
    table.record_sent(1_000, &id, &request);
    assert_eq!(choose(&table, &request), Choice::Full);
    // A more urgent request is processed before those that wait.
    request.urgency = 0;
    assert_eq!(choose(&table, &request), send("a"));
}

#[test]
fn a_refusal_predicts_when_capacity_is_free() {
    let mut table = table(vec![record("a", &[("m", &[])])]);
    let (id, request) = (ReplicaId::from("a"), need("m", None));
    assert_eq!(table.capacity_in_ms(1_000, &request), Some(0));
    assert_eq!(table.capacity_in_ms(1_000, &need("other", None)), None);
    let ahead = table.record_sent(1_000, &id, &request);
    table.record_response_start(&id, &request, ahead, 400.0);
    table.record_sent(1_000, &id, &request);
    // At 4 ms a token the 200 tokens ahead take 800 ms, of which 480 ms are acceptable.
    assert_eq!(table.capacity_in_ms(1_000, &request), Some(320));
}

#[test]
fn an_unreachable_replica_is_ejected_and_returns_by_one_request() {
    let mut table = table(vec![record("a", &[("m", &[])]), record("b", &[("m", &[])])]);
    let (id, request) = (ReplicaId::from("a"), need("m", None));
    table.record_sent(1_000, &id, &request);
    table.record_end(1_000, &id, &request, false, AttemptResult::Unreached);
    table.record_sent(1_000, &ReplicaId::from("b"), &request);
    table.record_sent(1_000, &ReplicaId::from("b"), &request);
    assert_eq!(choose(&table, &request), send("b"));
    let at = |table: &ReplicaTable| table.choose(2_500, &request, &BTreeSet::new(), BOUNDS);
    assert_eq!(at(&table), send("a"));
    table.record_sent(2_500, &id, &request);
    assert_eq!(at(&table), send("b"));
    table.record_end(2_600, &id, &request, false, AttemptResult::Good);
    assert_eq!(at(&table), send("a"));
}

/// A replica that restarts under its id is measured anew: failures and rates of the previous
/// incarnation do not apply. Requests of this entry that are still in flight keep counting.
#[test]
fn a_restarted_replica_is_measured_anew() {
    let records = |started_ms: u64| {
        let mut first = record("a", &[("m", &[])]);
        first.started_ms = started_ms;
        let records = [first, record("b", &[("m", &[])])];
        records.map(|record| (record.id.clone(), record)).into()
    };
    let mut table = ReplicaTable::new(ChoicePolicy::default(), flat_location("here"));
    table.update_records(0, &records(1));
    let (id, request) = (ReplicaId::from("a"), need("m", None));
    table.record_sent(1_000, &id, &request);
    table.record_end(1_000, &id, &request, false, AttemptResult::Unreached);
    for _ in 0..2 {
        table.record_sent(1_000, &ReplicaId::from("b"), &request);
    }
    assert_eq!(choose(&table, &request), send("b"));
    table.update_records(0, &records(2));
    assert_eq!(choose(&table, &request), send("a"));
    table.record_sent(1_000, &id, &request);
    table.record_sent(1_000, &id, &request);
    table.record_sent(1_000, &id, &request);
    assert_eq!(choose(&table, &request), send("b"));
    table.update_records(0, &records(3));
    assert_eq!(choose(&table, &request), send("b"));
}

/// On a site where many replicas crashed, a request whose only home refused connections dialled it
/// 1,155 times in five seconds.
#[test]
fn a_request_does_not_return_to_an_ejected_replica_that_failed_it() {
    let mut table = table(vec![record("a", &[("m", &[])])]);
    let need = need("m", None);
    let id = ReplicaId::from("a");
    table.record_sent(1_000, &id, &need);
    table.record_end(1_000, &id, &need, false, AttemptResult::Unreached);
    let forwarded = BTreeSet::from([id]);
    assert_eq!(table.choose(1_010, &need, &forwarded, BOUNDS), Choice::Full);
    // Another request may be sent to it, and this one too once the ejection has ended.
    assert_eq!(
        table.choose(1_010, &need, &BTreeSet::new(), BOUNDS),
        send("a")
    );
    assert_eq!(table.choose(2_100, &need, &forwarded, BOUNDS), send("a"));
}

#[test]
fn the_urgency_at_a_replica_follows_the_account_then_the_slack() {
    let by_rank = ChoicePolicy::default();
    assert_eq!(by_rank.urgency(None, 2, 2), 2);
    assert_eq!(by_rank.urgency(Some(1), 2, 2), 1);
    assert_eq!(by_rank.urgency(Some(u32::MAX), 0, 0), 9);
    let by_slack = ChoicePolicy {
        by_slack: true,
        ..by_rank
    };
    assert_eq!(by_slack.urgency(Some(0), 9, 2), 2);
    assert_eq!(by_slack.urgency(Some(1), 0, 0), 3);
    assert_eq!(by_slack.urgency(Some(u32::MAX), 0, 2), 9);
    assert_eq!(by_slack.urgency(None, 2, 0), 2);
    assert_eq!(by_slack.urgency(None, 0, 2), 6);
}

#[test]
fn slack_ranks_follow_the_latency_goals_of_a_service() {
    let with_aim = |name: &str, service: &str, latency_goal_ms: u64| RouteSpec {
        latency_goal_ms,
        ..route(name, &format!("/{name}/"), &[(service, 1)])
    };
    let routes = [
        with_aim("quick", "llm", 800),
        with_aim("close", "llm", 1_500),
        with_aim("some", "llm", 2_000),
        with_aim("night", "llm", 6_000),
        with_aim("plain", "other", 6_000),
        with_aim("none", "llm", u64::MAX),
    ];
    assert_eq!(slack_ranks(&routes), [0, 0, 1, 2, 0, 2]);
    let aimless = [with_aim("a", "llm", 0), with_aim("b", "llm", 800)];
    assert_eq!(slack_ranks(&aimless), [0, 2]);
    assert!(slack_ranks(&[]).is_empty());
}

#[test]
fn a_load_header_is_parsed_or_ignored() {
    let report = LoadReport {
        running: 3,
        waiting: 0,
        slots: 8,
        work_percent: None,
    };
    assert_eq!(parse_load("3,0, 8"), Some(report));
    let slow = LoadReport {
        work_percent: Some(140),
        ..report
    };
    assert_eq!(parse_load("3,0,8,140"), Some(slow));
    assert_eq!(parse_load("3,0,8,often"), Some(report));
    for text in ["", "3,0", "a,b,c", "3,-1,8"] {
        assert_eq!(parse_load(text), None);
    }
}

fn route(name: &str, prefix: &str, split: &[(&str, u32)]) -> RouteSpec {
    let split = split
        .iter()
        .map(|(service, weight)| (ServiceName::from(*service), *weight));
    RouteSpec {
        name: name.to_owned(),
        host: "a.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Safe,
        timeout_ms: 1_000,
        latency_goal_ms: 100,
        max_event_gap_ms: 0,
        priority: 1,
        attempts: 1,
        resumable: false,
        public: false,
        regions: BTreeSet::new(),
        split: split.collect(),
    }
}

fn configuration(routes: Vec<RouteSpec>) -> Configuration {
    let plain = ServiceSpec {
        warm_up: None,
        max_connections: 10,
        engine: None,
    };
    Configuration {
        version: 1,
        routes,
        services: BTreeMap::from([(ServiceName::from("plain"), plain)]),
        limits: Default::default(),
        accounts: None,
    }
}

/// A replica on a slow shared host costs more while its report is recent, if the policy sets
/// `work_cost`.
#[test]
fn a_slow_host_is_the_second_choice_while_its_report_is_recent() {
    let policy = ChoicePolicy {
        work_cost: 1.0,
        work_fade_ms: 200,
        ..ChoicePolicy::default()
    };
    let mut table = ReplicaTable::new(policy, flat_location("here"));
    let records = [record("r1", &[]), record("r2", &[])];
    let records = records
        .into_iter()
        .map(|record| (record.id.clone(), record));
    table.update_records(0, &records.collect());
    let need = Need {
        service: Some(ServiceName::from("llm")),
        ..Need::default()
    };
    let choose = |table: &ReplicaTable, now_ms| {
        table.choose(now_ms, &need, &BTreeSet::new(), EngineBounds::default())
    };
    let Choice::Send(first) = choose(&table, 1_000) else {
        panic!("both replicas have free capacity");
    };
    let slow = parse_load("0,0,8,180").unwrap();
    table.record_load(1_000, &first, slow);
    assert_ne!(choose(&table, 1_000), Choice::Send(first.clone()));
    table.record_load(1_200, &first, parse_load("0,0,8,100").unwrap());
    assert_eq!(choose(&table, 1_200), Choice::Send(first));
}

#[test]
fn an_invalid_configuration_is_refused_with_its_cause() {
    let sound = route("one", "/a/", &[("plain", 1)]);
    assert_eq!(configuration(vec![sound.clone()]).check(), Ok(()));
    let unknown = configuration(vec![route("one", "/a/", &[("other", 1)])]).check();
    assert!(matches!(
        unknown,
        Err(ConfigurationError::UnknownService { .. })
    ));
    let same = configuration(vec![sound.clone(), route("two", "/a/", &[("plain", 1)])]).check();
    assert!(matches!(
        same,
        Err(ConfigurationError::DuplicatePrefix { .. })
    ));
    let none = configuration(vec![route("one", "/a/", &[("plain", 0)])]).check();
    assert!(matches!(none, Err(ConfigurationError::NoWeight { .. })));
    let mut without_timeout = sound.clone();
    without_timeout.timeout_ms = 0;
    let without_timeout = configuration(vec![without_timeout]).check();
    assert!(matches!(
        without_timeout,
        Err(ConfigurationError::NoTimeout { .. })
    ));
    let prefix = configuration(vec![route("one", "/a", &[("plain", 1)])]).check();
    assert!(matches!(prefix, Err(ConfigurationError::Prefix { .. })));
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("short", "/a/", &[("plain", 1)]),
        route("long", "/a/b/", &[("plain", 1)]),
    ];
    let index = RouteIndex::new(&routes);
    assert_eq!(index.find(&routes, "A.example", "/a/b/c"), Some(1));
    assert_eq!(index.find(&routes, "a.example", "/a/bc"), Some(0));
    assert_eq!(index.find(&routes, "a.example", "/ab"), None);
    assert_eq!(index.find(&routes, "b.example", "/a/b/c"), None);
}

#[test]
fn a_split_follows_its_weights() {
    let split = route("one", "/a/", &[("x", 3), ("none", 0), ("y", 1)]);
    let picked = (0..400).map(|id_hash| split.pick(id_hash).unwrap().0.clone());
    let picked: Vec<String> = picked.collect();
    let count = |name: &str| picked.iter().filter(|service| *service == name).count();
    assert_eq!((count("x"), count("none"), count("y")), (300, 0, 100));
}

/// Returns queued tokens of home `a`, as the leader reports them for all entries.
fn congestion(tokens: u64) -> QueuedTokens {
    QueuedTokens::from([(ReplicaId::from("a"), tokens)])
}

/// Returns a table with one home, where the response to a request of 100 tokens started after 5 ms,
/// and the response to a second one after `took_ms`.
fn measured_home(took_ms: f64) -> ReplicaTable {
    let mut table = table(vec![record("a", &[("m", &[])])]);
    let (id, need) = (ReplicaId::from("a"), need("m", None));
    for took_ms in [5.0, took_ms] {
        let ahead = table.record_sent(1_000, &id, &need);
        table.record_response_start(&id, &need, ahead, took_ms);
        table.record_end(1_000, &id, &need, true, AttemptResult::Good);
    }
    table
}

#[test]
fn a_home_congested_by_other_entries_takes_no_more() {
    let mut table = measured_home(5.0);
    let (none, need) = (QueuedTokens::new(), need("m", None));
    // At 0.05 ms a token 480 ms are 9,600 tokens, including those of the request.
    table.update_congestion(1_000, &none, &congestion(9_000));
    assert_eq!(choose(&table, &need), send("a"));
    table.update_congestion(1_000, &none, &congestion(10_000));
    assert_eq!(choose(&table, &need), Choice::Full);
    // Tokens that this entry had reported itself do not count twice.
    table.update_congestion(1_000, &congestion(1_000), &congestion(10_000));
    assert_eq!(choose(&table, &need), send("a"));
    // The totals expire; a home that is not listed is not congested.
    table.update_congestion(1_000, &none, &congestion(10_000));
    let later = table.choose(2_500, &need, &BTreeSet::new(), BOUNDS);
    assert_eq!(later, send("a"));
    table.update_congestion(1_000, &none, &none);
    assert_eq!(choose(&table, &need), send("a"));
}

#[test]
fn a_new_home_is_assumed_to_read_at_the_rate_of_its_service() {
    let homes = vec![record("a", &[("m", &[])]), record("b", &[("n", &[])])];
    let mut table = table(homes);
    let (slow, need) = (self::need("n", None), need("m", None));
    let ahead = table.record_sent(1_000, &ReplicaId::from("b"), &slow);
    table.record_response_start(&ReplicaId::from("b"), &slow, ahead, 300.0);
    // At 3 ms a token 480 ms are 160 tokens: with one request waiting, the next one would be late.
    table.record_sent(1_000, &ReplicaId::from("a"), &need);
    assert_eq!(choose(&table, &need), Choice::Full);
}

#[test]
fn a_home_is_reported_early_if_it_is_new_or_late() {
    let mut new = table(vec![record("a", &[("m", &[])])]);
    let (id, need) = (ReplicaId::from("a"), need("m", None));
    let ahead = new.record_sent(1_000, &id, &need);
    assert!(new.causes_congestion(&id, &need, ahead));
    assert_eq!(new.queued_tokens(), congestion(100));
    let mut known = measured_home(5.0);
    let ahead = known.record_sent(1_000, &id, &need);
    assert!(!known.causes_congestion(&id, &need, ahead));
    let slow = measured_home(2_000.0);
    assert!(slow.causes_congestion(&id, &need, ahead));
    known.record_end(1_000, &id, &need, false, AttemptResult::Neutral);
    assert_eq!(known.queued_tokens(), QueuedTokens::new());
}

//! Explanations of a request and of a target, from the logs of several processes.

use dunlinspring::cli::daily_summary::daily_summary;
use dunlinspring::cli::explain::explain;
use dunlinspring::cli::explain_target::{EvidenceSource, TargetTimeline, explain_target};
use dunlinspring::cli::order_audit::FindingKind;
use dunlinspring::ids::ReplicaId;

const LOG: &str = r#"
{"timestamp":"2026-01-01T10:00:01.000000Z","fields":{"message":"order","replica":"r1","model":"m","kind":"Unload"},"span":{"host":"c1"}}
{"timestamp":"2026-01-01T10:00:02.000000Z","fields":{"message":"request","request":"b","replica":"r1","model":"m"},"span":{"host":"e1"}}
not a log line { at all
  12.5 e2 {"timestamp":"2026-01-01T10:00:03.000000Z","fields":{"message":"request","request":"a","replica":"r1","model":"m/a1","took_ms":900,"status":502},"span":{"host":"e2"}}
{"timestamp":"2026-01-01T10:00:04.000000Z","fields":{"message":"leads","term":"3"},"span":{"host":"c2"}}
{"timestamp":"2026-01-01T10:00:05.000000Z","fields":{"message":"order","replica":"r2","model":"n"},"span":{"host":"c1"}}
{"timestamp":"2026-01-01T10:10:00.000000Z","fields":{"message":"leads","term":"4"},"span":{"host":"c1"}}
"#;

#[test]
fn a_request_is_explained_with_related_events_around_it() {
    let story = explain("a", LOG.lines());
    assert_eq!(
        story,
        [
            "2026-01-01T10:00:01.000000Z c1 order: kind=\"Unload\" model=\"m\" replica=\"r1\"",
            "2026-01-01T10:00:03.000000Z e2 request: model=\"m/a1\" replica=\"r1\" request=\"a\" status=502 took_ms=900",
            "2026-01-01T10:00:04.000000Z c2 leads: term=\"3\"",
        ]
    );
    assert!(explain("unknown", LOG.lines()).is_empty());
}

/// Log of a request for which agents were asked. One of them has just fallen silent.
const QUOTED_LOG: &str = r#"
{"timestamp":"2026-01-01T10:00:01.000000Z","fields":{"message":"agent does not reply","replica":"r1","pause_ms":250},"span":{"host":"e2"}}
{"timestamp":"2026-01-01T10:00:03.000000Z","fields":{"message":"request","request":"a","replica":"r1","took_ms":900,"agents_asked":4,"agents_replied":3,"quoted_first_ms":120,"quote_age_ms":17},"span":{"host":"e2"}}
"#;

/// Guards against an explanation that does not tell what agents said, or how old that was.
#[test]
fn a_request_is_explained_with_what_agents_quoted() {
    let story = explain("a", QUOTED_LOG.lines());
    assert_eq!(
        story,
        [
            "2026-01-01T10:00:01.000000Z e2 agent does not reply: pause_ms=250 replica=\"r1\"",
            "2026-01-01T10:00:03.000000Z e2 request: agents_asked=4 agents_replied=3 quote_age_ms=17 quoted_first_ms=120 replica=\"r1\" request=\"a\" took_ms=900",
        ]
    );
}

/// Log of a stream that one entry began, and that its client took up twice at another one.
const STREAM_LOG: &str = r#"
{"timestamp":"2026-01-01T10:00:00.000000Z","fields":{"message":"request","request":"first","replica":"r1","took_ms":900,"outcome":"cut"},"span":{"host":"e1"}}
{"timestamp":"2026-01-01T10:00:08.000000Z","fields":{"message":"stream continues","request":"second","by":"client","resumes":"first","last_event":"4","first_software":"v1","origin":"stored","replica":"r2 of 7000","software":"v1","view_age_ms":40},"span":{"host":"e2"}}
{"timestamp":"2026-01-01T10:00:08.500000Z","fields":{"message":"stream continues","request":"second","by":"entry","resumes":"first","last_event":"9","first_replica":"r2 of 7000","first_software":"v1","origin":"stored","replica":"r3 of 7100","software":"v1","view_age_ms":60},"span":{"host":"e2"}}
{"timestamp":"2026-01-01T10:00:09.000000Z","fields":{"message":"request","request":"second","replica":"r3","took_ms":1000,"outcome":"cut","notes":"takes a stream up: origin stored"},"span":{"host":"e2"}}
{"timestamp":"2026-01-01T10:00:20.000000Z","fields":{"message":"stream continues","request":"third","by":"client","resumes":"first","last_event":"12","first_software":"v1","origin":"own","replica":"r2 of 7000","software":"v1","view_age_ms":20},"span":{"host":"e2"}}
{"timestamp":"2026-01-01T10:00:08.200000Z","fields":{"message":"stream continues","request":"other","by":"client","resumes":"another","last_event":"1","first_software":"v2","origin":"own","replica":"r9 of 7000","software":"v2","view_age_ms":20},"span":{"host":"e2"}}
"#;

/// Guards against an explanation of one attempt that leaves out what began its stream, or where its
/// client went on with it.
#[test]
fn a_stream_is_explained_over_all_attempts_of_its_client() {
    insta::assert_snapshot!(explain("second", STREAM_LOG.lines()).join("\n"));
    let first = explain("first", STREAM_LOG.lines());
    let at: Vec<&str> = first.iter().map(|line| &line[11..19]).collect();
    assert_eq!(at, ["10:00:00", "10:00:08", "10:00:08", "10:00:20"]);
}

const CRASH_LOG: &str = r#"
{"timestamp":"2026-01-01T10:00:00.000000Z","fields":{"message":"replica ended under requests","replica":"r1","contents":"c1,c2"},"span":{"host":"e1"}}
{"timestamp":"2026-01-01T10:00:01.000000Z","fields":{"message":"replica ended under requests","replica":"r2","contents":"c3"},"span":{"host":"e2"}}
{"timestamp":"2026-01-01T10:20:00.000000Z","fields":{"message":"replica ended under requests","replica":"r3","contents":"c2"},"span":{"host":"e2"}}
{"timestamp":"2026-01-01T11:00:00.000000Z","fields":{"message":"request","request":"a","content":"c2","status":503},"span":{"host":"e3"}}
"#;

#[test]
fn a_refused_request_is_explained_with_the_crashes_behind_it() {
    let story = explain("a", CRASH_LOG.lines());
    let at: Vec<&str> = story.iter().map(|line| &line[11..19]).collect();
    assert_eq!(at, ["10:00:00", "10:20:00", "11:00:00"]);
}

const DAY_LOG: &str = r#"
{"timestamp":"2026-01-01T10:00:01.000000Z","fields":{"message":"request","request":"a","route":"chat","replica":"r1","model":"m","prompt_tokens":2000,"waited_ms":0,"took_ms":400,"late":"","outcome":"answered","reason":""},"span":{"host":"e1"}}
{"timestamp":"2026-01-01T10:00:04.500000Z","fields":{"message":"request","request":"b","route":"chat","replica":"r2","model":"m/a1","prompt_tokens":3000,"waited_ms":200,"took_ms":900,"late":"pause","outcome":"answered","reason":""},"span":{"host":"e2"}}
{"timestamp":"2026-01-01T10:00:04.600000Z","fields":{"message":"request","request":"c","route":"bill","replica":"","model":"","took_ms":10,"outcome":"refused","reason":"all replicas are full"},"span":{"host":"e2"}}
{"timestamp":"2026-01-01T10:00:04.700000Z","fields":{"message":"request","request":"d","status":404,"reason":"no such route"},"span":{"host":"e2"}}
"#;

#[test]
fn a_day_is_summarized_by_time_route_reason_replica_and_model() {
    insta::assert_snapshot!(daily_summary(DAY_LOG.lines()).unwrap());
    assert_eq!(daily_summary("nothing".lines()), None);
}

const RANKED_LOG: &str = r#"
{"timestamp":"2026-01-01T10:00:01.000000Z","fields":{"message":"request","request":"a","account":"hot","rank":0,"route":"chat","waited_ms":0,"took_ms":400,"late":"","outcome":"answered","reason":""},"span":{"host":"e1"}}
{"timestamp":"2026-01-01T10:00:01.100000Z","fields":{"message":"request","request":"b","account":"hot","rank":0,"route":"chat","waited_ms":0,"took_ms":900,"late":"first event","outcome":"answered","reason":""},"span":{"host":"e1"}}
{"timestamp":"2026-01-01T10:00:01.200000Z","fields":{"message":"request","request":"c","account":"hot","rank":2,"route":"bill","waited_ms":30,"took_ms":30,"outcome":"refused","reason":"all replicas are full"},"span":{"host":"e2"}}
{"timestamp":"2026-01-01T10:00:01.300000Z","fields":{"message":"request","request":"d","account":"","rank":1,"route":"open","took_ms":30,"outcome":"unknown","reason":"the replica failed; it may have run"},"span":{"host":"e2"}}
{"timestamp":"2026-01-01T10:00:01.400000Z","fields":{"message":"request","request":"e","account":"","rank":1,"route":"open","took_ms":30,"outcome":"left","reason":"the client left"},"span":{"host":"e2"}}
{"timestamp":"2026-01-01T10:00:01.500000Z","fields":{"message":"request","request":"f","account":"old","route":"chat","took_ms":30,"outcome":"answered","reason":""},"span":{"host":"e2"}}
"#;

/// Guards against outcomes that are counted for another account or rank, and against a request of
/// an entry without ranks in its log being counted for rank 0.
#[test]
fn a_day_lists_the_names_that_were_never_served() {
    let request = |second: u32, model: &str, outcome: &str| {
        format!(
            r#"{{"timestamp":"2026-01-01T10:00:{second:02}.000000Z","fields":{{"message":"request","request":"r","route":"chat","model":"{model}","took_ms":0,"outcome":"{outcome}"}},"span":{{"host":"e1"}}}}"#
        )
    };
    let mut lines = Vec::new();
    for second in [0, 3, 6, 9] {
        lines.push(request(second, "never", "refused"));
        lines.push(request(
            second,
            "once/a1",
            if second == 6 { "answered" } else { "refused" },
        ));
        lines.push(request(second / 3, "briefly", "refused"));
    }
    let summary = daily_summary(lines.iter().map(String::as_str)).unwrap();
    let listed = "never served: 1 of 2 names requested all along\n\
                  never                       4 requests, 0.0 to 9.0 s\n";
    assert!(summary.ends_with(listed), "{summary}");
}

#[test]
fn a_day_is_summarized_by_account_and_rank() {
    insta::assert_snapshot!(daily_summary(RANKED_LOG.lines()).unwrap());
}

/// Log of two hosts that both order `r1`: `c1` was suspended while its last order was in transit.
const TWO_HOSTS: &str = include_str!("data/two-hosts.log");

fn story(log: &str) -> TargetTimeline {
    explain_target(&ReplicaId::from("r1"), 3_000, log.lines()).unwrap()
}

fn kinds(log: &str) -> Vec<FindingKind> {
    story(log)
        .findings
        .iter()
        .map(|finding| finding.kind)
        .collect()
}

/// Returns the log line of an order's arrival at `r1`, `at_ms` after the start of a minute.
fn arrival(at_ms: u32, from: &str, holder: &str, fence: u64) -> String {
    let (at_s, rest) = (at_ms / 1_000, at_ms % 1_000);
    format!(
        r#"{{"timestamp":"2026-01-01T10:00:{at_s:02}.{rest:03}000Z","fields":{{"message":"order arrived","replica":"r1","from":"{from}","holder":"{holder}","fence":{fence},"count":3,"kind":"load","model":"m","status":202}},"span":{{"host":"r1"}}}}
"#
    )
}

#[test]
fn a_target_is_explained_with_all_hosts_its_arrivals_and_leadership() {
    insta::assert_snapshot!(story(TWO_HOSTS));
}

#[test]
fn a_clean_change_of_leaders_is_no_finding() {
    let log = arrival(1_000, "127.0.0.5", "c1", 7)
        + &arrival(2_000, "127.0.0.5", "c1", 7)
        + &arrival(5_000, "127.0.0.6", "c2", 8);
    let target_story = story(&log);
    assert_eq!(
        (target_story.source, target_story.checked),
        (EvidenceSource::Arrivals, 3)
    );
    assert!(target_story.findings.is_empty(), "{target_story}");
    assert!(
        target_story.to_string().ends_with("no finding\n"),
        "{target_story}"
    );
}

#[test]
fn one_fence_used_by_two_senders_is_found_once() {
    let log = arrival(1_000, "127.0.0.5", "c1", 7)
        + &arrival(5_000, "127.0.0.6", "c2", 7)
        + &arrival(6_000, "127.0.0.6", "c2", 7);
    assert_eq!(kinds(&log), [FindingKind::SharedFence]);
}

#[test]
fn two_hosts_with_one_name_are_two_senders() {
    let log = arrival(1_000, "127.0.0.5", "c1", 7) + &arrival(5_000, "127.0.0.6", "c1", 7);
    assert_eq!(kinds(&log), [FindingKind::SharedFence]);
}

#[test]
fn ports_of_one_host_are_one_sender() {
    let log =
        arrival(1_000, "127.0.0.5:4001", "c1", 7) + &arrival(1_500, "127.0.0.5:4002", "c1", 7);
    assert_eq!(kinds(&log), []);
}

#[test]
fn each_lower_fence_after_a_higher_one_is_found() {
    let log = arrival(1_000, "127.0.0.5", "c1", 7)
        + &arrival(5_000, "127.0.0.6", "c2", 6)
        + &arrival(6_000, "127.0.0.6", "c2", 6);
    assert_eq!(kinds(&log), [FindingKind::FenceRegression; 2]);
    let one_host = arrival(1_000, "127.0.0.5", "c1", 7) + &arrival(1_500, "127.0.0.5", "c1", 6);
    assert_eq!(kinds(&one_host), [FindingKind::FenceRegression]);
}

#[test]
fn two_senders_within_a_lease_are_found() {
    let log = arrival(1_000, "127.0.0.5", "c1", 7) + &arrival(3_999, "127.0.0.6", "c2", 8);
    assert_eq!(kinds(&log), [FindingKind::LeaseOverlap]);
    let later = arrival(1_000, "127.0.0.5", "c1", 7) + &arrival(4_000, "127.0.0.6", "c2", 8);
    assert_eq!(kinds(&later), []);
}

#[test]
fn arrivals_across_midnight_are_compared() {
    let early = arrival(1_000, "127.0.0.6", "c2", 8).replace("2026-01-01T10", "2028-03-01T00");
    let late =
        arrival(59_000, "127.0.0.5", "c1", 7).replace("2026-01-01T10:00", "2028-02-29T23:59");
    assert_eq!(kinds(&(early + &late)), [FindingKind::LeaseOverlap]);
}

#[test]
fn the_holder_is_the_sender_if_the_address_is_missing() {
    let log = arrival(1_000, "127.0.0.5", "c1", 7) + &arrival(5_000, "127.0.0.5", "c2", 7);
    assert_eq!(kinds(&log), []);
    let without_address = log.replace(r#""from":"127.0.0.5","#, "");
    assert_eq!(kinds(&without_address), [FindingKind::SharedFence]);
}

#[test]
fn an_incomplete_arrival_is_counted() {
    let log = arrival(1_000, "127.0.0.5", "c1", 7).replace(r#""fence":7,"#, "");
    assert_eq!(story(&log).incomplete, 1);
}

#[test]
fn without_arrivals_sent_orders_are_checked_and_the_text_says_so() {
    let sent = |line: &&str| !line.contains("order arrived");
    let log: Vec<&str> = TWO_HOSTS.lines().filter(sent).collect();
    insta::assert_snapshot!(story(&log.join("\n")));
}

#[test]
fn logs_without_arrivals_or_sent_orders_are_not_reported_clean() {
    let target_story = story(LOG);
    assert_eq!(target_story.source, EvidenceSource::Missing);
    assert!(
        target_story.to_string().ends_with("no order checked\n"),
        "{target_story}"
    );
}

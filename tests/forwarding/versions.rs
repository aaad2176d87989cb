//! Streams whose replicas run several software versions.

use std::time::{Duration, Instant};

use dunlinspring::consensus::software_versions::SoftwareVersion;
use dunlinspring::routing::question_queue::ASK_INTERVAL_MS;
use dunlinspring::routing::stream_origins::{OriginBatch, StreamKey, StreamOrigin};
use futures::future::join_all;

use super::support::{Behaviour, ForwardSite, Response, RouteShape, wait_for};

const RESUMED: RouteShape = RouteShape::stream("/resumed/", true);
const BRIEF: RouteShape = RouteShape::stream("/brief/", false);
const PLAIN: RouteShape = RouteShape::plain("/plain/");

/// Number of streams that are broken off and taken up.
const STREAMS: u32 = 20;

fn events(from: u32, to: u32) -> String {
    (from..=to)
        .map(|n| format!("id: {n}\ndata: {n}\n\n"))
        .collect()
}

#[ntex::test]
async fn a_broken_stream_is_not_continued_at_another_software_version() {
    let mut site = ForwardSite::start(&[RESUMED]).await;
    site.add_versioned_replica("r1", "v1", vec![Behaviour::CutStream(2)])
        .await;
    site.add_versioned_replica("r2", "v2", vec![Behaviour::Events(4); 9])
        .await;
    let answer = site.send("POST", "/resumed/x", "a", "").await;
    assert_eq!(answer.body, events(1, 2));
    assert!(!answer.complete);
    assert!(site.seen("r2").is_empty());
}

/// Begins a stream at an entry and disconnects after its second event.
async fn begin(site: &ForwardSite, entry: usize, id: &str, replica: &str, before: usize) {
    let begun = site.begin_stream(entry, "/resumed/x", id, 2).await;
    assert_eq!(begun, events(1, 2));
    wait_for("the stream at the replica", async || {
        (site.seen(replica).len() > before).then_some(())
    })
    .await;
}

/// Takes a stream up after its second event, and again while it is refused.
async fn take_up(site: &ForwardSite, entry: usize, id: &str, resumes: &str) -> Response {
    wait_for("the stream to go on", async || {
        let answer = site.send_take_up(entry, "/resumed/x", id, resumes, 2).await;
        match answer.status {
            503 => {
                tokio::time::sleep(Duration::from_millis(20)).await;
                None
            }
            _ => Some(answer),
        }
    })
    .await
}

#[ntex::test]
async fn streams_taken_up_at_other_entries_go_on_at_the_software_version_that_began_them() {
    let mut site = ForwardSite::start(&[RESUMED]).await;
    site.add_entry().await;
    let hangs = vec![Behaviour::HangAfter(2); STREAMS as usize];
    site.add_versioned_replica("r1", "v1", hangs).await;
    for number in 0..STREAMS {
        begin(&site, 0, &format!("first-{number}"), "r1", number as usize).await;
    }
    site.set_script("r1", vec![Behaviour::Events(4); 99]);
    // Of two equal replicas the first by name is chosen.
    site.add_versioned_replica("r0", "v2", vec![Behaviour::Events(4); 99])
        .await;
    site.known_at(1, "r0").await;
    for number in 0..STREAMS {
        let (id, resumes) = (format!("again-{number}"), format!("first-{number}"));
        let answer = take_up(&site, 1, &id, &resumes).await;
        assert_eq!(
            (answer.status, answer.body.as_str()),
            (200, events(3, 4).as_str())
        );
        assert_eq!(answer.header("stamp"), Some("r1"));
    }
    assert!(site.seen("r0").is_empty());
}

#[ntex::test]
async fn a_stream_is_not_continued_at_a_replica_that_restarted_unnoticed_under_its_id() {
    let mut site = ForwardSite::start(&[RESUMED]).await;
    site.add_versioned_replica("r1", "v1", vec![Behaviour::HangAfter(2)])
        .await;
    begin(&site, 0, "first", "r1", 0).await;
    // The new incarnation may run other software; its heartbeat has not arrived yet.
    site.restart_unnoticed("r1", vec![Behaviour::Events(4); 9]);
    let answer = site
        .send_take_up(0, "/resumed/x", "again", "first", 2)
        .await;
    assert_eq!(answer.status, 503);
    assert_eq!(site.seen("r1").len(), 1);
}

#[ntex::test]
async fn a_stream_begun_at_an_unnoticed_restart_does_not_go_on_at_the_former_version() {
    let mut site = ForwardSite::start(&[RESUMED]).await;
    site.add_entry().await;
    site.add_versioned_replica("r1", "v1", Vec::new()).await;
    // The new incarnation runs other software; its heartbeat has not arrived yet.
    site.restart_unnoticed("r1", vec![Behaviour::CutStream(2); 9]);
    let begun = site.send("POST", "/resumed/x", "first", "").await;
    site.add_versioned_replica("r2", "v1", vec![Behaviour::Events(4); 9])
        .await;
    site.known_at(1, "r2").await;
    let again = match begun.body.contains("id: 2") {
        false => None,
        true => Some(take_up(&site, 1, "again", "first").await),
    };
    let writer = again.as_ref().and_then(|again| again.header("stamp"));
    assert_eq!(writer, None, "goes on after {:?}", begun.body);
}

#[ntex::test]
async fn a_stream_begins_elsewhere_if_its_replica_restarted_unnoticed() {
    let mut site = ForwardSite::start(&[RESUMED]).await;
    site.add_versioned_replica("r1", "v1", Vec::new()).await;
    site.add_versioned_replica("r2", "v1", vec![Behaviour::Events(4); 9])
        .await;
    site.restart_unnoticed("r1", vec![Behaviour::Events(4); 9]);
    for id in ["a", "b", "c", "d"] {
        let answer = site.send("POST", "/resumed/x", id, "").await;
        assert!(answer.complete);
        assert_eq!(answer.body, events(1, 4));
        assert_eq!(answer.header("stamp"), Some("r2"));
    }
    // Nothing is sent to an incarnation that has ended.
    assert!(site.seen("r1").len() <= 1);
}

#[ntex::test]
async fn one_report_confirms_the_streams_on_a_kept_connection() {
    let mut site = ForwardSite::start(&[RESUMED, PLAIN, BRIEF]).await;
    site.add_versioned_replica("r1", "v1", vec![Behaviour::Response(200, "x"); 3])
        .await;
    for id in ["a", "b", "c"] {
        site.send("GET", "/plain/x", id, "").await;
    }
    site.set_script("r1", vec![Behaviour::Events(4); 99]);
    for id in ["d", "e"] {
        assert!(site.send("POST", "/brief/x", id, "").await.complete);
    }
    assert_eq!(site.reports("r1"), 0);
    for number in 0..5 {
        let id = format!("stream-{number}");
        assert!(site.send("POST", "/resumed/x", &id, "").await.complete);
    }
    assert_eq!(site.reports("r1"), 1);
}

/// Guards against a late copy of an answer that is read as what its replica reports of itself.
#[ntex::test]
async fn a_copy_of_an_answer_is_not_taken_for_a_report() {
    let mut site = ForwardSite::start(&[RESUMED, PLAIN]).await;
    let script = vec![
        Behaviour::Slow(100, "x"),
        Behaviour::Slow(100, "x"),
        Behaviour::Events(2),
    ];
    site.add_versioned_replica("r1", "v1", script).await;
    site.copy_before_report("r1", "9999");
    // Two connections are idle then: the stream takes one, and the report the other.
    futures::join!(
        site.send("GET", "/plain/x", "a", ""),
        site.send("GET", "/plain/x", "b", "")
    );
    let stream = site.send("POST", "/resumed/x", "c", "").await;
    assert_eq!(site.opened("r1"), 2);
    assert_eq!((stream.complete, stream.body), (true, events(1, 2)));
}

#[ntex::test]
async fn no_report_is_asked_of_replicas_without_a_start_time() {
    let mut site = ForwardSite::start(&[RESUMED]).await;
    site.add_replica("r1", vec![Behaviour::Events(4); 9]).await;
    for id in ["a", "b", "c"] {
        assert!(site.send("POST", "/resumed/x", id, "").await.complete);
    }
    assert_eq!(site.reports("r1"), 0);
}

#[ntex::test]
async fn events_are_not_passed_on_without_a_report() {
    let mut site = ForwardSite::start(&[RESUMED]).await;
    site.add_versioned_replica("r1", "v1", vec![Behaviour::Events(4); 9])
        .await;
    site.withhold_reports("r1");
    let answer = site.send("POST", "/resumed/x", "a", "").await;
    assert_eq!((answer.status, answer.body.contains("id:")), (502, false));
}

/// Number of times that streams begin at once in a measurement, and of streams each time.
const ROUNDS: [usize; 2] = [25, 16];

/// Returns the median and the 99th percentile of the time that a stream of one event takes, in
/// milliseconds.
async fn measure(site: &ForwardSite) -> [f64; 2] {
    let mut times = Vec::new();
    for round in 0..ROUNDS[0] {
        let streams = (0..ROUNDS[1]).map(async |number| {
            let id = format!("stream-{round}-{number}");
            let since = Instant::now();
            let answer = site.send("POST", "/resumed/x", &id, "").await;
            assert_eq!(answer.body, events(1, 1), "{id}");
            since.elapsed().as_secs_f64() * 1_000.0
        });
        times.extend(join_all(streams).await);
    }
    times.sort_by(f64::total_cmp);
    [times[times.len() / 2], times[times.len() * 99 / 100]]
}

#[ntex::test]
async fn reports_are_fewer_than_connections() {
    let script = || vec![Behaviour::Events(1); 9_999];
    let mut with = ForwardSite::start(&[RESUMED]).await;
    with.add_versioned_replica("r1", "v1", script()).await;
    let mut without = ForwardSite::start(&[RESUMED]).await;
    without.add_replica("r1", script()).await;
    for (kind, site) in [("without", &without), ("with", &with)].repeat(3) {
        let [median, slow] = measure(site).await;
        let (reports, opened) = (site.reports("r1"), site.opened("r1"));
        println!(
            "{kind} start times: median {median:.3} ms, 99th percentile {slow:.3} ms, {reports} \
             reports and {opened} connections so far"
        );
        assert!(reports <= opened, "{reports} reports, {opened} connections");
    }
    assert_eq!(without.reports("r1"), 0);
    assert!(with.reports("r1") > 0);
}

/// Number of streams that are taken up at once.
const HERD: u32 = 1_000;

/// Returns the sum of the first entry's counters whose series begin so.
async fn counted(site: &ForwardSite, series: &str) -> u64 {
    let metrics = site.metrics().await;
    let lines = metrics.lines().filter(|line| line.starts_with(series));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
    values.sum()
}

/// Takes up streams that began elsewhere, all at once, and checks the number of calls by which the
/// entry learns of their origins.
async fn check_herd(site: &ForwardSite, name: &str) {
    let take_ups = "dunlinspring_take_ups_total";
    let calls =
        ["host", "leader"].map(|to| format!("dunlinspring_origin_calls_total{{to=\"{to}\"}}"));
    let taken_up_before = counted(site, take_ups).await;
    let mut before = Vec::new();
    for series in &calls {
        before.push(counted(site, series).await);
    }
    let started = Instant::now();
    let herd = (0..HERD).map(|number| async move {
        let (id, resumes) = (
            format!("{name}-{number}"),
            format!("elsewhere-{name}-{number}"),
        );
        site.send_take_up(0, "/resumed/x", &id, &resumes, 2).await
    });
    let answers = join_all(herd).await;
    let elapsed_ms = started.elapsed().as_millis() as u64;
    assert!(
        answers
            .iter()
            .all(|answer| [200, 503].contains(&answer.status))
    );
    let taken_up = counted(site, take_ups).await - taken_up_before;
    assert_eq!(taken_up, u64::from(HERD));
    for (series, before) in calls.iter().zip(before) {
        let count = counted(site, series).await - before;
        println!("{name}: {series}: {count} calls for {HERD} take-ups in {elapsed_ms} ms");
        assert!(
            count <= elapsed_ms / ASK_INTERVAL_MS + 2,
            "{series}: {count}"
        );
    }
}

/// Waits until streams of unknown origin are refused, as several versions serve.
async fn until_several(site: &ForwardSite) {
    let mut number = 0;
    wait_for("two versions to serve", async || {
        number += 1;
        let (id, resumes) = (format!("probe-{number}"), format!("nowhere-{number}"));
        let answer = site.send_take_up(0, "/resumed/x", &id, &resumes, 2).await;
        (answer.status == 503).then_some(())
    })
    .await;
}

#[ntex::test]
async fn a_herd_of_take_ups_does_not_ask_for_each_stream() {
    let mut site = ForwardSite::start(&[RESUMED]).await;
    site.add_versioned_replica("r1", "v1", vec![Behaviour::Events(4); 9 * HERD as usize])
        .await;
    check_herd(&site, "sole").await;
    site.add_versioned_replica("r2", "v2", vec![Behaviour::Events(4); 9 * HERD as usize])
        .await;
    until_several(&site).await;
    check_herd(&site, "several").await;
}

/// Number of streams whose first event is timed.
const TIMED: usize = 500;

/// Starts a site with two replicas of these versions.
async fn site_of(versions: [&str; 2]) -> ForwardSite {
    let mut site = ForwardSite::start(&[RESUMED]).await;
    for (name, version) in ["r1", "r2"].into_iter().zip(versions) {
        let script = vec![Behaviour::Events(4); 2 * TIMED];
        site.add_versioned_replica(name, version, script).await;
    }
    site
}

/// Prints the time to the first event beside that of a service of two versions.
#[ntex::test]
async fn with_one_version_alone_nothing_is_stored_or_asked_for() {
    let sites = [site_of(["v1", "v1"]).await, site_of(["v1", "v2"]).await];
    until_several(&sites[1]).await;
    let asked =
        ["host", "leader"].map(|to| format!("dunlinspring_origin_calls_total{{to=\"{to}\"}}"));
    let stored = "dunlinspring_origin_batches_total{result=\"stored\"}".to_owned();
    let calls = [&asked[0], &asked[1], &stored];
    let mut before = [0; 2];
    for (sum, site) in before.iter_mut().zip(&sites) {
        for series in calls {
            *sum += counted(site, series).await;
        }
    }
    let mut times_us = [const { Vec::new() }; 2];
    for number in 0..TIMED {
        for (times_us, site) in times_us.iter_mut().zip(&sites) {
            let started = Instant::now();
            site.begin_stream(0, "/resumed/x", &format!("timed-{number}"), 1)
                .await;
            times_us.push(started.elapsed().as_micros());
        }
    }
    let mut sent = [0; 2];
    for (number, site) in sites.iter().enumerate() {
        for series in calls {
            sent[number] += counted(site, series).await;
        }
        sent[number] -= before[number];
        let times_us = &mut times_us[number];
        times_us.sort_unstable();
        let at = |percent: usize| times_us[(TIMED - 1) * percent / 100];
        println!(
            "{} versions: first event of {TIMED} streams: p50 {} us, p90 {} us, p99 {} us; {} calls",
            number + 1,
            at(50),
            at(90),
            at(99),
            sent[number]
        );
    }
    assert_eq!(sent[0], 0);
    assert!(sent[1] > 0);
}

/// Prints the bytes that one call stores on a control host.
#[test]
fn a_call_that_stores_origins_names_each_origin_once() {
    let sizes = [1, 10, 100, 2_048].map(|streams| {
        let origin = StreamOrigin {
            service: "review-models".into(),
            version: SoftwareVersion::Named("v1.2.3".into()),
        };
        let keys = (0..streams).map(|number: usize| StreamKey::new("", &number.to_string()));
        let batch = OriginBatch {
            keep_ms: 1,
            streams: [(origin, keys.collect())].into(),
        };
        let bytes = bincode::serialized_size(&batch).unwrap();
        println!(
            "{streams} streams: {bytes} bytes, {:.1} a stream",
            bytes as f64 / streams as f64
        );
        bytes
    });
    let (bytes_a_stream, of_origin) = (16, sizes[0] - 16);
    assert_eq!(sizes[3], 2_048 * bytes_a_stream + of_origin);
}

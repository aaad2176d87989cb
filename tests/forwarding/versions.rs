//! Streams whose replicas run several software versions.

use std::time::{Duration, Instant};

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
        times.extend(futures::future::join_all(streams).await);
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

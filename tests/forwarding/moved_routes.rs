//! Streams of routes whose services changed since the streams began.

use super::support::{Behaviour, ForwardSite, Response, RouteShape, wait_for};

const RESUMED: RouteShape = RouteShape::stream("/resumed/", true);
/// The same route, which now leads to another service.
const MOVED: RouteShape = RESUMED.split(&[("other", 1)]);
/// The same route, most of whose requests now go to another service.
const SPLIT: RouteShape = RESUMED.split(&[("other", 1_000_000), ("plain", 1)]);
/// The same route, which names its first service without giving it requests.
const EMPTIED: RouteShape = RESUMED.split(&[("other", 1), ("plain", 0)]);

const RETRIES: u32 = 30;

fn events(from: u32, to: u32) -> String {
    (from..=to)
        .map(|n| format!("id: {n}\ndata: {n}\n\n"))
        .collect()
}

/// Starts two entries, a replica of each service, both of one software version, and begins a stream
/// at the first entry and service.
async fn site_with_a_broken_stream() -> ForwardSite {
    let mut site = ForwardSite::start(&[RESUMED]).await;
    site.add_entry().await;
    let mut script = vec![Behaviour::HangAfter(2)];
    script.extend([Behaviour::Events(4); 99]);
    site.add_replica_of("plain", "r1", "v1", script).await;
    site.add_replica_of("other", "r2", "v1", vec![Behaviour::Events(4); 99])
        .await;
    for entry in 0..2 {
        site.known_at(entry, "r2").await;
    }
    let begun = site.begin_stream(0, "/resumed/x", "first", 2).await;
    assert_eq!(begun, events(1, 2));
    site
}

/// Changes the route and waits until both entries have the new configuration.
async fn change_route(site: &ForwardSite, route: RouteShape) {
    let marker = RouteShape::plain("/new/");
    site.configure(2, &[route, marker]).await.unwrap();
    for entry in 0..2 {
        wait_for("the configuration", async || {
            let answer = site.send_at(entry, "/new/x", "probe", "").await;
            (answer.status != 404).then_some(())
        })
        .await;
    }
}

/// Takes the stream up at an entry, repeated while it is refused.
async fn take_up(site: &ForwardSite, entry: usize) -> Response {
    let mut number = 0;
    wait_for("an answer", async || {
        number += 1;
        let id = format!("again-{entry}-{number}");
        let answer = site
            .send_take_up(entry, "/resumed/x", &id, "first", 2)
            .await;
        let is_last = answer.status != 503 || number > RETRIES;
        is_last.then_some(answer)
    })
    .await
}

/// Checks that a stream is refused at both entries, and that no replica of the other service has
/// seen it.
async fn assert_gone(site: &ForwardSite) {
    for entry in 0..2 {
        let answer = take_up(site, entry).await;
        assert_eq!(answer.status, 503, "at entry {entry}: {}", answer.body);
        assert!(answer.header("retry-after").is_some());
    }
    assert!(
        site.seen("r2")
            .iter()
            .all(|request| request.header("Resumes").is_none())
    );
}

#[ntex::test]
async fn a_stream_whose_route_moved_to_another_service_is_not_continued_there() {
    let site = site_with_a_broken_stream().await;
    change_route(&site, MOVED).await;
    assert_gone(&site).await;
}

#[ntex::test]
async fn a_stream_whose_service_gets_no_requests_any_more_is_not_continued() {
    let site = site_with_a_broken_stream().await;
    change_route(&site, EMPTIED).await;
    assert_gone(&site).await;
}

#[ntex::test]
async fn a_stream_goes_on_at_its_service_after_the_split_of_its_route_changed() {
    let site = site_with_a_broken_stream().await;
    change_route(&site, SPLIT).await;
    for entry in [1, 0] {
        let answer = take_up(&site, entry).await;
        assert_eq!(
            (answer.status, answer.body.as_str()),
            (200, events(3, 4).as_str()),
            "at entry {entry}"
        );
        assert_eq!(answer.header("stamp"), Some("r1"));
    }
}

#[ntex::test]
async fn an_entry_that_started_after_a_route_moved_does_not_continue_its_streams_there() {
    let mut site = site_with_a_broken_stream().await;
    change_route(&site, MOVED).await;
    // Until the first entry has stored the origin, the new one cannot learn of it.
    assert_gone(&site).await;
    let entry = site.add_entry().await;
    site.known_at(entry, "r2").await;
    let answer = take_up(&site, entry).await;
    assert_eq!(answer.status, 503, "{}", answer.body);
}

#[ntex::test]
async fn an_entry_that_started_after_a_route_moved_continues_no_stream_that_nobody_knows() {
    let mut site = site_with_a_broken_stream().await;
    change_route(&site, MOVED).await;
    let entry = site.add_entry().await;
    site.known_at(entry, "r2").await;
    let answer = site
        .send_take_up(entry, "/resumed/x", "again", "unknown", 2)
        .await;
    assert_eq!(answer.status, 503, "{}", answer.body);
    assert!(answer.header("retry-after").is_some());
}

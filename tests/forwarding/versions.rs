//! Streams whose replicas run several software versions.

use std::time::Duration;

use super::support::{Behaviour, ForwardSite, Response, RouteShape, wait_for};

const RESUMED: RouteShape = RouteShape::stream("/resumed/", true);

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

//! Requests through an entry to replicas over real sockets, with misbehaving replicas and
//! clients.

mod accounts;
mod agents;
mod answers;
mod crashes;
mod crashing_parts;
mod endless;
mod halls;
mod limits;
mod moved_routes;
mod pauses;
mod promises;
mod stops;
mod support;
mod versions;
mod waiting;

use std::cell::RefCell;
use std::time::Duration;

use support::{Behaviour, ForwardSite, Response, RouteShape, wait_for};

const PLAIN: RouteShape = RouteShape::plain("/plain/");
const UNSAFE: RouteShape = RouteShape::unsafe_("/once/");
const STREAM: RouteShape = RouteShape::stream("/stream/", false);
const RESUMED: RouteShape = RouteShape::stream("/resumed/", true);

#[ntex::test]
async fn a_response_passes_unchanged() {
    let mut site = ForwardSite::start(&[PLAIN]).await;
    site.add_replica("r1", vec![Behaviour::Response(200, "the whole body")])
        .await;
    let answer = site.send("POST", "/plain/a?b=c", "id-1", "hello").await;
    assert_eq!(
        (answer.status, answer.body.as_str()),
        (200, "the whole body")
    );
    assert_eq!(answer.header("stamp"), Some("r1"));
    assert_eq!(answer.header("x-other"), Some("kept"));
    let seen = site.seen("r1");
    assert_eq!(seen.len(), 1);
    assert_eq!(
        (seen[0].method.as_str(), seen[0].target.as_str()),
        ("POST", "/plain/a?b=c")
    );
    assert_eq!(seen[0].body, "hello");
    assert_eq!(seen[0].header("expect-replica"), Some("r1"));
    assert!(
        seen[0]
            .header("deadline-ms")
            .unwrap()
            .parse::<u64>()
            .unwrap()
            <= support::TIMEOUT_MS
    );
}

#[ntex::test]
async fn requests_that_may_have_run_are_not_retried_nor_reported_as_not_run() {
    let mut site = ForwardSite::start(&[UNSAFE]).await;
    site.add_replica(
        "r1",
        vec![
            Behaviour::Close,
            Behaviour::Response(503, "busy"),
            Behaviour::Unsigned,
        ],
    )
    .await;
    for id in ["a", "b", "c"] {
        let answer = site.send("POST", "/once/x", id, "").await;
        assert_eq!(answer.status, 502, "{id}");
        assert_eq!(answer.header("stamp"), None);
    }
    assert_eq!(site.seen("r1").len(), 3);
}

#[ntex::test]
async fn requests_that_did_not_run_go_to_another_replica() {
    let mut site = ForwardSite::start(&[UNSAFE]).await;
    site.add_replica("r1", vec![Behaviour::NotExecuted; 4])
        .await;
    site.add_replica("r2", vec![Behaviour::Response(200, "done"); 4])
        .await;
    for id in ["a", "b", "c"] {
        let answer = site.send("POST", "/once/x", id, "").await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "done"));
    }
}

#[ntex::test]
async fn a_refusal_has_retry_after() {
    let mut site = ForwardSite::start(&[UNSAFE]).await;
    site.add_replica("r1", vec![Behaviour::NotExecuted; 40])
        .await;
    let answer = site.send("POST", "/once/x", "a", "").await;
    assert_eq!(answer.status, 503);
    assert!(
        answer
            .header("retry-after")
            .unwrap()
            .parse::<f64>()
            .unwrap()
            > 0.0
    );
    assert!(!site.seen("r1").is_empty());
}

#[ntex::test]
async fn a_surplus_response_is_skipped() {
    let mut site = ForwardSite::start(&[PLAIN]).await;
    site.add_replica(
        "r1",
        vec![
            Behaviour::SurplusFirst("mine"),
            Behaviour::Response(200, "next"),
        ],
    )
    .await;
    assert_eq!(site.send("GET", "/plain/a", "a", "").await.body, "mine");
    assert_eq!(site.send("GET", "/plain/b", "b", "").await.body, "next");
}

/// Back-pressure: a client that does not read keeps a run on its replica until the entry
/// cuts the client off.
#[ntex::test]
async fn a_client_that_does_not_read_is_cut_off_and_frees_its_replica() {
    let mut site = ForwardSite::start(&[STREAM]).await;
    site.add_replica("r1", vec![Behaviour::Flood]).await;
    let freed = async || site.closed("r1").then_some(());
    site.send_without_reading("/stream/x", freed).await;
}

#[ntex::test]
async fn a_late_surplus_response_reaches_no_client() {
    let mut site = ForwardSite::start(&[PLAIN]).await;
    site.add_replica(
        "r1",
        vec![
            Behaviour::SurplusAfter("one"),
            Behaviour::Response(200, "two"),
        ],
    )
    .await;
    assert_eq!(site.send("GET", "/plain/a", "a", "").await.body, "one");
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(site.send("GET", "/plain/b", "b", "").await.body, "two");
}

#[ntex::test]
async fn a_truncated_response_never_looks_complete() {
    let mut site = ForwardSite::start(&[UNSAFE, STREAM]).await;
    site.add_replica("r1", vec![Behaviour::CutBody, Behaviour::CutStream(2)])
        .await;
    assert_eq!(site.send("POST", "/once/x", "a", "").await.status, 502);
    let answer = site.send("POST", "/stream/x", "b", "").await;
    assert_eq!(answer.status, 200);
    assert!(!answer.complete);
    // The incomplete event is not forwarded.
    assert_eq!(answer.body, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n");
}

#[ntex::test]
async fn a_stream_resumes_elsewhere_after_its_last_complete_event() {
    let mut site = ForwardSite::start(&[RESUMED]).await;
    // Of two equal replicas the first by name is chosen.
    site.add_replica("r1", vec![Behaviour::CutStream(2)]).await;
    site.add_replica("r2", vec![Behaviour::Events(4)]).await;
    let answer = site.send("POST", "/resumed/x", "a", "").await;
    assert!(answer.complete);
    let events: String = (1..=4).map(|n| format!("id: {n}\ndata: {n}\n\n")).collect();
    assert_eq!(answer.body, events);
    // The client keeps the response head of the first replica.
    assert_eq!(answer.header("stamp"), Some("r1"));
    assert_eq!(site.seen("r2")[0].header("last-event"), Some("2"));
}

#[ntex::test]
async fn a_stream_that_cannot_resume_does_not_look_complete() {
    let mut site = ForwardSite::start(&[RESUMED]).await;
    site.add_replica("r1", vec![Behaviour::CutStream(2); 9])
        .await;
    assert!(!site.send("POST", "/resumed/x", "a", "").await.complete);
}

#[ntex::test]
async fn a_client_that_disconnects_ends_its_run() {
    let mut site = ForwardSite::start(&[STREAM]).await;
    site.add_replica("r1", vec![Behaviour::HangAfter(1)]).await;
    site.read_part_and_disconnect("/stream/x", "a").await;
    wait_for("the replica's connection to close", async || {
        site.closed("r1").then_some(())
    })
    .await;
}

#[ntex::test]
async fn smuggled_and_oversized_requests_reach_no_replica() {
    let mut site = ForwardSite::start(&[PLAIN]).await;
    site.add_replica("r1", vec![Behaviour::Response(200, "x"); 9])
        .await;
    let smuggled = "POST /plain/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: a\r\nContent-Length: 40\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /plain/b HTTP/1.1\r\n\r\n";
    assert_eq!(site.send_raw(smuggled).await.status, 400);
    let long = format!(
        "GET /plain/a HTTP/1.1\r\nHost: h.example\r\nX: {}\r\n\r\n",
        "y".repeat(40_000)
    );
    assert_eq!(site.send_raw(&long).await.status, 431);
    let large = "POST /plain/a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 99999999\r\n\r\n";
    assert_eq!(site.send_raw(large).await.status, 413);
    let nowhere =
        "GET /other/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: z\r\nConnection: close\r\n\r\n";
    assert_eq!(site.send_raw(nowhere).await.status, 404);
    assert!(site.seen("r1").is_empty());
}

#[ntex::test]
async fn a_draining_replica_gets_nothing_once_entries_know() {
    let mut site = ForwardSite::start(&[PLAIN]).await;
    site.add_replica("r1", vec![Behaviour::Response(200, "one"); 20])
        .await;
    site.add_replica("r2", vec![Behaviour::Response(200, "two"); 20])
        .await;
    site.drain("r1").await;
    wait_for("the entry to know", async || {
        let answer: Response = site.send("GET", "/plain/a", "probe", "").await;
        (answer.body == "two").then_some(())
    })
    .await;
    let before = site.seen("r1").len();
    for _ in 0..8 {
        assert_eq!(site.send("GET", "/plain/a", "x", "").await.body, "two");
    }
    assert_eq!(site.seen("r1").len(), before);
}

#[ntex::test]
async fn a_newer_configuration_holds_and_an_older_one_changes_nothing() {
    let mut site = ForwardSite::start(&[PLAIN]).await;
    site.add_replica("r1", vec![Behaviour::Response(200, "x"); 99])
        .await;
    site.configure(7, &[PLAIN, UNSAFE]).await.unwrap();
    wait_for("the new route", async || {
        (site.send("POST", "/once/a", "a", "").await.status == 200).then_some(())
    })
    .await;
    site.configure(6, &[]).await.unwrap();
    assert!(site.configure(7, &[]).await.is_err());
    assert!(site.configure(7, &[PLAIN, UNSAFE]).await.is_ok());
    assert_eq!(site.send("POST", "/once/a", "b", "").await.status, 200);
    assert_eq!(site.configuration_read().await, 7);
}

#[ntex::test]
async fn a_stopping_entry_refuses_at_once_requests_that_wait_for_a_model() {
    let site = ForwardSite::start(&[RouteShape::model("/model/")]).await;
    let text = "POST /model/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: a\r\nModel: m\r\n\
                Deadline-Ms: 60000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    let order = RefCell::new(Vec::new());
    let waits = async {
        let answer = site.send_raw(text).await;
        order.borrow_mut().push("answer");
        answer
    };
    let stops = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        site.stop().await;
    };
    // Without the stop the request would wait for half of its 2 s.
    let later = async {
        tokio::time::sleep(Duration::from_millis(600)).await;
        order.borrow_mut().push("later");
    };
    let (answer, (), ()) = futures::join!(waits, stops, later);
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert_eq!(order.into_inner(), ["answer", "later"]);
}

#[ntex::test]
async fn a_stopping_entry_refuses_a_stream_that_would_outlive_it() {
    let site = ForwardSite::start(&[RouteShape::model("/model/")]).await;
    let stream = |id: &str, tokens: &str| {
        format!(
            "POST /model/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nModel: m\r\n\
             Tokens: {tokens}\r\nDeadline-Ms: 60000\r\nConnection: close\r\n\
             Content-Length: 0\r\n\r\n"
        )
    };
    let asks = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        // The entry runs for less than 5 s more; a token takes one event.
        let long = site.send_raw(&stream("a", "10,5000")).await;
        let short = site.send_raw(&stream("b", "10,2")).await;
        (long, short)
    };
    let ((long, short), ()) = futures::join!(asks, site.stop());
    assert_eq!((long.status, short.status), (503, 503));
    assert!(long.header("retry-after").is_some());
    let reason = |answer: &Response| answer.body.clone();
    assert!(
        reason(&long).contains("this entry stops"),
        "{}",
        reason(&long)
    );
    assert!(reason(&short).contains("no replica"), "{}", reason(&short));
}

#[ntex::test]
async fn a_request_waits_for_the_first_configuration() {
    let site = ForwardSite::start_bare().await;
    // Without a configuration it would wait for a quarter of its deadline.
    let early = "GET /no-route/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: early\r\n\
                 Deadline-Ms: 240000\r\nConnection: close\r\n\r\n";
    let asks = site.send_raw(early);
    let configures = async {
        let configured = async || site.configure(1, &[PLAIN]).await.ok();
        wait_for("a leader", configured).await;
    };
    // Without the wait it would be refused before the configuration arrives.
    let (answer, ()) = futures::join!(asks, configures);
    assert_eq!(answer.status, 404);
}

#[ntex::test]
async fn a_silent_connection_is_closed_with_the_listener() {
    let mut site = ForwardSite::start(&[PLAIN]).await;
    // The listener closes 1,000 ms after the stop begins; the response comes after 1,500 ms.
    site.add_replica("r1", vec![Behaviour::Slow(1_500, "last")])
        .await;
    let order = RefCell::new(Vec::new());
    let answer = async {
        site.send("GET", "/plain/a", "a", "").await;
        order.borrow_mut().push("answer");
    };
    let silent = async {
        // It connects while the entry already stops, and sends nothing.
        tokio::time::sleep(Duration::from_millis(900)).await;
        site.silent_connection().await;
        order.borrow_mut().push("silent");
    };
    futures::join!(answer, silent, site.stop());
    assert_eq!(order.into_inner(), ["silent", "answer"]);
}

#[ntex::test]
async fn a_stopping_entry_responds_to_requests_that_it_has_read() {
    let mut site = ForwardSite::start(&[PLAIN, STREAM]).await;
    site.add_replica("r1", vec![Behaviour::Slow(400, "late but whole")])
        .await;
    let (answer, ()) = futures::join!(site.send("GET", "/plain/a", "a", ""), async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        site.stop().await;
    });
    assert_eq!(
        (answer.status, answer.body.as_str()),
        (200, "late but whole")
    );
    assert_eq!(answer.header("connection"), Some("close"));
}

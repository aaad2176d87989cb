//! Requests that come late in the grace of a stopping entry, and those that are left at its end.

use std::future::Future;
use std::pin::pin;

use futures::future::{Either, select};

use crate::support::{Behaviour, ForwardSite, TIMEOUT_MS, wait_for};
use crate::{PLAIN, RESUMED, STREAM, UNSAFE};

/// Longer than the grace of the entry.
const SLOW_MS: u64 = 15_000;

/// Returns what a client gets before the entry has stopped; `None` if it gets nothing.
async fn before_exit<T>(answer: impl Future<Output = T>, stop: impl Future) -> Option<T> {
    match select(pin!(answer), pin!(stop)).await {
        Either::Left((answer, _)) => Some(answer),
        Either::Right(_) => None,
    }
}

fn head(target: &str, deadline_ms: u64) -> String {
    format!(
        "POST {target} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id-1\r\n\
         Deadline-Ms: {deadline_ms}\r\nContent-Length: 4\r\n\r\nab"
    )
}

/// Sends a request whose body ends once the listener of the stopping entry is closed. Returns its
/// answer, and how many requests the replica got.
async fn late_answer(target: &str, deadline_ms: u64, replica: Behaviour) -> (String, usize) {
    let mut site = ForwardSite::start(&[PLAIN, UNSAFE, STREAM, RESUMED]).await;
    site.add_replica("r1", vec![replica; 3]).await;
    let first = head(target, deadline_ms);
    let closed = async || site.is_listener_closed().await.then_some(());
    let answer = site.send_rest_when(&first, closed, "cd");
    let answer = before_exit(answer, site.stop()).await;
    (answer.unwrap_or_default(), site.seen("r1").len())
}

#[ntex::test]
async fn a_request_that_may_outlive_a_stopping_entry_is_refused_unsent() {
    let kinds = ["/plain/x", "/once/x", "/stream/x", "/resumed/x"].map(async |target| {
        let (answer, seen) =
            late_answer(target, TIMEOUT_MS, Behaviour::Slow(SLOW_MS, "never")).await;
        assert!(answer.starts_with("HTTP/1.1 503 "), "{target}: {answer:?}");
        assert!(answer.contains("Retry-After: "), "{target}: {answer:?}");
        assert_eq!(seen, 0, "{target}");
    });
    futures::future::join_all(kinds).await;
}

#[ntex::test]
async fn a_late_request_whose_deadline_lies_within_the_grace_is_served() {
    let (answer, seen) = late_answer("/once/x", 2_000, Behaviour::Response(200, "in time")).await;
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer:?}");
    assert_eq!(seen, 1);
}

#[ntex::test]
async fn a_stopping_entry_resends_no_request_that_may_outlive_it() {
    let mut site = ForwardSite::start(&[UNSAFE]).await;
    for name in ["r1", "r2"] {
        let script = vec![Behaviour::RefuseLater(1_500, ""); 9];
        site.add_replica(name, script).await;
    }
    let seen = || site.seen("r1").len() + site.seen("r2").len();
    let stop = async {
        wait_for("the request", async || (seen() > 0).then_some(())).await;
        site.stop().await;
    };
    let answer = before_exit(site.send("POST", "/once/x", "id-1", ""), stop).await;
    let answer = answer.expect("an answer before the exit");
    assert_eq!(answer.status, 503);
    assert!(answer.body.contains("this entry stops"), "{}", answer.body);
    assert_eq!(seen(), 1);
}

#[ntex::test]
async fn a_run_that_outlasts_the_grace_is_answered_without_a_promise() {
    for target in ["/plain/x", "/once/x"] {
        let mut site = ForwardSite::start(&[PLAIN, UNSAFE]).await;
        site.add_replica("r1", vec![Behaviour::Slow(SLOW_MS, "never"); 3])
            .await;
        let stop = async {
            wait_for("the request", async || {
                (!site.seen("r1").is_empty()).then_some(())
            })
            .await;
            site.stop().await;
        };
        let answer = before_exit(site.send("POST", target, "id-1", ""), stop).await;
        let answer = answer.expect("an answer before the exit");
        assert_eq!(answer.status, 504, "{target}: {}", answer.body);
        assert_eq!(answer.header("retry-after"), None);
    }
}

/// A client of HTTP/1.0 takes a close for the end of its stream.
#[ntex::test]
async fn a_stream_that_outlasts_the_grace_does_not_look_complete() {
    let mut site = ForwardSite::start(&[STREAM]).await;
    site.add_replica("r1", vec![Behaviour::HangAfter(2)]).await;
    let text = "GET /stream/x HTTP/1.0\r\nHost: h.example\r\nRequest-Id: id-1\r\n\r\n";
    let stop = async {
        wait_for("the request", async || {
            (!site.seen("r1").is_empty()).then_some(())
        })
        .await;
        site.stop().await;
    };
    let answer = before_exit(site.send_for_bytes(text), stop).await;
    let (text, is_closed) = answer.expect("an end before the exit");
    assert!(text.contains("id: 2\n"), "{text}");
    assert!(!is_closed, "a reset");
}

#[ntex::test]
async fn a_request_that_is_not_read_by_the_end_of_the_grace_is_refused() {
    let site = ForwardSite::start(&[UNSAFE]).await;
    let first = head("/once/x", TIMEOUT_MS);
    let answer = before_exit(site.send_for_bytes(&first), site.stop()).await;
    let (text, _) = answer.expect("an answer before the exit");
    assert!(text.starts_with("HTTP/1.1 503 "), "{text:?}");
    assert!(text.contains("Retry-After: "), "{text:?}");
    assert!(text.contains("Request-Id: id-1"), "{text:?}");
}

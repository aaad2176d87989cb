//! Replicas that answer with bytes that never end. The entry reads a bounded number of them, closes
//! the connection, and gives its caller one answer.

use crate::support::{Behaviour, ForwardSite, Response, wait_for};
use crate::{RESUMED, STREAM, UNSAFE};

/// Sends one request to a replica whose answer does not end. Returns the answer, after a check that
/// the entry closed the connection to the replica.
async fn answer_to_endless(target: &str, begin: &'static str, unit: &'static str) -> Response {
    let mut site = ForwardSite::start(&[UNSAFE, STREAM, RESUMED]).await;
    site.add_replica("r1", vec![Behaviour::Endless(begin, unit)])
        .await;
    let answer = site.send("POST", target, "id-1", "").await;
    wait_for("the entry to close the connection", async || {
        site.closed("r1").then_some(())
    })
    .await;
    assert_eq!(answer.header("stamp"), None, "{begin:?}");
    answer
}

async fn fails_once(begin: &'static str, unit: &'static str) {
    let answer = answer_to_endless("/once/x", begin, unit).await;
    assert_eq!(answer.status, 502, "{begin:?} {unit:?}");
}

#[ntex::test]
async fn endless_bytes_in_place_of_a_head_are_one_failure() {
    fails_once("", "no response ").await;
    fails_once("HTTP/1.1 200 OK\r\nX: ", "a").await;
    fails_once("HTTP/1.1 200 OK\r\n", "X: a\r\n").await;
}

#[ntex::test]
async fn endless_interim_responses_are_one_failure() {
    fails_once("", "HTTP/1.1 103 Early\r\nLink: x\r\n\r\n").await;
}

/// The body of a response to another request was skipped without a limit.
#[ntex::test]
async fn an_endless_response_to_another_request_is_one_failure() {
    let other = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nStamp: r1\r\n";
    for framing in [
        "Content-Length: 99999999999\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\nfffffffffff\r\n",
    ] {
        let begin: &'static str = Box::leak((other.to_owned() + framing).into_boxed_str());
        fails_once(begin, "a").await;
    }
}

#[ntex::test]
async fn endless_bodies_are_one_failure() {
    let head = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nStamp: r1\r\n";
    for (framing, unit) in [
        ("\r\n", "a"),
        ("Content-Length: 99999999999\r\n\r\n", "a"),
        ("Transfer-Encoding: chunked\r\n\r\nfffffffffff\r\n", "a"),
        ("Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"),
        ("Transfer-Encoding: chunked\r\n\r\n1;", "a"),
        ("Transfer-Encoding: chunked\r\n\r\n", "0"),
        ("Transfer-Encoding: chunked\r\n\r\n0\r\n", "T: a\r\n"),
    ] {
        let begin: &'static str = Box::leak((head.to_owned() + framing).into_boxed_str());
        fails_once(begin, unit).await;
    }
}

/// Comments were passed on as the first events of a stream, which then held its client until the
/// deadline and could not be sent to another replica.
#[ntex::test]
async fn endless_bytes_without_an_event_begin_no_stream() {
    let head = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nStamp: r1\r\n\r\n";
    for target in ["/stream/x", "/resumed/x"] {
        for unit in ["data: a", "data: a\n", ": c\n\n", "\n", "event: e\n\n"] {
            let answer = answer_to_endless(target, head, unit).await;
            assert!(answer.status >= 500, "{target} {unit:?}: {}", answer.status);
        }
    }
}

/// After an event, what follows without another one is bounded as well, and the answer does not look
/// complete.
#[ntex::test]
async fn a_stream_that_ends_in_endless_comments_is_cut() {
    let begin = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nStamp: r1\r\n\r\nid: 1\ndata: 1\n\n";
    let mut site = ForwardSite::start(&[STREAM]).await;
    site.add_replica("r1", vec![Behaviour::Endless(begin, ": c\n\n")])
        .await;
    let answer = site.send("POST", "/stream/x", "id-1", "").await;
    wait_for("the entry to close the connection", async || {
        site.closed("r1").then_some(())
    })
    .await;
    assert!(answer.body.starts_with("id: 1\ndata: 1\n\n"));
    assert!(!answer.complete);
}

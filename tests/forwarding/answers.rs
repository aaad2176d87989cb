//! Answers whose end does not show in a length or chunks, answers without a body, and clients and
//! replicas that speak HTTP/1.0.

use crate::support::{Behaviour, ForwardSite, TIMEOUT_MS, WireEnd, wait_for};
use crate::{PLAIN, RESUMED, STREAM, UNSAFE};

/// Head of a response with neither length nor chunks.
const BARE: &str = "HTTP/1.1 200 OK\r\n";
/// The same from a replica that speaks HTTP/1.0.
const OLD: &str = "HTTP/1.0 200 OK\r\n";
const TWO_EVENTS: &str = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n";
/// One event and a part of the next one.
const PART: &str = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n";

/// Returns a request; `more` is further header lines.
fn request(line: &str, id: &str, more: &str) -> String {
    format!(
        "{line}\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {TIMEOUT_MS}\r\n{more}\r\n"
    )
}

/// Returns a request on a connection that the client wants to keep, and a second one that closes it.
fn then_another(line: &str) -> String {
    let first = request(line, "first", "");
    first + &request("GET /plain/next HTTP/1.1", "next", "Connection: close\r\n")
}

/// Returns the responses on one connection, which all begin with a status line.
fn responses(text: &str) -> Vec<&str> {
    let mut starts: Vec<usize> = text.match_indices("HTTP/1.1 ").map(|(at, _)| at).collect();
    starts.push(text.len());
    starts
        .windows(2)
        .map(|pair| &text[pair[0]..pair[1]])
        .collect()
}

/// Returns whether a response has a header, whatever its value.
fn has_header(response: &str, name: &str) -> bool {
    response
        .to_ascii_lowercase()
        .contains(&format!("\r\n{name}:"))
}

/// Sends a request and another one on the same connection. Returns the first response, after a check
/// that it ends with its head.
async fn bodiless(target: &str, method: &str, head: &'static str) -> String {
    let mut site = ForwardSite::start(&[PLAIN, STREAM]).await;
    let script = vec![
        Behaviour::Wire(head, "", WireEnd::Keep),
        Behaviour::Response(200, "next"),
    ];
    site.add_replica("r1", script).await;
    let line = format!("{method} {target} HTTP/1.1");
    let (text, _) = site.send_for_bytes(&then_another(&line)).await;
    let answers = responses(&text);
    assert_eq!(answers.len(), 2, "{text}");
    let (_, body) = answers[0].split_once("\r\n\r\n").unwrap();
    assert_eq!(body, "", "{text}");
    assert!(answers[1].ends_with("\r\n\r\nnext"), "{text}");
    answers[0].to_owned()
}

#[ntex::test]
async fn a_whole_response_without_length_is_passed_on_with_one() {
    let mut site = ForwardSite::start(&[UNSAFE]).await;
    let script = [BARE, OLD].map(|head| Behaviour::Wire(head, "whole", WireEnd::Close));
    site.add_replica("r1", script.to_vec()).await;
    for id in ["a", "b"] {
        let answer = site.send("POST", "/once/x", id, "").await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "whole"));
        assert_eq!(answer.header("content-length"), Some("5"));
    }
}

/// Guards against a success that ended with its head and is passed on as whole.
#[ntex::test]
async fn a_success_without_length_or_body_is_not_passed_on() {
    let mut site = ForwardSite::start(&[UNSAFE, STREAM]).await;
    site.add_replica("r1", vec![Behaviour::Wire(BARE, "", WireEnd::Close); 2])
        .await;
    let whole = site.send("POST", "/once/x", "a", "").await;
    assert_eq!((whole.status, whole.header("stamp")), (502, None));
    let stream = site.send("POST", "/stream/x", "b", "").await;
    assert_eq!((stream.status, stream.header("stamp")), (502, None));
}

/// Guards against a part of a response that is passed on as whole, as its replica has stopped.
#[ntex::test]
async fn a_response_without_length_of_a_leaving_replica_that_ended_is_not_whole() {
    const LEAVING: &str = "HTTP/1.1 200 OK\r\nLeaving: 1\r\n";
    let mut site = ForwardSite::start(&[UNSAFE, STREAM]).await;
    let end = |body| vec![Behaviour::Wire(LEAVING, body, WireEnd::End)];
    site.add_replica("r1", end("half")).await;
    let whole = site.send("POST", "/once/x", "a", "").await;
    assert_eq!((whole.status, whole.header("stamp")), (502, None));
    site.add_replica("r2", end(TWO_EVENTS)).await;
    let stream = site.send("POST", "/stream/x", "b", "").await;
    assert!(!(stream.status == 200 && stream.complete), "{stream:?}");
}

/// Guards against a stream that ends as whole after a continuation without any event.
#[ntex::test]
async fn a_continuation_without_length_or_event_does_not_end_a_stream() {
    let mut site = ForwardSite::start(&[RESUMED]).await;
    // Of two equal replicas the first by name is chosen.
    site.add_replica("r1", vec![Behaviour::CutStream(2)]).await;
    site.add_replica("r2", vec![Behaviour::Wire(BARE, "", WireEnd::Close); 9])
        .await;
    let stream = site.send("POST", "/resumed/x", "a", "").await;
    assert_eq!((stream.complete, stream.body.as_str()), (false, TWO_EVENTS));
}

/// A leaving replica goes on serving for a while.
#[ntex::test]
async fn a_response_without_length_of_a_leaving_replica_that_lives_on_is_whole() {
    const LEAVING: &str = "HTTP/1.1 200 OK\r\nLeaving: 1\r\n";
    let mut site = ForwardSite::start(&[UNSAFE]).await;
    let script = vec![Behaviour::Wire(LEAVING, "whole", WireEnd::Close)];
    site.add_replica("r1", script).await;
    let whole = site.send("POST", "/once/x", "a", "").await;
    assert_eq!((whole.status, whole.body.as_str()), (200, "whole"));
}

#[ntex::test]
async fn a_reset_in_place_of_a_close_never_ends_a_response() {
    let mut site = ForwardSite::start(&[UNSAFE, STREAM]).await;
    let script = ["whole", TWO_EVENTS].map(|body| Behaviour::Wire(BARE, body, WireEnd::Reset));
    site.add_replica("r1", script.to_vec()).await;
    let whole = site.send("POST", "/once/x", "a", "").await;
    assert_eq!((whole.status, whole.header("stamp")), (502, None));
    let stream = site.send("POST", "/stream/x", "b", "").await;
    assert!(!(stream.status == 200 && stream.complete), "{stream:?}");
}

#[ntex::test]
async fn a_half_closed_replica_has_ended_its_response() {
    let mut site = ForwardSite::start(&[UNSAFE, STREAM]).await;
    let script = ["whole", TWO_EVENTS].map(|body| Behaviour::Wire(BARE, body, WireEnd::HalfClose));
    site.add_replica("r1", script.to_vec()).await;
    let whole = site.send("POST", "/once/x", "a", "").await;
    assert_eq!((whole.status, whole.body.as_str()), (200, "whole"));
    let stream = site.send("POST", "/stream/x", "b", "").await;
    assert_eq!((stream.complete, stream.body.as_str()), (true, TWO_EVENTS));
    wait_for("the entry to close its direction", async || {
        site.closed("r1").then_some(())
    })
    .await;
}

#[ntex::test]
async fn a_stream_that_ends_inside_an_event_is_broken_off() {
    let mut site = ForwardSite::start(&[STREAM]).await;
    let script = [BARE, OLD].map(|head| Behaviour::Wire(head, PART, WireEnd::Close));
    site.add_replica("r1", script.to_vec()).await;
    for id in ["a", "b"] {
        let stream = site.send("POST", "/stream/x", id, "").await;
        assert_eq!((stream.status, stream.complete), (200, false));
        assert_eq!(stream.body, "id: 1\ndata: 1\n\n");
    }
}

#[ntex::test]
async fn a_stream_that_ends_inside_an_event_goes_on_elsewhere() {
    let mut site = ForwardSite::start(&[RESUMED]).await;
    // Of two equal replicas the first by name is chosen.
    site.add_replica("r1", vec![Behaviour::Wire(BARE, PART, WireEnd::Close)])
        .await;
    site.add_replica("r2", vec![Behaviour::Events(2)]).await;
    let stream = site.send("POST", "/resumed/x", "a", "").await;
    assert_eq!((stream.complete, stream.body.as_str()), (true, TWO_EVENTS));
    assert_eq!(site.seen("r2")[0].header("last-event"), Some("1"));
}

/// The body stood where the next response on the connection was due.
#[ntex::test]
async fn a_refused_head_request_gets_no_body() {
    let site = ForwardSite::start(&[PLAIN]).await;
    // There is no replica.
    for (target, status) in [("/plain/x", "503"), ("/nowhere/x", "404")] {
        let line = format!("HEAD {target} HTTP/1.1");
        let (text, _) = site.send_for_bytes(&then_another(&line)).await;
        let answers = responses(&text);
        assert_eq!(answers.len(), 2, "{text}");
        let (head, body) = answers[0].split_once("\r\n\r\n").unwrap();
        assert!(head.starts_with(&format!("HTTP/1.1 {status}")), "{text}");
        assert_eq!(body, "", "{text}");
    }
}

/// So did the body of the refusal of a request that was not read to its end.
#[ntex::test]
async fn a_head_request_that_is_refused_unread_gets_no_body() {
    let site = ForwardSite::start(&[PLAIN]).await;
    let line = "HEAD /plain/x HTTP/1.1";
    let text = request(line, "a", "Content-Length: 99999999999\r\n");
    let (answer, _) = site.send_for_bytes(&text).await;
    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
    assert!(head.starts_with("HTTP/1.1 413"), "{answer}");
    assert_eq!(body, "", "{answer}");
}

#[ntex::test]
async fn a_head_response_keeps_its_length() {
    let head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n";
    let answer = bodiless("/plain/x", "HEAD", head).await;
    assert!(answer.contains("Content-Length: 5\r\n"), "{answer}");
}

#[ntex::test]
async fn a_head_response_without_length_gets_none() {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
    let answer = bodiless("/plain/x", "HEAD", head).await;
    assert!(!has_header(&answer, "content-length"), "{answer}");
}

#[ntex::test]
async fn a_head_response_on_a_streaming_route_has_no_body() {
    bodiless("/stream/x", "HEAD", "HTTP/1.1 200 OK\r\n").await;
}

#[ntex::test]
async fn a_204_response_has_neither_length_nor_body() {
    let answer = bodiless("/plain/x", "GET", "HTTP/1.1 204 No Content\r\n").await;
    assert!(!has_header(&answer, "content-length"), "{answer}");
}

#[ntex::test]
async fn a_204_response_on_a_streaming_route_has_no_body() {
    let answer = bodiless("/stream/x", "GET", "HTTP/1.1 204 No Content\r\n").await;
    assert!(!has_header(&answer, "content-length"), "{answer}");
    assert!(!has_header(&answer, "transfer-encoding"), "{answer}");
}

#[ntex::test]
async fn a_304_response_has_no_body_and_no_length_of_the_entry() {
    let answer = bodiless("/plain/x", "GET", "HTTP/1.1 304 Not Modified\r\n").await;
    assert!(!has_header(&answer, "content-length"), "{answer}");
    let head = "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n";
    let answer = bodiless("/stream/x", "GET", head).await;
    assert!(answer.contains("Content-Length: 5\r\n"), "{answer}");
}

#[ntex::test]
async fn an_http_1_0_client_gets_no_chunks_and_a_close() {
    let mut site = ForwardSite::start(&[PLAIN, STREAM]).await;
    let script = vec![
        Behaviour::Wire(BARE, "whole", WireEnd::Close),
        Behaviour::Events(2),
    ];
    site.add_replica("r1", script).await;
    let (whole, _) = site
        .send_for_bytes(&request("GET /plain/x HTTP/1.0", "a", ""))
        .await;
    assert!(whole.ends_with("\r\n\r\nwhole"), "{whole}");
    assert!(whole.contains("Content-Length: 5\r\n"), "{whole}");
    let (stream, closed) = site
        .send_for_bytes(&request("GET /stream/x HTTP/1.0", "b", ""))
        .await;
    assert!(
        stream.ends_with(&format!("\r\n\r\n{TWO_EVENTS}")),
        "{stream}"
    );
    assert!(
        closed && stream.contains("Connection: close\r\n"),
        "{stream}"
    );
    assert!(!has_header(&stream, "transfer-encoding"), "{stream}");
}

#[ntex::test]
async fn a_stream_broken_off_never_looks_whole_to_an_http_1_0_client() {
    let mut site = ForwardSite::start(&[STREAM]).await;
    site.add_replica("r1", vec![Behaviour::CutStream(2)]).await;
    let (stream, closed) = site
        .send_for_bytes(&request("GET /stream/x HTTP/1.0", "a", ""))
        .await;
    assert!(!closed, "{stream}");
}

#[ntex::test]
async fn an_http_1_0_client_gets_no_interim_response() {
    let mut site = ForwardSite::start(&[UNSAFE]).await;
    site.add_replica("r1", vec![Behaviour::Response(200, "done")])
        .await;
    let more = "Expect: 100-continue\r\nContent-Length: 2\r\n";
    let text = request("POST /once/x HTTP/1.0", "a", more);
    // The body comes later, so that the entry could ask for it.
    let (answer, _) = site.send_in_two(&text, "hi").await;
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    assert_eq!(site.seen("r1")[0].body, "hi");
}

#[ntex::test]
async fn a_client_that_half_closes_ends_its_run() {
    let mut site = ForwardSite::start(&[STREAM]).await;
    site.add_replica("r1", vec![Behaviour::HangAfter(0)]).await;
    let began = async || (site.seen("r1").len() == 1).then_some(());
    let text = request("GET /stream/x HTTP/1.1", "a", "");
    let answer = site.half_close_when(&text, began).await;
    assert_eq!(answer, "");
    wait_for("the replica's connection to close", async || {
        site.closed("r1").then_some(())
    })
    .await;
}

/// Guards against events of two runs in one answer.
#[ntex::test]
async fn a_stream_of_events_without_ids_is_not_begun_anew_in_its_answer() {
    const UNNAMED: &str = "data: 1\n\ndata: 2\n";
    let mut site = ForwardSite::start(&[RESUMED]).await;
    for name in ["r1", "r2"] {
        let script = vec![Behaviour::Wire(BARE, UNNAMED, WireEnd::Close); 9];
        site.add_replica(name, script).await;
    }
    let answer = site.send("POST", "/resumed/x", "first", "").await;
    assert!(!answer.complete);
    assert_eq!(answer.body, "data: 1\n\n");
    assert_eq!(site.seen("r1").len() + site.seen("r2").len(), 1);
}

/// Sends requests to a replica whose answers begin with this status line and these headers. Each of
/// them must be one failure without the replica's mark.
async fn fails(site: &ForwardSite, head: &'static str) {
    let script = vec![Behaviour::Wire(head, "whole", WireEnd::Close); 2];
    site.set_script("r1", script);
    for target in ["/once/x", "/stream/x"] {
        let answer = site.send("POST", target, "a", "").await;
        let seen = (answer.status, answer.header("stamp"));
        assert_eq!(seen, (502, None), "{target} {head:?}");
    }
}

/// Guards against a status that is none and is passed on as one.
#[ntex::test]
async fn an_answer_whose_status_is_none_is_no_answer() {
    let mut site = ForwardSite::start(&[UNSAFE, STREAM]).await;
    site.add_replica("r1", Vec::new()).await;
    for head in [
        "HTTP/1.1 000 Any\r\nContent-Length: 5\r\n",
        "HTTP/1.1 042 Any\r\nContent-Length: 5\r\n",
        "HTTP/1.1 101 Any\r\nContent-Length: 5\r\n",
        "HTTP/1.1 150 Any\r\nContent-Length: 5\r\n",
        "HTTP/1.1 600 Any\r\nContent-Length: 5\r\n",
        "HTTP/1.1 999 Any\r\nContent-Length: 5\r\n",
        "HTTP/1.1 000 Any\r\n",
    ] {
        fails(&site, head).await;
    }
}

#[ntex::test]
async fn a_request_whose_answer_had_no_status_goes_to_another_replica() {
    const HEAD: &str = "HTTP/1.1 000 Any\r\nContent-Length: 5\r\n";
    let mut site = ForwardSite::start(&[PLAIN]).await;
    // Of two equal replicas the first by name is chosen.
    let script = vec![Behaviour::Wire(HEAD, "whole", WireEnd::Close)];
    site.add_replica("r1", script).await;
    site.add_replica("r2", vec![Behaviour::Response(200, "well")])
        .await;
    let answer = site.send("GET", "/plain/x", "a", "").await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "well"));
}

/// Guards against a part of a response that is passed on as whole, as its replica has started again.
#[ntex::test]
async fn a_response_without_length_is_not_whole_if_another_incarnation_listens() {
    for (started, end) in [(true, WireEnd::Restart), (false, WireEnd::Replace)] {
        let mut site = ForwardSite::start(&[UNSAFE, STREAM]).await;
        for (number, target) in ["/once/x", "/stream/x"].into_iter().enumerate() {
            let name = format!("r{number}");
            let script = vec![Behaviour::Wire(BARE, TWO_EVENTS, end)];
            match started {
                true => site.add_versioned_replica(&name, "v1", script).await,
                false => site.add_replica(&name, script).await,
            }
            let answer = site.send("POST", target, "a", "").await;
            assert!(!(answer.status == 200 && answer.complete), "{answer:?}");
            site.drain(&name).await;
        }
    }
}

#[ntex::test]
async fn a_response_without_length_of_an_incarnation_that_reports_is_whole() {
    let mut site = ForwardSite::start(&[UNSAFE, STREAM]).await;
    let script = vec![Behaviour::Wire(BARE, TWO_EVENTS, WireEnd::Close); 2];
    site.add_versioned_replica("r1", "v1", script).await;
    for target in ["/once/x", "/stream/x"] {
        let answer = site.send("POST", target, "a", "").await;
        assert_eq!((answer.status, answer.complete), (200, true));
        assert_eq!(answer.body, TWO_EVENTS);
    }
    assert_eq!(site.reports("r1"), 2);
}

//! Invalid input from callers and peers: it gets a specific error and has no other effect.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use dunlinspring::process::peers::{self, PeerPool, SiteSecret};
use ntex::client::Client;
use serde_json::{Value, json};
use support::{CALLER, CompletionRequest, TestSite, engine_traits, row, until};

struct Response {
    status: u16,
    outcome: String,
    body: Value,
}

async fn post(site: &TestSite, path: &str, headers: &[(&str, &str)], body: &str) -> Response {
    let url = format!("http://{}{path}", site.address("e1", "callers"));
    let mut call = Client::new().await.post(url);
    for (name, value) in headers {
        call = call.header(*name, *value);
    }
    let response = call.send_body(body.to_owned()).await.unwrap();
    let outcome = response
        .headers()
        .get("x-outcome")
        .map(|value| value.to_str().unwrap().to_owned());
    let status = response.status().as_u16();
    let bytes = response.body().await.unwrap_or_default();
    Response {
        status,
        outcome: outcome.unwrap_or_default(),
        body: serde_json::from_slice(&bytes).unwrap_or_default(),
    }
}

/// Description of the fault, request headers, request body, expected status and error code.
type BadCase<'a> = (&'a str, &'a [(&'a str, &'a str)], &'a str, u16, &'a str);

fn completion(model: &str) -> String {
    json!({ "model": model, "prompt": "p", "max_tokens": 3 }).to_string()
}

#[ntex::test]
async fn invalid_requests_get_a_specific_error_and_run_nothing() {
    let site = TestSite::start().await;
    let mut once = row("draft", "notice");
    once["at_most_once"] = json!(true);
    site.add_row("draft", &once).await;
    site.add_row("review", &row("review", "filing-review"))
        .await;
    site.settled("review", 1).await;
    let bearer = format!("Bearer {CALLER}");
    let key = ("authorization", bearer.as_str());
    let path = "/v1/completions";
    let large = json!({ "model": "review", "prompt": "x".repeat(2 << 20) }).to_string();
    let zero = json!({ "model": "review", "prompt": "p", "max_tokens": 0 }).to_string();
    let wrong_key = ("authorization", "Bearer wrong");
    let class = ("x-request-class", "nobody");
    let cases: [BadCase<'_>; 8] = [
        ("no key", &[], &completion("review"), 401, "invalid_key"),
        (
            "a wrong key",
            &[wrong_key],
            &completion("review"),
            401,
            "invalid_key",
        ),
        ("no JSON", &[key], "{\"model\": ", 400, "invalid_json"),
        (
            "no such model",
            &[key],
            &completion("nobody"),
            404,
            "unknown_model",
        ),
        (
            "no such class",
            &[key, class],
            &completion("review"),
            404,
            "unknown_class",
        ),
        (
            "no idempotency key",
            &[key],
            &completion("draft"),
            400,
            "invalid_request",
        ),
        ("no tokens", &[key], &zero, 400, "invalid_request"),
        ("a large body", &[key], &large, 413, "body_too_large"),
    ];
    for (what, headers, body, status, code) in cases {
        let response = post(&site, path, headers, body).await;
        assert_eq!(response.status, status, "{what}: {}", response.body);
        assert_eq!(
            response.body["error"]["code"].as_str().unwrap_or_default(),
            code,
            "{what}"
        );
        assert!(
            response.outcome == "not-run" || status == 413,
            "{what}: '{}'",
            response.outcome
        );
    }
    let keyed = [key, ("idempotency-key", "k")];
    let first = post(&site, path, &keyed, &completion("draft")).await;
    assert_eq!((first.status, first.outcome.as_str()), (200, "done"));
    let again = post(&site, path, &keyed, &completion("draft")).await;
    assert_eq!(
        again.body["choices"], first.body["choices"],
        "a resend gets the recorded response"
    );
    let other = json!({ "model": "draft", "prompt": "other", "max_tokens": 3 }).to_string();
    let response = post(&site, path, &keyed, &other).await;
    assert_eq!(
        (response.status, response.outcome.as_str()),
        (409, "not-run")
    );
    let mut runs = 0;
    for target in ["t1", "t2", "t3"] {
        let record = site.record(&format!("{target}-engine")).await;
        runs += record["runs"].as_array().unwrap().len();
    }
    assert_eq!(runs, 1, "only the valid request ran");
}

#[ntex::test]
async fn a_disconnected_caller_has_its_run_cancelled() {
    let mut traits = engine_traits();
    traits["piece_us"] = json!(50_000);
    let site = TestSite::start_with(&traits).await;
    site.add_row("review", &row("review", "filing-review"))
        .await;
    site.settled("review", 1).await;
    let request = CompletionRequest {
        model: "review",
        class: "filing-review",
        prompt: "a long answer",
        tokens: 2000,
        stream: true,
        key: None,
    };
    let timed_out =
        tokio::time::timeout(Duration::from_millis(400), site.complete("e1", &request)).await;
    assert!(
        timed_out.is_err(),
        "the response must take longer than the time-out"
    );
    until("the run to be cancelled", async || {
        let mut runs = 0;
        for target in ["t1", "t2", "t3"] {
            let engine = site.address(&format!("{target}-engine"), "listen");
            let url = format!("http://{engine}/control/report");
            let report: Value = dunlinspring::process::daemon::get_json(&url).await.ok()?;
            runs += report["running"].as_array()?.len();
        }
        (runs == 0).then_some(())
    })
    .await;
}

#[ntex::test]
async fn peers_without_the_secret_or_with_invalid_frames_are_rejected() {
    let site = TestSite::start().await;
    let address = site.control_addresses()[0].clone();
    let foreign_pool = PeerPool::new(
        SiteSecret::new("another-secret-altogether"),
        peers::dial_control,
    );
    let context = || peers::within(Duration::from_secs(2));
    let status = foreign_pool
        .call(&address, "status", |client| async move {
            client.status(context()).await
        })
        .await;
    assert!(status.is_err(), "a peer with another secret was accepted");
    // A frame with a declared length of 4 GiB, and one of another protocol version.
    let frames: [Vec<u8>; 2] = [
        u32::MAX.to_be_bytes().to_vec(),
        [&68u32.to_be_bytes()[..], &99u32.to_le_bytes(), &[0; 64]].concat(),
    ];
    for frame in frames {
        let mut stream = TcpStream::connect(&address).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        stream.write_all(&frame).unwrap();
        let mut rest = Vec::new();
        // The host sends its greeting, then closes the connection.
        let _ = stream.read_to_end(&mut rest);
        assert!(rest.len() < 100, "the host sent more than its greeting");
    }
    let site_pool = PeerPool::new(
        SiteSecret::new("a-secret-of-the-test-site"),
        peers::dial_control,
    );
    let status = site_pool
        .call(&address, "status", |client| async move {
            client.status(context()).await
        })
        .await;
    assert!(status.is_ok(), "{status:?}");
    // A separate thread writes log lines.
    let logged = async || site.log("c1").contains("speaks protocol 99").then_some(());
    until("the log line with the protocol version", logged).await;
}

/// A service's 503 was taken as proof that the call had no effect, which released the idempotency
/// key of a call that must not be repeated. Found by code review.
#[ntex::test]
async fn a_service_that_fails_after_its_effect_is_not_called_again() {
    let site = TestSite::start().await;
    let mut seal = row("seal", "seal");
    seal["at_most_once"] = json!(true);
    site.add_row("seal", &seal).await;
    site.settled("seal", 1).await;
    let bearer = format!("Bearer {CALLER}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", "deed"),
    ];
    for _ in 0..3 {
        let response = post(&site, "/services/seal/failing", &headers, "deed").await;
        assert_eq!(
            (response.status, response.outcome.as_str()),
            (502, "unknown"),
            "{}",
            response.body
        );
    }
    let record = site.record("s1-service").await;
    assert_eq!(record.as_array().unwrap().len(), 1);
}

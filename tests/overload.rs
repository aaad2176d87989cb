//! A backoff period that a target's agent requests for one request of a row also holds for the
//! row's next requests.
//!
//! The failure was seen at replicas without agents: one that requested 3 s got 3 to 5 more
//! requests from the same entry in that time. Towards agents an entry did the same: a home's
//! queue is longer than the wait limit of a row, the agent refuses and says when it expects
//! free capacity, and the entry passed that on to the one caller alone. It sent the same
//! request again at once, up to four times without another home, and each next request of
//! the row. The test counts attempts by the agent's own metric.

mod support;

use std::time::Duration;

use serde_json::json;
use support::{TestSite, engine_traits, row, until};

/// Duration of a service call, in milliseconds.
const CALL_MS: u64 = 3_000;
/// Calls that the agent runs at the same time.
const SLOTS: usize = 16;
/// Number of calls that fill the slots and a queue of about 18 s.
const PATIENT_CALLS: usize = 96;
/// Number of requests whose wait limit is shorter than the queue.
const HASTY_CALLS: usize = 40;

async fn metric(site: &TestSite, name: &str) -> u64 {
    let metrics = site.metrics("s1").await;
    let line = metrics.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|value| value.trim().parse().ok())
        .unwrap_or(0)
}

#[ntex::test]
async fn a_home_that_refused_a_row_gets_no_attempt_in_the_backoff_period() {
    let site = TestSite::start_timed(&engine_traits(), CALL_MS).await;
    let mut patient = row("seal", "review");
    patient["patience_ms"] = json!(600_000);
    let mut hasty = row("seal", "look");
    hasty["patience_ms"] = json!(3_000);
    site.add_row("patient", &patient).await;
    site.add_row("hasty", &hasty).await;
    site.settled("patient", 1).await;
    site.settled("hasty", 1).await;
    // The agent measures how long a call lasts.
    let first = site.call_service("e1", "review", "first").await;
    assert_eq!(first.status, 200, "{}", first.text);
    let bodies: Vec<String> = (0..PATIENT_CALLS).map(|n| format!("patient-{n}")).collect();
    let calls = bodies
        .iter()
        .map(|body| site.call_service("e1", "review", body));
    let patient_calls = futures::future::join_all(calls);
    let hasty = async {
        let queued = (PATIENT_CALLS - SLOTS) as u64;
        until("all patient calls to wait", async || {
            (metric(&site, "dunlinspring_queued ").await >= queued).then_some(())
        })
        .await;
        let name = "dunlinspring_attempts_remembered ";
        let before = metric(&site, name).await;
        for number in 0..HASTY_CALLS {
            let body = format!("hasty-{number}");
            let response = site.call_service("e1", "look", &body).await;
            assert_eq!(response.status, 503, "{}", response.text);
            let retry: f64 = response.retry_after.unwrap().parse().unwrap();
            assert!(retry > 3.0, "{retry}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        metric(&site, name).await - before
    };
    tokio::select! {
        attempts = hasty => assert!(attempts <= 1, "{attempts} attempts at the home that had refused"),
        _ = patient_calls => panic!("the queue was processed before the requests ended"),
    }
}

//! What a target's agent says of one request of a row holds for the row's next ones.
//!
//! What users saw, at replicas without agents: one that asked to be left alone for 3 s got 3
//! to 5 requests from the same entry in that time. Before agents an entry does the same: each
//! refusal names a time, and the entry passes it on to that one caller alone.
//!
//! The order of events: a home's queue is longer than the patience of a row's callers; the
//! agent refuses a request of theirs and says when it expects room; the entry asks again at
//! once for the same request, where there is no other home up to four times, and for each of
//! the row's next ones.
//!
//! The evidence: the agent's own count of attempts, which grows by one with each.

mod support;

use std::time::Duration;

use serde_json::json;
use support::{Ask, TestSite, engine_traits, row, until};

const TARGETS: [&str; 3] = ["t1", "t2", "t3"];
/// Fills the places and queues of three homes: some 25 s of work each.
const PATIENT_RUNS: usize = 600;
/// What a patient run asks for: 40 pieces of 50 ms.
const PIECES: u32 = 40;
/// Requests of callers that cannot wait for so long.
const HASTY: usize = 40;

fn ask<'a>(class: &'a str, prompt: &'a str, tokens: u32) -> Ask<'a> {
    Ask {
        model: "review",
        class,
        prompt,
        tokens,
        stream: false,
        key: None,
    }
}

async fn metric(site: &TestSite, target: &str, name: &str) -> u64 {
    let metrics = site.metrics(target).await;
    let line = metrics.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|value| value.trim().parse().ok())
        .unwrap_or(0)
}

#[ntex::test]
async fn a_home_that_refused_a_row_is_not_asked_again_before_its_time() {
    let mut traits = engine_traits();
    traits["piece_us"] = json!(50_000);
    let site = TestSite::start_with(&traits).await;
    let mut patient = row("review", "filing-review");
    patient["patience_ms"] = json!(600_000);
    // Four entries may share it.
    patient["max_running"] = json!(8 * PATIENT_RUNS);
    let mut hasty = row("review", "filing-look");
    hasty["patience_ms"] = json!(3_000);
    site.add_row("patient", &patient).await;
    site.add_row("hasty", &hasty).await;
    site.settled("patient", 1).await;
    site.settled("hasty", 1).await;
    // The agent learns how long a patient run lasts.
    let first = site
        .complete("e1", &ask("filing-review", "first", PIECES))
        .await;
    assert_eq!(first.status, 200);
    let prompts: Vec<String> = (0..PATIENT_RUNS).map(|n| format!("patient-{n}")).collect();
    let asks: Vec<Ask<'_>> = prompts
        .iter()
        .map(|prompt| ask("filing-review", prompt, PIECES))
        .collect();
    let crowd = asks.iter().map(|ask| site.complete("e1", ask));
    let crowd = futures::future::join_all(crowd);
    let hasty = async {
        let crowded = until("a long queue", async || {
            for target in TARGETS {
                if metric(&site, target, "dunlinspring_queued ").await > 150 {
                    return Some(target);
                }
            }
            None
        })
        .await;
        let name = "dunlinspring_attempts_remembered ";
        let before = metric(&site, crowded, name).await;
        for number in 0..HASTY {
            let prompt = format!("hasty-{number}");
            let told = site.complete("e1", &ask("filing-look", &prompt, 1)).await;
            if told.status != 200 {
                let retry: f64 = told.retry_after.unwrap().parse().unwrap();
                assert!(retry > 3.0, "{retry}");
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        metric(&site, crowded, name).await - before
    };
    tokio::select! {
        asked = hasty => assert!(asked <= 1, "{asked} attempts at the crowded home"),
        told = crowd => panic!("the queue went by: {:?}", told[PATIENT_RUNS - 1]),
    }
}

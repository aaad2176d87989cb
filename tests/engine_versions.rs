//! Responses of engines with agents come from one software version, also if the engine at an address
//! is replaced by another process.

mod support;

use serde_json::{Value, json};
use support::{
    CallResponse, CompletionRequest, TestSite, complete_text, engine_traits, row, until,
};

const TOKENS: u32 = 40;

/// Pieces after which an engine is replaced in the tests.
const PIECES_BEFORE: u32 = 3;

const TARGETS: [&str; 3] = ["t1", "t2", "t3"];

async fn site_of(version: Value, at_most_once: bool) -> TestSite {
    let mut traits = engine_traits();
    traits["piece_us"] = json!(10_000);
    traits["version"] = version;
    traits["marks_pieces"] = json!(true);
    let site = TestSite::start_with(&traits).await;
    let mut review = row("review", "filing-review");
    review["at_most_once"] = json!(at_most_once);
    site.add_row("review", &review).await;
    site.settled("review", 2).await;
    site
}

/// Returns the targets that hold the model.
async fn homes(site: &TestSite) -> Vec<&'static str> {
    let table = site.table("e1").await.unwrap();
    let homes = table["rows"][0]["homes"].as_array().unwrap();
    let is_home = |target: &&str| homes.iter().any(|home| home == target);
    TARGETS.into_iter().filter(is_home).collect()
}

async fn replace(site: &TestSite, target: &str, version: Value, after: u32, keeps_runs: bool) {
    let replacement =
        json!({ "version": version, "after_pieces": after, "keeps_runs": keeps_runs });
    let faults = json!({ "replacement": replacement });
    site.inject(&format!("{target}-engine"), &faults).await;
}

async fn complete(site: &TestSite, prompt: &str, key: Option<&str>) -> CallResponse {
    let request = CompletionRequest {
        model: "review",
        class: "filing-review",
        prompt,
        tokens: TOKENS,
        stream: key.is_none(),
        key,
    };
    site.complete("e1", &request).await
}

/// Returns the text of a complete response whose pieces are all marked with one version.
fn marked_text(prompt: &str, version: &str) -> String {
    let text = complete_text(prompt, TOKENS);
    let pieces = text.split_inclusive(' ');
    pieces.map(|piece| format!("{version}:{piece}")).collect()
}

async fn has_run(site: &TestSite, target: &str, prompt: &str) -> bool {
    let record = site.record(&format!("{target}-engine")).await;
    let mut runs = record["runs"].as_array().unwrap().iter();
    runs.any(|run| run["prompt"] == prompt)
}

#[ntex::test]
async fn a_response_is_not_resumed_at_a_replaced_engine_of_another_version() {
    let site = site_of(json!("v1"), false).await;
    for target in homes(&site).await {
        replace(&site, target, json!("v2"), PIECES_BEFORE, true).await;
    }
    let response = complete(&site, "resumed", None).await;
    let whole = marked_text("resumed", "v1");
    assert!(whole.starts_with(&response.text), "{response:?}");
    assert!(!response.text.is_empty(), "{response:?}");
    assert_eq!(response.outcome, "unknown", "{response:?}");
}

#[ntex::test]
async fn a_response_goes_on_at_a_replaced_engine_of_its_version() {
    let site = site_of(json!("v1"), false).await;
    for target in homes(&site).await {
        replace(&site, target, json!("v1"), PIECES_BEFORE, true).await;
    }
    let response = complete(&site, "resumed", None).await;
    assert_eq!(response.outcome, "done", "{response:?}");
    assert_eq!(response.text, marked_text("resumed", "v1"));
}

#[ntex::test]
async fn a_response_is_continued_at_another_target_only_in_its_version() {
    let site = site_of(json!("v1"), false).await;
    let homes = homes(&site).await;
    let (leaving, other) = (homes[0], homes[1]);
    replace(&site, other, json!("v2"), 0, true).await;
    // The new process has no runs, so that the response can go on at the other home alone.
    replace(&site, leaving, json!("v2"), PIECES_BEFORE, false).await;
    let mut number = 0;
    let (prompt, response) = until("a run at the home that is replaced", async || {
        number += 1;
        let prompt = format!("moved {number}");
        let response = complete(&site, &prompt, None).await;
        let begun_there = has_run(&site, leaving, &prompt).await;
        begun_there.then_some((prompt, response))
    })
    .await;
    let whole = marked_text(&prompt, "v1");
    assert!(whole.starts_with(&response.text), "{response:?}");
    assert_eq!(response.outcome, "unknown", "{response:?}");
}

#[ntex::test]
async fn a_response_goes_on_at_another_target_of_its_version() {
    let site = site_of(json!("v1"), false).await;
    let leaving = homes(&site).await[0];
    replace(&site, leaving, json!("v2"), PIECES_BEFORE, false).await;
    let mut number = 0;
    let (prompt, response) = until("a run at the home that is replaced", async || {
        number += 1;
        let prompt = format!("moved {number}");
        let response = complete(&site, &prompt, None).await;
        let begun_there = has_run(&site, leaving, &prompt).await;
        begun_there.then_some((prompt, response))
    })
    .await;
    assert_eq!(response.outcome, "done", "{response:?}");
    assert_eq!(response.text, marked_text(&prompt, "v1"));
}

#[ntex::test]
async fn a_response_of_an_engine_that_names_no_version_is_not_continued_by_another_process() {
    let site = site_of(Value::Null, false).await;
    for target in homes(&site).await {
        replace(&site, target, Value::Null, PIECES_BEFORE, true).await;
    }
    let response = complete(&site, "unnamed", None).await;
    assert_eq!(response.text, complete_text("unnamed", PIECES_BEFORE));
    assert_eq!(response.outcome, "unknown", "{response:?}");
}

#[ntex::test]
async fn a_recorded_response_holds_pieces_of_one_version() {
    let site = site_of(json!("v1"), true).await;
    for target in homes(&site).await {
        replace(&site, target, json!("v2"), PIECES_BEFORE, true).await;
    }
    for _ in 0..2 {
        let response = complete(&site, "recorded", Some("key-of-a-response")).await;
        assert_eq!(response.outcome, "unknown", "{response:?}");
        assert!(!response.text.contains("v2:"), "{response:?}");
    }
}

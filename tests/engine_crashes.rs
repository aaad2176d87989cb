//! Crashes of engines with agents during requests: reports to the log, over real processes.

mod support;

use dunlinspring::admission::lost_runs::{CrashedIncarnation, LostRuns};
use dunlinspring::ids::ContentDigest;
use serde_json::{Value, json};
use support::{CompletionRequest, TestSite, engine_traits, row, until};

fn completion(prompt: &str, tokens: u32) -> CompletionRequest<'_> {
    CompletionRequest {
        model: "review",
        class: "filing-review",
        prompt,
        tokens,
        stream: false,
        key: None,
    }
}

const ENGINES: [&str; 3] = ["t1-engine", "t2-engine", "t3-engine"];

/// Returns how often an engine has started to run a prompt since it started.
async fn run_count(site: &TestSite, engine: &str, prompt: &str) -> usize {
    let record = site.record(engine).await;
    let runs = record["runs"].as_array().unwrap().iter();
    runs.filter(|run| run["prompt"] == prompt).count()
}

/// Waits for an engine that has started to run a prompt more often than before; returns its name.
async fn engine_that_ran(site: &TestSite, prompt: &str, before: &[usize]) -> &'static str {
    until("a run", async || {
        for (engine, before) in ENGINES.iter().zip(before) {
            if run_count(site, engine, prompt).await > *before {
                return Some(*engine);
            }
        }
        None
    })
    .await
}

#[test]
fn a_report_shows_whether_an_engine_crashed_during_a_lost_run() {
    let content = |number: u8| ContentDigest([number; ContentDigest::LEN]);
    let mut runs = LostRuns::default();
    runs.record(7, content(1), &[content(9)], 100);
    // A report requested before the loss proves nothing.
    assert!(runs.on_report(7, 100).is_empty());
    runs.record(7, content(2), &[], 110);
    let ended = CrashedIncarnation {
        boot: 7,
        contents: [content(1), content(2)].into(),
        parts: [content(9)].into(),
    };
    assert_eq!(runs.on_report(8, 120), [ended]);
    // A report of the same boot, requested after the loss: only the connection broke.
    runs.record(8, content(3), &[content(9)], 200);
    assert!(runs.on_report(8, 201).is_empty());
    assert!(runs.on_report(9, 300).is_empty());
}

#[ntex::test]
async fn a_content_that_crashed_three_engines_is_not_run_again() {
    let mut traits = engine_traits();
    traits["piece_us"] = json!(20_000);
    let mut site = TestSite::start_with(&traits).await;
    site.add_row("one", &row("review", "filing-review")).await;
    // Waits until both entries have followed the row.
    site.settled("one", 1).await;
    for count in 1..=3 {
        let entry = ["e1", "e2"][count % 2];
        let deadly = completion("deadly", 500);
        let mut before = Vec::new();
        for engine in ENGINES {
            before.push(run_count(&site, engine, "deadly").await);
        }
        let kill = async {
            let engine = engine_that_ran(&site, "deadly", &before).await;
            site.signal(engine, "-KILL");
            engine
        };
        // The request is refused while its model has no home.
        let calls = async {
            loop {
                let response = site.complete(entry, &deadly).await;
                assert!(response.text.contains("-home"), "{}", response.text);
            }
        };
        // The caller disconnects when the engine is killed: further attempts would run elsewhere.
        let engine = tokio::select! {
            engine = kill => engine,
            () = calls => unreachable!("the calls never end"),
        };
        site.kill(engine);
        site.restart_in_place(engine).await;
        until("the crash to be in the log", async || {
            let counts = site.crash_counts().await;
            (counts == [count as u8]).then_some(())
        })
        .await;
    }
    // Waits until the model has a home again and the entries have followed the log.
    site.settled("one", 1).await;
    for entry in ["e1", "e2"] {
        let refused = site.complete(entry, &completion("deadly", 500)).await;
        assert_eq!(refused.status, 503);
        let body: Value = serde_json::from_str(&refused.text).unwrap_or_default();
        assert_eq!(body["error"]["code"], "targets-ended", "{}", refused.text);
        until("a response to a harmless request", async || {
            let response = site.complete(entry, &completion("harmless", 3)).await;
            (response.status == 200).then_some(())
        })
        .await;
    }
}

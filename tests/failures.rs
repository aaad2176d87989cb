//! Invariants over real processes that are killed, frozen, cut off, or edited concurrently.

mod support;

use std::collections::BTreeSet;

use dunlinspring::admission::ledger::EngineReport;
use futures::future::join_all;
use serde_json::{Value, json};
use support::{
    CompletionRequest, OPERATOR, OTHER_OPERATOR, TestSite, complete_text, engine_traits, row, until,
};

fn completion(prompt: &str) -> CompletionRequest<'_> {
    CompletionRequest {
        model: "review",
        class: "filing-review",
        prompt,
        tokens: 30,
        stream: false,
        key: None,
    }
}

/// Waits for a leader; returns the name of its control host.
async fn leader(site: &TestSite) -> String {
    until("a leader", async || {
        for name in ["c1", "c2", "c3"] {
            let metrics = site.metrics(name).await;
            if metrics.contains("dunlinspring_leads 1") {
                return Some(name.to_owned());
            }
        }
        None
    })
    .await
}

async fn version_of(site: &TestSite, entry: &str, id: &str) -> Option<u64> {
    let table = site.table(entry).await?;
    let rows = table["rows"].as_array()?.clone();
    let row = rows.into_iter().find(|row| row["id"] == id)?;
    row["version"].as_u64()
}

#[ntex::test]
async fn a_frozen_leader_decides_nothing_when_it_resumes() {
    let site = TestSite::start().await;
    site.add_row("one", &row("review", "filing-review")).await;
    let frozen = leader(&site).await;
    site.signal(&frozen, "-STOP");
    let version = site.add_row("two", &row("draft", "notice")).await;
    let next = leader_besides(&site, &frozen).await;
    assert_ne!(next, frozen);
    site.signal(&frozen, "-CONT");
    // The resumed host may reply, but only with the current state.
    for entry in ["e1", "e2"] {
        let seen_version = until("the table", async || version_of(&site, entry, "two").await).await;
        assert_eq!(seen_version, version);
    }
    until("the resumed host to follow", async || {
        let metrics = site.metrics(&frozen).await;
        metrics.contains("dunlinspring_leads 0").then_some(())
    })
    .await;
}

async fn leader_besides(site: &TestSite, frozen: &str) -> String {
    until("another leader", async || {
        for name in ["c1", "c2", "c3"].iter().filter(|name| **name != frozen) {
            if site.metrics(name).await.contains("dunlinspring_leads 1") {
                return Some((*name).to_owned());
            }
        }
        None
    })
    .await
}

#[ntex::test]
async fn a_lost_disk_is_replaced_and_the_next_loss_survived() {
    let mut site = TestSite::start().await;
    let version = site.add_row("one", &row("review", "filing-review")).await;
    site.kill("c1");
    site.lose_disk("c1");
    site.restart("c1").await;
    // A separate thread writes log lines.
    let learner = async || site.log("c1").contains("learner=true").then_some(());
    until("the host with a blank disk to start as a learner", learner).await;
    until("the new disk to be a voter", async || {
        let metrics = site.metrics("c1").await;
        let three_voters = metrics.contains("dunlinspring_voters 3");
        (three_voters && metrics.contains("dunlinspring_votes 1")).then_some(())
    })
    .await;
    // Another host is lost right after the repair.
    site.kill("c2");
    let seen_version = until("the row", async || version_of(&site, "e1", "one").await).await;
    assert_eq!(seen_version, version);
    site.add_row("two", &row("draft", "notice")).await;
}

#[ntex::test]
async fn concurrent_edits_never_overwrite_each_other() {
    let site = TestSite::start().await;
    let first = site.add_row("race", &row("review", "filing-review")).await;
    let edits = (0..8).map(|number| {
        let site = &site;
        async move {
            let entry = if number % 2 == 0 { "e1" } else { "e2" };
            let mut fields = row("review", "filing-review");
            fields["weight"] = json!(100 + number);
            let edit = format!("edit-{number}");
            site.put_row(entry, OPERATOR, "race", first, &edit, &fields)
                .await
        }
    });
    let replies = join_all(edits).await;
    let accepted: Vec<&Value> = replies
        .iter()
        .filter(|(status, _)| *status == 200)
        .map(|(_, body)| body)
        .collect();
    assert_eq!(accepted.len(), 1, "equal versions, one winner: {replies:?}");
    let conflicts = replies.iter().filter(|(status, _)| *status == 412).count();
    assert_eq!(conflicts, 7);
    let (status, _) = site
        .put_row(
            "e1",
            OTHER_OPERATOR,
            "race",
            first,
            "theirs",
            &row("review", "x"),
        )
        .await;
    assert_eq!(status, 403);
    // The accepted edit is sent again, as after a lost response.
    let winner = replies
        .iter()
        .position(|(status, _)| *status == 200)
        .unwrap();
    let mut fields = row("review", "filing-review");
    fields["weight"] = json!(100 + winner);
    let edit = format!("edit-{winner}");
    let (status, body) = site
        .put_row("e2", OPERATOR, "race", first, &edit, &fields)
        .await;
    assert_eq!((status, &body), (200, accepted[0]));
}

#[ntex::test]
async fn an_invalid_row_is_rejected_with_its_field_and_changes_nothing() {
    let site = TestSite::start().await;
    site.add_row("good", &row("review", "filing-review")).await;
    let cases = [
        ("weight", json!(0), 422, "weight"),
        ("model", json!("nobody"), 422, "model"),
        ("patience_ms", json!("soon"), 422, "patience_ms"),
        ("wieght", json!(1), 422, "wieght"),
    ];
    for (field, value, status, expected_field) in cases {
        let mut fields = row("review", "other");
        fields[field] = value;
        let edit = format!("bad-{field}");
        let (response, body) = site.put_row("e1", OPERATOR, "bad", 0, &edit, &fields).await;
        assert_eq!(response, status, "{body}");
        let message = body["error"]["message"].as_str().unwrap();
        assert!(
            message.contains(expected_field) && message.contains("bad"),
            "{message}"
        );
    }
    let table = site.table("e1").await.unwrap();
    assert_eq!(table["rows"].as_array().unwrap().len(), 1);
}

#[ntex::test]
async fn a_document_is_never_sealed_twice_while_processes_crash() {
    let mut site = TestSite::start().await;
    let mut seal = row("seal", "seal");
    seal["at_most_once"] = json!(true);
    site.add_row("seal", &seal).await;
    site.settled("seal", 1).await;
    let mut done = BTreeSet::new();
    for (round, victim) in ["e1", "s1", "c1", "e2", "c2", "s1"].iter().enumerate() {
        let documents: Vec<String> = (0..12).map(|at| format!("deed-{round}-{at}")).collect();
        // Each document is sent to two entries at the same time while a process is killed.
        let calls = documents.iter().flat_map(|document| {
            let site = &site;
            ["e1", "e2"].map(|entry| async move {
                (document.clone(), site.seal(entry, document, document).await)
            })
        });
        let kill = async {
            tokio::time::sleep(std::time::Duration::from_millis(4)).await;
            site.signal(victim, "-KILL");
        };
        let (responses, ()) = futures::join!(join_all(calls), kill);
        for (document, response) in responses {
            if response.outcome == "done" {
                done.insert(document);
            }
        }
        assert!(!site.ended(victim).await);
        site.restart(victim).await;
        site.settled("seal", 1).await;
    }
    // The callers repeat their requests with the same keys.
    for round in 0..6 {
        for at in 0..12 {
            let document = format!("deed-{round}-{at}");
            let response = site.seal("e1", &document, &document).await;
            if response.outcome == "done" {
                done.insert(document);
            }
        }
    }
    let record = site.record("s1-service").await;
    let calls: Vec<&str> = record
        .as_array()
        .unwrap()
        .iter()
        .map(|call| call["body"].as_str().unwrap())
        .collect();
    let distinct: BTreeSet<&str> = calls.iter().copied().collect();
    assert_eq!(calls.len(), distinct.len(), "a document was sealed twice");
    for document in &done {
        assert!(
            distinct.contains(document.as_str()),
            "reported as done, but never sealed"
        );
    }
    assert!(done.len() > 36, "only {} of 72 were sealed", done.len());
}

#[ntex::test]
async fn responses_are_complete_while_streams_break_and_targets_crash() {
    let mut traits = engine_traits();
    // Longer than the time between the check that runs are in progress and the kill.
    traits["piece_us"] = json!(5_000);
    let mut site = TestSite::start_with(&traits).await;
    site.add_row("review", &row("review", "filing-review"))
        .await;
    site.settled("review", 2).await;
    // One home is killed during its runs, the other continues.
    let (killed, surviving, bystander) = home_roles(&site).await;
    let engine = format!("{killed}-engine");
    for target in ["t1", "t2", "t3"] {
        site.inject(&format!("{target}-engine"), &json!({ "cut_streams": 5 }))
            .await;
    }
    let prompts: Vec<String> = (0..40).map(|at| format!("return {at}")).collect();
    let calls = prompts.iter().map(|prompt| {
        let site = &site;
        async move {
            let mut completion = completion(prompt);
            completion.stream = prompt.len().is_multiple_of(2);
            site.complete("e1", &completion).await
        }
    });
    let kill = async {
        until("both homes to have runs in progress", async || {
            let both_running =
                running_on(&site, killed).await > 0 && running_on(&site, surviving).await > 0;
            both_running.then_some(())
        })
        .await;
        site.signal(bystander, "-KILL");
        site.signal(&engine, "-KILL");
    };
    let (responses, ()) = futures::join!(join_all(calls), kill);
    for (prompt, response) in prompts.iter().zip(&responses) {
        match response.outcome.as_str() {
            "done" => assert_eq!(response.text, complete_text(prompt, 30)),
            "not-run" => assert!(response.retry_after.is_some()),
            "unknown" => {}
            outcome => panic!("no outcome: '{outcome}' {response:?}"),
        }
    }
    let done = responses
        .iter()
        .filter(|response| response.outcome == "done")
        .count();
    assert!(done >= 30, "only {done} of 40 were done: {responses:?}");
    assert!(!site.ended(bystander).await && !site.ended(&engine).await);
}

#[ntex::test]
async fn planned_stops_cut_nothing_off() {
    let mut traits = engine_traits();
    // Longer than a process takes to exit if it does not wait for its runs.
    traits["piece_us"] = json!(60_000);
    let mut site = TestSite::start_with(&traits).await;
    // At most once: an interrupted run cannot be repeated elsewhere.
    let mut once = row("review", "filing-review");
    once["at_most_once"] = json!(true);
    site.add_row("review", &once).await;
    site.settled("review", 2).await;
    for victim in ["t1", "t2", "e2", "c1", "c2"] {
        let prompts: Vec<String> = (0..10).map(|at| format!("{victim} stops {at}")).collect();
        let calls = prompts.iter().enumerate().map(|(at, prompt)| {
            let site = &site;
            let entry = if at % 2 == 0 { "e1" } else { "e2" };
            let mut request_with_key = completion(prompt);
            request_with_key.key = Some(prompt);
            async move { site.complete(entry, &request_with_key).await }
        });
        let stop = async {
            tokio::time::sleep(std::time::Duration::from_millis(80)).await;
            site.signal(victim, "-TERM");
        };
        let (responses, ()) = futures::join!(join_all(calls), stop);
        for (prompt, response) in prompts.iter().zip(&responses) {
            assert_eq!(response.outcome, "done", "{victim} stopped: {response:?}");
            assert_eq!(response.text, complete_text(prompt, 30));
        }
        assert!(site.ended(victim).await, "{victim} exited with an error");
        site.restart(victim).await;
        site.settled("review", 2).await;
    }
}

#[ntex::test]
async fn a_draining_target_gets_no_new_work_and_its_models_move() {
    let mut traits = engine_traits();
    traits["piece_us"] = json!(20_000);
    let mut site = TestSite::start_with(&traits).await;
    site.add_row("review", &row("review", "filing-review"))
        .await;
    site.settled("review", 2).await;
    let mut long = completion("a long one");
    long.tokens = 200;
    let drain = async {
        let draining = until("the long request to run", async || {
            for target in ["t1", "t2", "t3"] {
                if runs_on(&site, target).await > 0 {
                    return Some(target);
                }
            }
            None
        })
        .await;
        site.signal(draining, "-TERM");
        until("two other homes of the model", async || {
            let table = site.table("e1").await?;
            let homes = table["rows"][0]["homes"].as_array()?.clone();
            let left = homes.iter().filter(|home| **home != draining).count();
            (left >= 2).then_some(())
        })
        .await;
        // The draining target still processes the long request and must get no other.
        let prompts: Vec<String> = (0..20).map(|at| format!("meanwhile {at}")).collect();
        let calls = prompts.iter().map(|prompt| {
            let mut short = completion(prompt);
            short.tokens = 1;
            let site = &site;
            async move { site.complete("e1", &short).await }
        });
        for response in join_all(calls).await {
            assert_eq!(response.outcome, "done", "{response:?}");
        }
        assert_eq!(
            runs_on(&site, draining).await,
            1,
            "new work on a draining target"
        );
        draining
    };
    let (response, draining) = futures::join!(site.complete("e1", &long), drain);
    assert_eq!(response.outcome, "done", "{response:?}");
    assert_eq!(response.text, complete_text("a long one", 200));
    assert!(site.ended(draining).await);
}

/// Returns the two homes of the only row, and the target that is not a home.
async fn home_roles(site: &TestSite) -> (&'static str, &'static str, &'static str) {
    let table = site.table("e1").await.unwrap();
    let homes = table["rows"][0]["homes"].as_array().unwrap();
    let is_home = |target: &&str| homes.iter().any(|home| home == target);
    let (homes, others): (Vec<_>, Vec<_>) = ["t1", "t2", "t3"].into_iter().partition(is_home);
    match (&homes[..], &others[..]) {
        ([killed, surviving], [bystander]) => (killed, surviving, bystander),
        _ => panic!("homes {homes:?}"),
    }
}

/// Returns the number of runs that the target's engine has started and not completed.
async fn running_on(site: &TestSite, target: &str) -> usize {
    let record = site.record(&format!("{target}-engine")).await;
    let runs = record["runs"].as_array().unwrap().iter();
    runs.filter(|run| run["whole"] == false).count()
}

/// Returns the number of runs that the target's engine has started so far.
async fn runs_on(site: &TestSite, target: &str) -> usize {
    let record = site.record(&format!("{target}-engine")).await;
    record["runs"].as_array().unwrap().len()
}

#[ntex::test]
async fn memory_is_not_overcommitted_while_orders_are_lost_and_rows_change() {
    let mut site = TestSite::start().await;
    for model in ["review", "draft", "lookup", "review-fj"] {
        site.add_row(model, &row(model, "class")).await;
    }
    for (round, victim) in ["t1", "t2-engine", "t3", "t1-engine"].iter().enumerate() {
        for target in ["t1", "t2", "t3"] {
            let faults = json!({ "drop_orders": 2, "drop_answers": 2 });
            site.inject(&format!("{target}-engine"), &faults).await;
        }
        site.kill(victim);
        let id = format!("more-{round}");
        site.add_row(&id, &row("draft", &id)).await;
        site.restart(victim).await;
        for model in ["review", "draft", "lookup", "review-fj"] {
            site.settled(model, 1).await;
        }
    }
    for target in ["t1", "t2", "t3"] {
        let record = site.record(&format!("{target}-engine")).await;
        assert_eq!(record["overcommits"], 0, "{target}: {record}");
    }
}

#[ntex::test]
async fn an_entry_that_is_cut_off_stops_acting_on_its_old_table() {
    let site = TestSite::start().await;
    site.add_row("review", &row("review", "filing-review"))
        .await;
    site.settled("review", 2).await;
    // The entry receives nothing from the control hosts, but still reaches its callers.
    for name in ["c1", "c2", "c3"] {
        site.signal(name, "-STOP");
    }
    let response = until("the entry to refuse", async || {
        let response = site.complete("e1", &completion("cut off")).await;
        // Before that, agents without a lease may refuse requests for their own reason.
        response.text.contains("stale-table").then_some(response)
    })
    .await;
    assert_eq!(
        (response.status, response.outcome.as_str()),
        (503, "not-run")
    );
    assert!(response.retry_after.is_some());
    for name in ["c1", "c2", "c3"] {
        site.signal(name, "-CONT");
    }
    until("the entry to serve again", async || {
        let response = site.complete("e1", &completion("back")).await;
        (response.outcome == "done").then_some(())
    })
    .await;
}

#[ntex::test]
async fn models_of_a_crashed_engine_move_while_its_agent_runs() {
    let mut site = TestSite::start().await;
    site.add_row("review", &row("review", "filing-review"))
        .await;
    site.settled("review", 2).await;
    let table = site.table("e1").await.unwrap();
    let homes = table["rows"][0]["homes"].as_array().unwrap().clone();
    for home in &homes {
        site.kill(&format!("{}-engine", home.as_str().unwrap()));
    }
    until("a home on the remaining engine", async || {
        let table = site.table("e1").await?;
        let now = table["rows"][0]["homes"].as_array()?.clone();
        (now.len() == 1 && !homes.contains(&now[0])).then_some(())
    })
    .await;
    let response = site
        .complete("e1", &completion("on the one that is left"))
        .await;
    assert_eq!(response.outcome, "done", "{response:?}");
}

/// A report that contained a running attempt could not be serialized as JSON, so a busy engine
/// looked as if it had crashed. Found by measurement.
#[ntex::test]
async fn a_busy_engine_reports_its_running_attempts() {
    let mut traits = engine_traits();
    traits["piece_us"] = json!(20_000);
    let site = TestSite::start_with(&traits).await;
    site.add_row("review", &row("review", "filing-review"))
        .await;
    site.settled("review", 2).await;
    let wait_for_report = async {
        until("a report that names a run", async || {
            for target in ["t1", "t2", "t3"] {
                let engine = site.address(&format!("{target}-engine"), "listen");
                let url = format!("http://{engine}/control/report");
                let report: EngineReport =
                    dunlinspring::process::daemon::get_json(&url).await.ok()?;
                if !report.running.is_empty() {
                    return Some(());
                }
            }
            None
        })
        .await;
    };
    let request = completion("long");
    let (response, ()) = futures::join!(site.complete("e1", &request), wait_for_report);
    assert_eq!(response.outcome, "done");
}

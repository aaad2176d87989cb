//! Shares of the homes of a model in the requests of one entry.

mod support;

use futures::future::join_all;
use support::{CompletionRequest, TestSite, row, until};

/// Requests before the third home joins.
const EARLIER_REQUESTS: usize = 200;
/// Requests after it has joined, fewer than half of the earlier ones.
const REQUESTS: usize = 80;
/// Requests under way at the same time.
const CONCURRENT: usize = 8;

async fn send_requests(site: &TestSite, label: &str, count: usize) {
    let prompts: Vec<String> = (0..count).map(|at| format!("{label} {at}")).collect();
    for batch in prompts.chunks(CONCURRENT) {
        let calls = batch.iter().map(|prompt| async move {
            let request = CompletionRequest {
                model: "review",
                class: "filing-review",
                prompt,
                tokens: 1,
                stream: false,
                key: None,
            };
            site.complete("e1", &request).await
        });
        for response in join_all(calls).await {
            assert_eq!(response.outcome, "done", "{response:?}");
        }
    }
}

async fn homes(site: &TestSite) -> Vec<String> {
    let table = site.table("e1").await.unwrap_or_default();
    let homes = table["rows"][0]["homes"].as_array();
    let homes = homes.into_iter().flatten().filter_map(|home| home.as_str());
    homes.map(str::to_owned).collect()
}

async fn runs_on(site: &TestSite, target: &str) -> usize {
    let record = site.record(&format!("{target}-engine")).await;
    record["runs"].as_array().unwrap().len()
}

/// Entries never counted requests as ended, so a home that joined looked idle until it had been
/// sent as many requests as the others.
#[ntex::test]
async fn a_home_that_joins_later_gets_its_share_of_requests() {
    let mut site = TestSite::start().await;
    site.add_row("review", &row("review", "filing-review"))
        .await;
    site.settled("review", 2).await;
    send_requests(&site, "before", EARLIER_REQUESTS).await;
    let first_homes = homes(&site).await;
    let leaving = &first_homes[0];
    site.signal(leaving, "-TERM");
    assert!(site.ended(leaving).await);
    let later_homes = until("another home", async || {
        let found = homes(&site).await;
        (found.len() == 2 && !found.contains(leaving)).then_some(found)
    })
    .await;
    site.settled("review", 2).await;
    let mut runs_before = Vec::new();
    for home in &later_homes {
        runs_before.push(runs_on(&site, home).await);
    }
    send_requests(&site, "after", REQUESTS).await;
    for (home, before) in later_homes.iter().zip(runs_before) {
        let share = runs_on(&site, home).await - before;
        assert!(share >= REQUESTS / 4, "{home} got {share} of {REQUESTS}");
    }
}

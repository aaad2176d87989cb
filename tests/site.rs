//! End-to-end tests with real processes, sockets and files.

mod support;

use support::{CompletionRequest, OPERATOR, TestSite, complete_text, row, until};

fn request<'a>(prompt: &'a str, stream: bool) -> CompletionRequest<'a> {
    CompletionRequest {
        model: "review",
        class: "filing-review",
        prompt,
        tokens: 40,
        stream,
        key: None,
    }
}

async fn served(site: &TestSite, entry: &str, prompt: &str) {
    until("a request to be served", async || {
        let response = site.complete(entry, &request(prompt, true)).await;
        match response.outcome.as_str() {
            "done" => {
                assert_eq!(response.text, complete_text(prompt, 40));
                Some(())
            }
            // Reported as repeatable, so the client sends it again.
            "not-run" | "unknown" | "" => None,
            outcome => panic!("unexpected outcome {outcome}"),
        }
    })
    .await
}

#[ntex::test]
async fn a_request_is_served_and_a_row_survives_each_process() {
    let mut site = TestSite::start().await;
    let version = site
        .add_row("fiji-review", &row("review", "filing-review"))
        .await;
    site.settled("fiji-review", 2).await;
    for stream in [true, false] {
        let response = site.complete("e1", &request("annual return", stream)).await;
        assert_eq!((response.status, response.outcome.as_str()), (200, "done"));
        assert_eq!(response.text, complete_text("annual return", 40));
    }
    for name in ["c1", "c2", "c3", "t1", "t1-engine", "t2", "s1", "e1", "e2"] {
        site.kill(name);
        let other = if name == "e1" { "e2" } else { "e1" };
        served(&site, other, &format!("while {name} is down")).await;
        site.restart(name).await;
        site.settled("fiji-review", 1).await;
        served(&site, "e1", &format!("after {name} is back")).await;
    }
    let (status, body) = site
        .put_row(
            "e2",
            OPERATOR,
            "fiji-review",
            0,
            "add-fiji-review",
            &row("review", "filing-review"),
        )
        .await;
    assert_eq!((status, body["version"].as_u64()), (200, Some(version)));
}

//! HTTP endpoints other than completions: chat, models, the table in its formats, status, health
//! and metrics.

mod support;

use ntex::client::{Client, ClientRequest};
use serde_json::{Value, json};
use support::{CALLER, OPERATOR, TestSite, complete_text, row, until};

async fn send(call: ClientRequest, body: Option<&Value>) -> (u16, String) {
    let url = call.get_uri().to_string();
    let sent = match body {
        Some(body) => call.send_json(body).await,
        None => call.send().await,
    };
    let response = sent.unwrap_or_else(|error| panic!("{error} at {url}"));
    let status = response.status().as_u16();
    let body = response.body().await.unwrap();
    (status, String::from_utf8(body.to_vec()).unwrap())
}

#[ntex::test]
async fn every_endpoint_responds_in_its_format() {
    let site = TestSite::start().await;
    let version = site
        .add_row("review", &row("review", "filing-review"))
        .await;
    site.settled("review", 2).await;
    let client = Client::new().await;
    let at = |path: &str| format!("http://{}{path}", site.address("e1", "callers"));

    let chat = json!({
        "model": "review", "max_tokens": 5,
        "messages": [{ "role": "user", "content": "hello" }],
    });
    let call = client.post(at("/v1/chat/completions")).bearer_auth(CALLER);
    let (status, body) = send(call, Some(&chat)).await;
    let body: Value = serde_json::from_str(&body).unwrap();
    assert_eq!(status, 200);
    assert_eq!(body["object"], "chat.completion");
    assert_eq!(
        body["choices"][0]["message"]["content"],
        complete_text("user: hello\n", 5)
    );

    let (status, body) = send(client.get(at("/v1/models")).bearer_auth(CALLER), None).await;
    let body: Value = serde_json::from_str(&body).unwrap();
    assert_eq!((status, &body["data"][0]["id"]), (200, &json!("review")));

    let call = client
        .get(at("/v1/table"))
        .bearer_auth(OPERATOR)
        .header("accept", "text/csv");
    let (status, body) = send(call, None).await;
    let lines: Vec<&str> = body.lines().collect();
    assert_eq!((status, lines.len()), (200, 2));
    assert!(
        lines[0].starts_with("id,partner,version,model"),
        "{}",
        lines[0]
    );
    assert!(lines[1].starts_with(&format!("review,fiji,{version},review,filing-review")));

    let (status, body) = send(client.get(at("/v1/status")).bearer_auth(OPERATOR), None).await;
    let body: Value = serde_json::from_str(&body).unwrap();
    let deciding = body["control"].as_array().unwrap().iter();
    assert_eq!(
        (status, deciding.filter(|c| c["decides"] == true).count()),
        (200, 1)
    );
    let (status, _) = send(client.get(at("/v1/table")).bearer_auth(CALLER), None).await;
    assert_eq!(status, 401, "a caller's key must not read the table");

    for name in ["c1", "e1", "t1"] {
        for (page, expected) in [("healthz", "ok\n"), ("readyz", "ready\n")] {
            until("a healthy process", async || {
                let url = format!("http://{}/{page}", site.address(name, "watch"));
                let (status, body) = send(client.get(url), None).await;
                (status == 200 && body == expected).then_some(())
            })
            .await;
        }
    }
    let metrics = site.metrics("e1").await;
    let counted = "partner=\"fiji\",class=\"filing-review\",outcome=\"done\"";
    assert!(metrics.contains(counted), "{metrics}");

    let call = client
        .delete(at("/v1/table/rows/review"))
        .bearer_auth(OPERATOR);
    let call = call
        .header("if-match", version.to_string())
        .header("idempotency-key", "gone");
    assert_eq!(send(call, None).await.0, 200);
    let table = site.table("e1").await.unwrap();
    assert_eq!(table["rows"], json!([]));
    until("the entry to report the model as unknown", async || {
        let call = client.post(at("/v1/chat/completions")).bearer_auth(CALLER);
        (send(call, Some(&chat)).await.0 == 404).then_some(())
    })
    .await;
}
